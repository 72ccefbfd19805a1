package logstream

import (
	"bytes"
	"errors"
	"testing"
)

func FuzzDecodeBatch(f *testing.F) {
	whole, err := Batch{
		Writer: "entry-1", Incarnation: 7, WrittenMilli: 1_767_225_600_000, First: 3,
		Items: []Item{{Kind: KindFirst, Payload: []byte("x")}, {Kind: KindFence}},
	}.Encode()
	if err != nil {
		f.Fatal(err)
	}

	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{})
	f.Add([]byte{version})
	f.Add([]byte{version + 1, 0x95})
	f.Add([]byte{version, 0xdd, 0xff, 0xff, 0xff, 0xff})

	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := DecodeBatch(data)
		if err != nil {
			if !errors.Is(err, ErrDecode) {
				t.Fatalf("error: got %v, want one that wraps %v", err, ErrDecode)
			}

			return
		}

		again, err := b.Encode()
		if err != nil {
			t.Fatalf("encode of a decoded batch: got %v, want no error", err)
		}

		second, err := DecodeBatch(again)
		if err != nil {
			t.Fatalf("decode of an encoded batch: got %v, want no error", err)
		}

		third, err := second.Encode()
		if err != nil || !bytes.Equal(again, third) {
			t.Fatalf("encoding: got %x, want %x", third, again)
		}
	})
}

func BenchmarkReplay(b *testing.B) {
	batch := Batch{Writer: "entry-1", Incarnation: 7, First: 1}
	for range 20 {
		batch.Items = append(batch.Items, Item{Kind: KindFirst, Payload: make([]byte, 48)})
	}

	data, err := batch.Encode()
	if err != nil {
		b.Fatal(err)
	}

	b.SetBytes(int64(len(data)))

	for b.Loop() {
		if _, err := DecodeBatch(data); err != nil {
			b.Fatal(err)
		}
	}

	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/20, "ns/entry")
}

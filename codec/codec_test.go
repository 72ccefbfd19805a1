package codec

import (
	"bytes"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

type item struct {
	Name    string
	Numbers [20]uint64
}

type message struct {
	Items []item            `msgpack:"i"`
	Names []string          `msgpack:"n"`
	Bytes []byte            `msgpack:"b"`
	Text  string            `msgpack:"t"`
	Table map[string]item   `msgpack:"m"`
	Texts map[string]string `msgpack:"s"`
}

// Guards against messages that exhaust the memory: a message of a few bytes that declared a
// million elements allocated hundreds of megabytes, above the memory limit of an instance, and
// crashed the instance. The size of a message must bound the memory that decoding it takes.
func TestUnmarshalAllocatesNoDeclaredLength(t *testing.T) {
	const maxAllocBytes = 64 << 10

	million := "\x00\x0f\x42\x40"

	for name, data := range map[string]string{
		"items": "\x81\xa1i\xdd" + million, "names": "\x81\xa1n\xdd" + million, "bytes": "\x81\xa1b\xc6" + million,
		"text": "\x81\xa1t\xdb" + million, "table": "\x81\xa1m\xdf" + million, "texts": "\x81\xa1s\xdf" + million,
		"an unknown field": "\x81\xa1x\xdd" + million, "an extension": "\x81\xa1x\xc9" + million, "fields": "\xdf" + million,
		"items of items": "\x81\xa1i\xdc\xff\xff\x92\xdb" + million,
	} {
		t.Run(name, func(t *testing.T) {
			var (
				before, after runtime.MemStats
				m             message
			)

			runtime.ReadMemStats(&before)

			err := Unmarshal([]byte(data), &m)

			runtime.ReadMemStats(&after)

			if err == nil {
				t.Error("error: got none, want one")
			}

			if got := after.TotalAlloc - before.TotalAlloc; got > maxAllocBytes {
				t.Errorf("memory for %d bytes: got %d, want at most %d", len(data), got, maxAllocBytes)
			}
		})
	}
}

func TestUnmarshalDecodesCompleteMessage(t *testing.T) {
	want := message{Items: []item{{Name: "a"}, {Name: "b"}}, Names: []string{"c"}, Text: "d", Texts: map[string]string{"e": "f"}}

	data, err := msgpack.Marshal(&want)
	if err != nil {
		t.Fatal(err)
	}

	var got message
	if err := Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}

	if len(got.Items) != 2 || got.Items[1].Name != "b" || got.Text != want.Text || got.Texts["e"] != "f" {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func BenchmarkUnmarshal(b *testing.B) {
	data, err := msgpack.Marshal(&message{Items: make([]item, 20), Names: make([]string, 100), Text: "d"})
	if err != nil {
		b.Fatal(err)
	}

	b.Run("checked", func(b *testing.B) {
		for b.Loop() {
			var m message
			if err := Unmarshal(data, &m); err != nil {
				b.Fatal(err)
			}
		}
	})

	b.Run("unchecked", func(b *testing.B) {
		for b.Loop() {
			var m message
			if err := msgpack.Unmarshal(data, &m); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// A message is complete if and only if the msgpack decoder can skip it. Without its last byte
// it is incomplete.
func FuzzIsComplete(f *testing.F) {
	data, err := msgpack.Marshal(map[string]any{
		"numbers": []any{1, -1, 1 << 10, 1 << 20, 1 << 40, 1.5, float32(2), true, nil}, "bytes": make([]byte, 300),
		"time": time.Unix(1000, 1), "text": "text",
	})
	if err != nil {
		f.Fatal(err)
	}

	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		read := bytes.NewReader(data)

		skipped := msgpack.NewDecoder(read).Skip()
		if got, want := isComplete(data), skipped == nil; got != want {
			t.Errorf("%x: got %t, want %t (%v)", data, got, want, skipped)
		}

		if skipped == nil {
			if used := len(data) - read.Len(); isComplete(data[:used-1]) {
				t.Errorf("%x without its last byte: got complete, want incomplete", data[:used])
			}
		}
	})
}

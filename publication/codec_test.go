package publication

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
)

func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	tests := []struct {
		desc   string
		record Record
	}{
		{desc: "published", record: Published{ID: "a", DerivedFrom: 7, Manifest: []byte("{}"), Operator: "o"}},
		{desc: "fence", record: Fence{ID: "b", DerivedFrom: 1 << 60}},
		{desc: "checkpoint", record: Checkpoint{Version: 3, Through: 9, ID: "c", Manifest: []byte("{}"), Operator: "o"}},
		{desc: "checkpoint of nothing", record: Checkpoint{Through: 9}},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			data, err := Encode(tt.record)
			if err != nil {
				t.Fatal(err)
			}

			got, err := Decode(data)
			if err != nil || !reflect.DeepEqual(got, tt.record) {
				t.Errorf("decoded: got %v, %v, want %v", got, err, tt.record)
			}
		})
	}
}

func TestDecodeSkipsWhatItDoesNotKnow(t *testing.T) {
	fence, err := Encode(Fence{ID: "a"})
	if err != nil {
		t.Fatal(err)
	}

	tests := []struct {
		desc string
		data []byte
	}{
		{desc: "nothing", data: nil},
		{desc: "a header alone", data: []byte{format, byte(kindFence)}},
		{desc: "a later format", data: append([]byte{format + 1}, fence[1:]...)},
		{desc: "a later kind", data: append([]byte{format, 99}, fence[2:]...)},
		{desc: "a cut body", data: fence[:len(fence)-1]},
		{desc: "bytes after the body", data: append(bytes.Clone(fence), 0)},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if got, err := Decode(tt.data); !errors.Is(err, ErrUndecodable) {
				t.Errorf("decoded: got %v, %v, want ErrUndecodable", got, err)
			}
		})
	}
}

func FuzzDecodeRecord(f *testing.F) {
	for _, r := range []Record{
		Published{ID: "a", DerivedFrom: 1, Manifest: manifestNumbered(1), Operator: "o"},
		Fence{ID: "b", DerivedFrom: 2},
		Checkpoint{Version: 1, Through: 2, ID: "a", Manifest: manifestNumbered(1)},
	} {
		data, err := Encode(r)
		if err != nil {
			f.Fatal(err)
		}

		f.Add(data)
	}

	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := Decode(data)
		if err != nil {
			return
		}

		again, err := Encode(record)
		if err != nil {
			t.Fatalf("encode what was decoded: %v", err)
		}

		got, err := Decode(again)
		if err != nil || !reflect.DeepEqual(got, record) {
			t.Errorf("decoded again: got %v, %v, want %v", got, err, record)
		}
	})
}

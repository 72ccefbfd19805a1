package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

func TestReadFrameReportsFault(t *testing.T) {
	whole := appendFrame(nil, frame{form: formRequest, kind: testKind, call: 9, body: []byte("body")})

	change := func(at int, to byte) []byte {
		b := bytes.Clone(whole)
		b[at] = to

		return b
	}

	tests := []struct {
		desc string
		raw  []byte
		want Fault
	}{
		{desc: "another version", raw: change(4, 2), want: FaultVersion},
		{desc: "no form", raw: change(5, 0), want: FaultForm},
		{desc: "unknown form", raw: change(5, byte(formEnd)), want: FaultForm},
		{desc: "too long", raw: change(0, 1), want: FaultSize},
		{desc: "cut in the header", raw: whole[:5], want: FaultTruncated},
		{desc: "cut after the header", raw: whole[:HeaderSize], want: FaultTruncated},
		{desc: "cut in the body", raw: whole[:len(whole)-1], want: FaultTruncated},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			_, err := readFrame(bytes.NewReader(tt.raw), DefaultMaxBody)

			var got *FrameError
			if !errors.As(err, &got) || got.Fault() != tt.want {
				t.Errorf("error: got %v, want fault %v", err, tt.want)
			}
		})
	}

	if _, err := readFrame(bytes.NewReader(nil), DefaultMaxBody); !errors.Is(err, io.EOF) {
		t.Errorf("end between frames: got %v, want %v", err, io.EOF)
	}
}

func FuzzDecodeFrame(f *testing.F) {
	f.Add(appendFrame(nil, frame{form: formMessage, kind: testKind, body: []byte("body")}))
	f.Add(appendFrame(nil, frame{form: formFailure, kind: testKind, call: 1}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 1, 0, 16, 0, 0, 0, 0})

	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := readFrame(bytes.NewReader(raw), 4096)
		if err != nil {
			var fault *FrameError
			if !errors.As(err, &fault) && !errors.Is(err, io.EOF) {
				t.Errorf("error: got %v, want a FrameError or EOF", err)
			}

			return
		}

		if again := appendFrame(nil, got); !bytes.Equal(again, raw[:len(again)]) {
			t.Errorf("encoded again: got %x, want %x", again, raw[:len(again)])
		}
	})
}

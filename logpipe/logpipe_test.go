package logpipe

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"monsoonlever/clock"
)

func TestDroppedLinesAreCountedAndReported(t *testing.T) {
	var out bytes.Buffer

	c := clock.NewManual(time.Unix(1000, 0))
	p := &Pipe{Out: &out, Clock: c}
	line := []byte(strings.Repeat("x", 1023) + "\n")

	for range 300 {
		if n, err := p.Write(line); n != len(line) || err != nil {
			t.Fatalf("write: got %d, %v, want the length of the line and no error", n, err)
		}
	}

	if p.HasSpareCapacity() {
		t.Error("after a burst: got spare capacity, want none")
	}

	c.Advance(20 * time.Second)

	if _, err := p.Write([]byte("last\n")); err != nil {
		t.Fatal(err)
	}

	if !p.HasSpareCapacity() {
		t.Error("20s later: got no spare capacity, want some")
	}

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p.Run(ctx)

	if got, want := strings.Count(out.String(), "xxx\n"), BurstBytes/1024; got != want {
		t.Errorf("lines: got %d, want %d", got, want)
	}

	if !strings.HasSuffix(out.String(), "log lines left out: 44\nlast\n") {
		t.Errorf("end: got %q, want the count before the last line", out.String()[out.Len()-60:])
	}
}

// Write must not block while no reader takes lines from the pipe.
func TestWriteNeverBlocks(t *testing.T) {
	p := &Pipe{Out: &bytes.Buffer{}, Clock: clock.NewManual(time.Unix(1000, 0))}

	for range 3 * queueLines {
		if _, err := p.Write([]byte("x\n")); err != nil {
			t.Fatal(err)
		}
	}

	if len(p.lines) != queueLines {
		t.Errorf("waiting: got %d lines, want %d", len(p.lines), queueLines)
	}
}

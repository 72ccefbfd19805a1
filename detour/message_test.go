package detour

import (
	"bytes"
	"errors"
	"testing"

	"monsoonlever/buffer"
	"monsoonlever/forward"
)

// Guards against responses by way of other instances that each stay within their bound and together
// exceed the memory of this one.
func TestMessageWithoutMemoryIsCut(t *testing.T) {
	var message bytes.Buffer

	if err := writeMessage(&message, &frame{Kind: frameResponse, Data: make([]byte, 1<<20)}); err != nil {
		t.Fatal(err)
	}

	budget := &buffer.Budget{Size: 1 << 20}
	conn := &connection{memory: budget.Reserve()}

	var got frame
	if err := readMessage(&message, conn.memory, &got); !errors.Is(err, buffer.ErrExhausted) {
		t.Errorf("got %v, want %v", err, buffer.ErrExhausted)
	}

	if left := message.Len(); left == 0 {
		t.Errorf("got the whole message read, want a part of it")
	}

	conn.memory.Release()

	if got, want := budget.Used(), int64(0); got != want {
		t.Errorf("memory in use: got %d bytes, want %d", got, want)
	}

	message.Reset()

	if err := writeMessage(&message, &frame{Kind: frameResult, Result: encodeResult(forward.DetourResult{})}); err != nil {
		t.Fatal(err)
	}

	if err := readMessage(&message, conn.memory, &got); err != nil || got.Kind != frameResult {
		t.Errorf("short message: got kind %d, %v, want %d", got.Kind, err, frameResult)
	}
}

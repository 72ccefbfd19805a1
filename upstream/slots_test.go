package upstream

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/fleet"
)

// Guards against requests of callers that take every descriptor of the process for connections to
// many servers, each within its own limit.
func TestConnectionsToAllServersAreBounded(t *testing.T) {
	first, _ := silent(t)
	second, _ := silent(t)
	second.ID = "i-2"
	pool := &Pool{Clock: clock.NewSteady(), Slots: &Slots{Max: 1}}

	if err := pool.Connect(t.Context(), first); err != nil {
		t.Fatalf("first connection: got %v, want no error", err)
	}

	// The idle connection makes room.
	conn, err := pool.get(t.Context(), second, false)
	if err != nil {
		t.Fatalf("second server: got %v, want no error", err)
	}

	if got, want := pool.OpenConnections(first.ID), 0; got != want {
		t.Errorf("connections to the first server: got %d, want %d", got, want)
	}

	if err := pool.Connect(t.Context(), first); !errors.Is(err, ErrConnectionLimit) || !errors.Is(err, backend.ErrNotSent) {
		t.Errorf("over the bound: got %v, want an error that wraps %v and %v", err, ErrConnectionLimit, backend.ErrNotSent)
	}

	pool.closeConnection(conn)

	if err := pool.Connect(t.Context(), first); err != nil {
		t.Errorf("after the end of the other: got %v, want no error", err)
	}
}

// Guards against slots that are lost or given back twice, by which a pool would open no connection any
// more, or as many as it likes.
func TestHoldsSlotsEqualOpenConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := &Slots{Max: rapid.Int64Range(1, 4).Draw(t, "slots")}
		pool := &Pool{Clock: clock.NewSteady(), Slots: slots}

		var reserved []*connection

		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			id := fleet.InstanceID(fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "server")))

			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				if conn, err := pool.reserveNew(id); err == nil {
					reserved = append(reserved, conn)
				}
			case 2:
				if len(reserved) > 0 {
					pool.release(reserved[0])
					reserved = reserved[1:]
				}
			case 3:
				pool.RemoveServer(id)
			}

			if got, want := slots.used.Load(), int64(len(reserved)); got != want || got > slots.Max {
				t.Fatalf("slots in use: got %d of %d, want %d", got, slots.Max, want)
			}
		}
	})
}

package answer

import (
	"fmt"
	"io"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// unlimited is a retry budget that always has one left.
type unlimited struct{}

func (unlimited) Take(time.Time) bool { return true }

// counted is a retry budget of a fixed size.
type counted struct{ left int }

func (c *counted) Take(time.Time) bool {
	c.left--

	return c.left >= 0
}

func wantToken(request RequestID, offset int) string {
	return fmt.Sprintf("%s/%d", request, offset)
}

// fakeStream is an attempt as a backend server sees it. It goes on streaming
// after it was cancelled: a cancel may be late or lost.
type fakeStream struct {
	attempt  backend.AttemptID
	server   fleet.InstanceID
	request  RequestID
	next     int
	finished bool
	broken   bool
}

// world runs several answers at once against judged callers.
type world struct {
	now     time.Time
	length  int
	servers int
	dead    map[fleet.InstanceID]bool
	leaving map[fleet.InstanceID]bool
	relays  []*Relay
	got     [][]string
	done    []string
	budgets []*counted
	streams [][]*fakeStream
}

func newWorld(t *rapid.T) *world {
	w := &world{
		now:     testStart,
		length:  rapid.IntRange(1, 12).Draw(t, "length"),
		servers: 6,
		dead:    map[fleet.InstanceID]bool{},
		leaving: map[fleet.InstanceID]bool{},
	}

	for i := range 2 {
		budget := &counted{left: rapid.IntRange(0, 8).Draw(t, "budget")}
		r := &Relay{
			Request:  RequestID(fmt.Sprintf("r%d", i)),
			Deadline: testStart.Add(time.Hour),
			Budget:   budget,
			Limits:   testLimits(),
		}
		w.relays = append(w.relays, r)
		w.budgets = append(w.budgets, budget)
		w.got = append(w.got, nil)
		w.done = append(w.done, "")
		w.streams = append(w.streams, nil)
		w.do(t, i, r.Start(w.now))
	}

	return w
}

func (w *world) step(t *rapid.T, i int, e Event) {
	w.do(t, i, w.relays[i].Step(w.now, e))
}

func (w *world) do(t *rapid.T, i int, commands []Command) {
	for _, c := range append([]Command(nil), commands...) {
		if w.done[i] != "" {
			t.Fatalf("request %d: got %T after its final answer %s", i, c, w.done[i])
		}

		switch c := c.(type) {
		case Dispatch:
			w.dispatch(t, i, c)
		case *Forward:
			w.judge(t, i, *c)
		case Complete:
			w.done[i] = "complete"
			if got, want := len(w.got[i]), w.length; got != want {
				t.Fatalf("request %d completed: got %d tokens, want %d", i, got, want)
			}
		case GiveUp:
			w.done[i] = string(c.Reason)
			w.judgeGiveUp(t, i, c)
		}
	}
}

func (w *world) judge(t *rapid.T, i int, c Forward) {
	want := wantToken(w.relays[i].Request, len(w.got[i]))

	if c.Offset != len(w.got[i]) || c.Token != want {
		t.Fatalf("request %d: got token %q at %d, want %q at %d", i, c.Token, c.Offset, want, len(w.got[i]))
	}

	w.got[i] = append(w.got[i], c.Token)
}

func (w *world) judgeGiveUp(t *rapid.T, i int, c GiveUp) {
	if c.RetryAfter <= 0 {
		t.Fatalf("request %d: given up without a time to come back", i)
	}

	if c.Ran == NotRun && len(w.streams[i]) > 0 {
		t.Fatalf("request %d: got %s, but %d attempts reached a server", i, c.Ran, len(w.streams[i]))
	}
}

func (w *world) dispatch(t *rapid.T, i int, d Dispatch) {
	server := w.pick(d)
	if server == "" {
		w.step(t, i, NoServer{Attempt: d.Attempt})

		return
	}

	w.step(t, i, Started{Attempt: d.Attempt, Server: server})
	w.streams[i] = append(w.streams[i], &fakeStream{
		attempt: d.Attempt,
		server:  server,
		request: w.relays[i].Request,
		next:    len(d.Generated),
	})
}

func (w *world) pick(d Dispatch) fleet.InstanceID {
	excluded := map[fleet.InstanceID]bool{}
	for _, id := range d.Exclude {
		excluded[id] = true
	}

	for n := range w.servers {
		id := fleet.InstanceID(fmt.Sprintf("s%d", n))
		if !w.dead[id] && !w.leaving[id] && !excluded[id] {
			return id
		}
	}

	return ""
}

func (w *world) anyStream(t *rapid.T) (int, *fakeStream) {
	i := rapid.IntRange(0, len(w.relays)-1).Draw(t, "request")
	if len(w.streams[i]) == 0 {
		t.Skip("no stream yet")
	}

	// Mostly the newest, at times one that was cancelled long ago.
	n := len(w.streams[i]) - 1
	if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		n = rapid.IntRange(0, n).Draw(t, "stream")
	}

	return i, w.streams[i][n]
}

func (w *world) emit(t *rapid.T, i int, s *fakeStream) {
	if s.broken || s.finished {
		return
	}

	if s.next < w.length {
		w.step(t, i, Token{Attempt: s.attempt, Offset: s.next, Text: wantToken(s.request, s.next)})
		s.next++

		return
	}

	s.finished = true
	w.step(t, i, Finished{Attempt: s.attempt, Offset: w.length, Reason: "stop"})
}

func (w *world) breakStream(t *rapid.T, i int, s *fakeStream, err error) {
	if s.broken || s.finished {
		return
	}

	s.broken = true
	w.step(t, i, Broken{Attempt: s.attempt, Err: err})
}

func (w *world) notice(t *rapid.T, server fleet.InstanceID) {
	w.leaving[server] = true
	at := w.now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "notice")) * time.Second)

	for i := range w.relays {
		w.step(t, i, LeavingNotice{Server: server, At: at})
	}
}

func (w *world) kill(t *rapid.T, server fleet.InstanceID) {
	w.dead[server] = true

	for i := range w.streams {
		for _, s := range append([]*fakeStream(nil), w.streams[i]...) {
			if s.server == server {
				w.breakStream(t, i, s, io.ErrUnexpectedEOF)
			}
		}
	}
}

func (w *world) advance(t *rapid.T, d time.Duration) {
	w.now = w.now.Add(d)

	for i := range w.relays {
		w.step(t, i, Tick{})
	}
}

// settle plays the world fairly, without new faults, until all have ended.
func (w *world) settle(t *rapid.T) {
	for range 400 {
		for i := range w.relays {
			if n := len(w.streams[i]); n > 0 && w.done[i] == "" {
				w.emit(t, i, w.streams[i][n-1])
			}
		}

		if w.done[0] != "" && w.done[1] != "" {
			return
		}

		w.advance(t, time.Second)
	}

	t.Fatalf("no final answer: got %q and %q", w.done[0], w.done[1])
}

func (w *world) actions() map[string]func(*rapid.T) {
	serverOf := rapid.Map(rapid.IntRange(0, w.servers-1), func(n int) fleet.InstanceID {
		return fleet.InstanceID(fmt.Sprintf("s%d", n))
	})

	return map[string]func(*rapid.T){
		"token": func(t *rapid.T) {
			i, s := w.anyStream(t)
			w.emit(t, i, s)
		},
		"more tokens": func(t *rapid.T) {
			i, s := w.anyStream(t)
			w.emit(t, i, s)
			w.emit(t, i, s)
		},
		"repeated token": func(t *rapid.T) {
			i, s := w.anyStream(t)
			offset := rapid.IntRange(0, max(0, s.next-1)).Draw(t, "offset")
			if s.next > 0 {
				w.step(t, i, Token{Attempt: s.attempt, Offset: offset, Text: wantToken(s.request, offset)})
			}
		},
		"lost token": func(t *rapid.T) {
			_, s := w.anyStream(t)
			if s.next < w.length {
				s.next++
			}
		},
		"crossed token": func(t *rapid.T) {
			i, _ := w.anyStream(t)
			_, other := w.anyStream(t)
			if other.request != w.relays[i].Request {
				w.step(t, i, Token{Attempt: other.attempt, Offset: len(w.got[i]), Text: wantToken(other.request, len(w.got[i]))})
			}
		},
		"early finish": func(t *rapid.T) {
			i, s := w.anyStream(t)
			if s.next < w.length && !s.broken && !s.finished {
				s.finished = true
				w.step(t, i, Finished{Attempt: s.attempt, Offset: w.length, Reason: "stop"})
			}
		},
		"end without finish": func(t *rapid.T) {
			i, s := w.anyStream(t)
			w.breakStream(t, i, s, io.ErrUnexpectedEOF)
		},
		"reclaim wave": func(t *rapid.T) {
			server := serverOf.Draw(t, "server")
			w.notice(t, server)
			if n := len(w.leaving); n == w.servers {
				w.leaving = map[fleet.InstanceID]bool{}
			}
		},
		"kv exported": func(t *rapid.T) {
			i, s := w.anyStream(t)
			w.step(t, i, KVExported{Attempt: s.attempt, Target: serverOf.Draw(t, "target"), KV: "kv"})
		},
		"export failed": func(t *rapid.T) {
			i, s := w.anyStream(t)
			w.step(t, i, ExportFailed{Attempt: s.attempt})
		},
		"kill": func(t *rapid.T) { w.kill(t, serverOf.Draw(t, "server")) },
		"replace": func(t *rapid.T) {
			server := serverOf.Draw(t, "server")
			delete(w.dead, server)
			delete(w.leaving, server)
		},
		"freeze": func(t *rapid.T) {
			w.advance(t, time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds"))*time.Second)
		},
	}
}

// TestHoldsWholeAnswer checks that every token of an answer reaches its own
// caller exactly once and in order, or that the caller is refused, whatever
// streams, servers and reclaim waves do.
func TestHoldsWholeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.settle(t)
	})
}

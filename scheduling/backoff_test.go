package scheduling

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/register"
)

// Guards against requests to a server during its backoff, whatever happens meanwhile: shorter
// backoffs, lapsed entries, restarts.
func TestHoldsNoSendWithinABackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := now
		s := &Scheduler{Domain: "a"}
		ids := []fleet.InstanceID{"i-1", "i-2", "i-3"}
		incarnations := map[fleet.InstanceID]fleet.Incarnation{"i-1": 1, "i-2": 1, "i-3": 1}
		backoffEnds := make(map[register.Process]time.Time)

		update := func(without fleet.InstanceID) {
			var servers []register.Server

			for _, id := range ids {
				if id != without {
					servers = append(servers, register.Server{ID: id, Incarnation: incarnations[id], Service: "llm", Domain: "a", Slots: 8})
				}
			}

			s.Update(servers)
		}
		update("")

		pickServer := func(t *rapid.T) *Assignment {
			a, err := s.Pick(at, Request{Service: "llm"})
			if err != nil {
				return nil
			}

			if backoffEnds[a.Server()].After(at) {
				t.Errorf("%v: got it picked %v before its backoff ends, want another server or none", a.Server(), backoffEnds[a.Server()].Sub(at))
			}

			return a
		}

		// waiting were picked and not started; inFlight were started and not answered.
		var waiting, inFlight []*Assignment

		t.Repeat(map[string]func(*rapid.T){
			"rejected": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return
				}

				a := inFlight[0]
				inFlight = inFlight[1:]
				backoff := time.Duration(rapid.IntRange(1, 5000).Draw(t, "backoff")) * time.Millisecond
				a.AnnouncedBackoff(at, backoff)
				a.End(at, Rejected)

				if end := at.Add(backoff); end.After(backoffEnds[a.Server()]) {
					backoffEnds[a.Server()] = end
				}
			},
			"picked": func(t *rapid.T) {
				if a := pickServer(t); a != nil {
					waiting = append(waiting, a)
				}
			},
			"sent": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}

				a := waiting[0]
				waiting = waiting[1:]

				if a.Start(at) {
					if backoffEnds[a.Server()].After(at) {
						t.Errorf("%v: got a request started within a backoff that began after it was picked, want it refused", a.Server())
					}

					inFlight = append(inFlight, a)
				}
			},
			"accepted": func(*rapid.T) {
				if len(inFlight) == 0 {
					return
				}

				a := inFlight[0]
				inFlight = inFlight[1:]
				a.Accepted()
				a.End(at, Served)
			},
			"later":       func(t *rapid.T) { at = at.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond) },
			"lapsed":      func(t *rapid.T) { update(rapid.SampledFrom(ids).Draw(t, "id")) },
			"all present": func(*rapid.T) { update("") },
			"server restarted": func(t *rapid.T) {
				incarnations[rapid.SampledFrom(ids).Draw(t, "id")]++
				update("")
			},
			"": func(*rapid.T) {},
		})
	})
}

// Guards against an answer with a shorter backoff ending a longer one that was requested before.
func TestShorterBackoffDoesNotEndLongerOne(t *testing.T) {
	s := engines(1, 64)
	askBackoffAt(t, s, now, 3*time.Second, "i-0")
	askBackoffAt(t, s, now, time.Second, "i-0")

	for _, after := range []time.Duration{time.Second, 3*time.Second - 1} {
		if a, err := s.Pick(now.Add(after), Request{Service: "llm"}); !errors.Is(err, ErrNoServer) {
			t.Errorf("after %v: got %v, %v, want no server", after, a, err)
		}
	}

	pickAt(t, s, now.Add(3*time.Second), Request{Service: "llm"})
}

// Guards against requests that wait in vain, or are told to retry too soon, when all servers are
// in backoff.
func TestRequestRefusedWhenAllServersInBackoff(t *testing.T) {
	const backoff = 3 * time.Second

	for name, excluded := range map[string][]fleet.InstanceID{
		"not tried": nil, "one tried": {"i-0"}, "both tried": {"i-0", "i-1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := engines(2, 64)
				askBackoff(t, s, backoff, "i-0", "i-1")

				began := time.Now()
				_, err := place(t, s, Request{Service: "llm", Excluded: excluded, WaitUntil: began.Add(time.Second)})

				var noRoom *NoRoomError
				if !errors.As(err, &noRoom) || time.Since(began) > 0 || noRoom.RetryAfter < backoff {
					t.Errorf("got %v after %v, want it refused immediately, with a retry after at least %v", err, time.Since(began), backoff)
				}
			})
		})
	}
}

// Guards against refusing a request although a server's backoff ends in time.
func TestRequestWaitsForShortBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := engines(2, 64)
		askBackoff(t, s, 3*time.Second, "i-0")
		askBackoff(t, s, 200*time.Millisecond, "i-1")

		began := time.Now()

		a, err := place(t, s, Request{Service: "llm", WaitUntil: began.Add(time.Second)})
		if err != nil || a.ID() != "i-1" || time.Since(began) < 200*time.Millisecond {
			t.Errorf("got %v, %v after %v, want i-1 once its backoff is over", a, err, time.Since(began))
		}
	})
}

// askBackoff makes servers reject a request now and request a backoff.
func askBackoff(t *testing.T, s *Scheduler, backoff time.Duration, ids ...fleet.InstanceID) {
	t.Helper()
	askBackoffAt(t, s, clock.System{}.Now(), backoff, ids...)
}

// Guards against flooding a server when its backoff ends.
func TestHalfOpenSendsOneRequestAtATime(t *testing.T) {
	s := engines(1, 64)
	s.Resume = ResumePolicy{HalfOpen: true}
	askBackoffAt(t, s, now, time.Second, "i-0")

	at := now.Add(time.Second)
	first, second := pickAt(t, s, at, Request{Service: "llm"}), pickAt(t, s, at, Request{Service: "llm"})

	if !first.Start(at) || second.Start(at) {
		t.Fatal("two requests at the end of a backoff: got the first blocked or the second started, want only the first started")
	}

	first.End(at, Failed)

	third := pickAt(t, s, at, Request{Service: "llm"})
	if !third.Start(at) {
		t.Fatal("after the first failed: got the next blocked, want it started")
	}

	if _, err := s.Pick(at, Request{Service: "llm"}); !errors.Is(err, ErrNoServer) {
		t.Errorf("while the trial is in flight: got %v, want no server", err)
	}

	third.Accepted()

	for range 2 {
		if !pickAt(t, s, at, Request{Service: "llm"}).Start(at) {
			t.Error("after the server accepted one: got a request blocked, want it started")
		}
	}
}

// Guards against refusing final requests, which are sent to one server only, because they were
// used as trials after a backoff.
func TestFinalRequestIsNotTrialWhileOthersHaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := engines(2, 64)
		s.Resume = ResumePolicy{HalfOpen: true, FinalDelay: time.Second}
		askBackoff(t, s, time.Second, "i-0")
		time.Sleep(time.Second)

		final := Request{Service: "llm", Final: true}

		for range 8 {
			if a, err := place(t, s, final); err != nil || a.ID() != "i-1" {
				t.Fatalf("got %v, %v, want the server that is not in backoff", a, err)
			}
		}

		final.Excluded = []fleet.InstanceID{"i-1"}

		if a, err := place(t, s, final); err != nil || a.ID() != "i-0" {
			t.Errorf("no other server is left: got %v, %v, want the server after its backoff", a, err)
		}

		time.Sleep(time.Second)

		final.Excluded = nil
		s.servers["i-1"].running.Add(60)

		if a, err := place(t, s, final); err != nil || a.ID() != "i-0" {
			t.Errorf("after FinalDelay: got %v, %v, want the idle server", a, err)
		}
	})
}

// Guards against waiting for a trial for longer than WaitUntil, which follows from the objective.
func TestWaitForTrialEndsAtWaitUntil(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := engines(1, 64)
		s.Resume = ResumePolicy{HalfOpen: true}
		askBackoff(t, s, time.Second, "i-0")
		time.Sleep(time.Second)

		trial := pickAt(t, s, time.Now(), Request{Service: "llm"})
		trial.Start(time.Now())

		began := time.Now()

		var noRoom *NoRoomError
		if _, err := place(t, s, Request{Service: "llm", WaitUntil: began.Add(500 * time.Millisecond)}); !errors.As(err, &noRoom) {
			t.Errorf("got %v, want a NoRoomError", err)
		}

		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("refused after %v, want at WaitUntil at the latest", took)
		}

		time.AfterFunc(100*time.Millisecond, trial.Accepted)

		if _, err := place(t, s, Request{Service: "llm", WaitUntil: time.Now().Add(500 * time.Millisecond)}); err != nil {
			t.Errorf("the server accepts requests again: got %v, want the request placed", err)
		}
	})
}

func pickAt(t *testing.T, s *Scheduler, at time.Time, r Request) *Assignment {
	t.Helper()

	a, err := s.Pick(at, r)
	if err != nil {
		t.Fatal(err)
	}

	return a
}

func askBackoffAt(t *testing.T, s *Scheduler, at time.Time, backoff time.Duration, ids ...fleet.InstanceID) {
	t.Helper()

	for _, id := range ids {
		a := &Assignment{scheduler: s, server: s.servers[id]}
		a.AnnouncedBackoff(at, backoff)
	}
}

// Guards against refusing a request when a backoff ends between Pick and awaitRoom.
func TestAwaitRoomRetriesAfterBackoffEnds(t *testing.T) {
	s := engines(1, 64)

	if a, err := s.awaitRoom(t.Context(), clock.System{}, &Request{Service: "llm"}); a != nil || err != nil {
		t.Errorf("a server accepts requests by now: got %v, %v, want neither, so that Place picks again", a, err)
	}
}

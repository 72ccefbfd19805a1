package claim

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pickKey draws a new key or one that callers already use.
func (m *model) pickKey(t *rapid.T) *modelKey {
	if len(m.keys) == 0 || rapid.IntRange(0, 3).Draw(t, "key") == 0 {
		return m.newKey(rapid.Bool().Draw(t, "key tells its time"))
	}

	recent := min(len(m.keys), m.crowd)

	return m.keys[len(m.keys)-1-rapid.IntRange(0, recent-1).Draw(t, "which key")]
}

func (m *model) pick(t *rapid.T) *modelProcess {
	return m.processes[rapid.IntRange(0, len(m.processes)-1).Draw(t, "process")]
}

// settle lets all processes go on without faults until every attempt has had
// its time.
func (m *model) settle() {
	for range 40 {
		m.round(time.Millisecond)
	}

	for range 40 {
		m.round(m.times.maxWait / 20)
	}
}

// round lets every process take a turn without faults.
func (m *model) round(pause time.Duration) {
	m.now = m.now.Add(pause)

	for _, p := range m.processes {
		m.setDown(p, false)

		for range 8 {
			m.flush(p, appendTaken)
		}
	}

	for _, p := range m.processes {
		m.read(p, 1000)

		for len(p.sends) > 0 {
			m.send(p, sendAnswered)
		}

		m.run(p, p.table.Tick(m.now))
	}
}

func (m *model) checkAnswered() {
	for _, a := range m.attempts {
		if !a.answered {
			m.t.Fatalf("attempt %d with %s: got no answer with the log up, want one", a.id, a.key.key.Value())
		}
	}

	for _, p := range m.processes {
		if got, want := p.table.Open(), 0; got != want {
			m.t.Fatalf("attempts left open at %s: got %d, want %d", p.id, got, want)
		}
	}

	m.checkEnded()
}

// checkEnded checks that no key stays claimed once every process went on,
// unless one of them has missed records.
func (m *model) checkEnded() {
	if m.gaps > 0 {
		return
	}

	for _, p := range m.processes {
		for _, state := range p.table.keys {
			if state.phase == keyClaimed && !state.uncertain {
				m.t.Fatalf("key at %s with all processes going on: got claimed, want ended or free", p.id)
			}
		}
	}
}

func TestHoldsAtMostOnce(t *testing.T) {
	appendFaults := rapid.SampledFrom([]appendFault{
		appendTaken, appendTaken, appendTaken, appendRefused, appendAnswerLost, appendNeverArrives, appendArrivesLate,
	})
	sendFaults := rapid.SampledFrom([]sendFault{
		sendAnswered, sendAnswered, sendAnswerLost, sendRefused, sendNotSent, sendNeverArrives, sendArrivesLate,
	})
	pauses := rapid.Custom(func(t *rapid.T) time.Duration {
		if rapid.IntRange(0, 9).Draw(t, "long") != 0 {
			return rapid.SampledFrom([]time.Duration{time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "short pause")
		}

		return rapid.SampledFrom([]time.Duration{
			time.Second, 4 * time.Second, 20 * time.Second, wideTimes.window / 3, wideTimes.window,
		}).Draw(t, "long pause")
	})

	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SampledFrom([]modelTimes{wideTimes, tightTimes, shortTimes}).Draw(t, "times")
		m := newModel(t, times, rapid.IntRange(1, 3).Draw(t, "processes"))
		m.crowd = rapid.IntRange(1, 4).Draw(t, "crowd")

		submit := func(t *rapid.T) {
			k := m.pickKey(t)
			if !m.usable(k) {
				t.Skip("its caller has given the key up")
			}

			body := byte(0)
			if rapid.IntRange(0, 9).Draw(t, "body") == 0 {
				body = 1
			}

			wait := rapid.SampledFrom([]time.Duration{time.Second / 2, m.times.maxWait}).Draw(t, "deadline")
			m.submit(m.pick(t), k, body, wait)
		}
		flush := func(t *rapid.T) { m.flush(m.pick(t), appendFaults.Draw(t, "append")) }
		read := func(t *rapid.T) { m.read(m.pick(t), rapid.IntRange(1, 6).Draw(t, "limit")) }
		send := func(t *rapid.T) { m.send(m.pick(t), sendFaults.Draw(t, "send")) }

		t.Repeat(map[string]func(*rapid.T){
			"submit":       submit,
			"submit again": submit,
			"flush":        flush,
			"flush again":  flush,
			"read":         read,
			"read again":   read,
			"send":         send,
			"send again":   send,
			"turn": func(t *rapid.T) {
				p := m.pick(t)
				m.flush(p, appendTaken)
				m.read(p, 100)
			},
			"round": func(*rapid.T) {
				for _, p := range m.processes {
					m.flush(p, appendTaken)
				}

				for _, p := range m.processes {
					m.read(p, 100)
				}
			},
			"tick": func(t *rapid.T) {
				p := m.pick(t)
				m.run(p, p.table.Tick(m.now))
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(pauses.Draw(t, "pause"))
				m.trim()
			},
			"late append": func(t *rapid.T) {
				if len(m.late) == 0 {
					t.Skip("nothing is late")
				}

				i := rapid.IntRange(0, len(m.late)-1).Draw(t, "late")
				m.land(m.late[i].data)

				if rapid.Bool().Draw(t, "only once") {
					m.late = append(m.late[:i], m.late[i+1:]...)
				}
			},
			"late send": func(t *rapid.T) {
				if len(m.lateSends) == 0 {
					t.Skip("nothing is late")
				}

				m.arriveSend(rapid.IntRange(0, len(m.lateSends)-1).Draw(t, "late"))
			},
			"log": func(t *rapid.T) {
				m.setDown(m.pick(t), rapid.IntRange(0, 4).Draw(t, "down") == 0)
			},
			"suspect": func(t *rapid.T) {
				p, other := m.pick(t), m.pick(t)
				m.run(p, p.table.InstanceGone(other.id, other.incarnation))
			},
			"replace": func(t *rapid.T) {
				p := m.pick(t)
				if p.replaced || len(m.processes) > 6 {
					t.Skip("replaced already")
				}

				// The old process may go on at any time.
				p.replaced = true
				m.start(p.id, p.incarnation+1)
			},
			"abandon": func(t *rapid.T) {
				p := m.pick(t)
				if p.next == 0 || rapid.IntRange(0, 3).Draw(t, "leave it") != 0 {
					t.Skip("nothing to abandon")
				}

				id := RequestID(rapid.IntRange(1, int(p.next)).Draw(t, "attempt"))
				m.run(p, p.table.Abandon(m.now, id))
			},
		})

		m.settle()
		m.checkAnswered()

		for len(m.lateSends) > 0 {
			m.arriveSend(0)
		}
	})

	met.note(func(m *tally) {
		t.Logf("met %d keys, %d attempts, %d executions, verdicts %v", m.keys, m.attempts, m.executions, m.verdicts)
	})
}

func TestHoldsWithoutFaultsEveryRequestRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, wideTimes, rapid.IntRange(1, 4).Draw(t, "processes"))
		m.crowd = 4

		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) { m.submit(m.pick(t), m.pickKey(t), 0, m.times.maxWait) },
			"flush":  func(t *rapid.T) { m.flush(m.pick(t), appendTaken) },
			"read":   func(t *rapid.T) { m.read(m.pick(t), 2) },
			"send":   func(t *rapid.T) { m.send(m.pick(t), sendAnswered) },
			"wait":   func(*rapid.T) { m.now = m.now.Add(10 * time.Millisecond) },
		})

		m.settle()
		m.checkAnswered()

		for _, k := range m.keys {
			if got, want := k.executions, 1; got != want {
				t.Fatalf("%s without faults: got %d executions, want %d", k.key.Value(), got, want)
			}
		}
	})
}

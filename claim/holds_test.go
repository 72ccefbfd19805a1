package claim

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pickKey returns a new key or one of the latest keys.
func (m *model) pickKey(t *rapid.T) *modelKey {
	if len(m.keys) == 0 || rapid.IntRange(0, 3).Draw(t, "key") == 0 {
		return m.newKey(rapid.Bool().Draw(t, "key has time"))
	}

	recent := min(len(m.keys), m.recentKeys)

	return m.keys[len(m.keys)-1-rapid.IntRange(0, recent-1).Draw(t, "which key")]
}

func (m *model) pickProcess(t *rapid.T) *modelProcess {
	return m.processes[rapid.IntRange(0, len(m.processes)-1).Draw(t, "process")]
}

// settle runs all processes without faults until the deadline of every attempt has passed.
func (m *model) settle() {
	for range 40 {
		m.round(time.Millisecond)
	}

	for range 40 {
		m.round(m.times.maxTimeout / 20)
	}
}

// round runs every process once without faults.
func (m *model) round(pause time.Duration) {
	m.now = m.now.Add(pause)

	for _, p := range m.processes {
		m.setDown(p, false)

		for range 8 {
			m.flush(p, appendAcknowledged)
		}
	}

	for _, p := range m.processes {
		m.read(p, 1000)

		for len(p.sends) > 0 {
			m.send(p, sendSucceeds)
		}

		m.run(p, p.table.Tick(m.now))
	}
}

func (m *model) checkAllResolved() {
	for _, a := range m.attempts {
		if !a.resolved {
			m.t.Fatalf("attempt %d with %s: got no verdict with the log available, want one", a.id, a.key.key.Value())
		}
	}

	for _, p := range m.processes {
		if got, want := p.table.OpenAttempts(), 0; got != want {
			m.t.Fatalf("open attempts at %s: got %d, want %d", p.id, got, want)
		}
	}

	m.checkNoKeyClaimed()
}

// checkNoKeyClaimed checks that no key is still claimed after all processes ran without
// faults. It checks nothing if a process missed records, since the outcome of a key may be
// among them.
func (m *model) checkNoKeyClaimed() {
	if m.gaps > 0 {
		return
	}

	for _, p := range m.processes {
		for _, state := range p.table.keys {
			if state.phase == keyClaimed && !state.uncertain {
				m.t.Fatalf("key at %s after all processes ran without faults: got claimed, want completed or free", p.id)
			}
		}
	}
}

// TestHoldsAtMostOnce checks that no key runs twice and that every verdict agrees with the
// executions, despite failed appends and calls, pauses, log outages, and processes that are
// suspected or replaced.
func TestHoldsAtMostOnce(t *testing.T) {
	appendFaults := rapid.SampledFrom([]appendFault{
		appendAcknowledged, appendAcknowledged, appendAcknowledged, appendRefused, appendResponseLost, appendLost, appendDelayed,
	})
	sendFaults := rapid.SampledFrom([]sendFault{
		sendSucceeds, sendSucceeds, sendResponseLost, sendRefused, sendNotSent, sendLost, sendDelayed,
	})
	pauses := rapid.Custom(func(t *rapid.T) time.Duration {
		if rapid.IntRange(0, 9).Draw(t, "long") != 0 {
			return rapid.SampledFrom([]time.Duration{time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "short pause")
		}

		return rapid.SampledFrom([]time.Duration{
			time.Second, 4 * time.Second, 20 * time.Second, longWindow.window / 3, longWindow.window,
		}).Draw(t, "long pause")
	})

	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SampledFrom([]modelTimings{longWindow, shortWindow, shortRetention}).Draw(t, "times")
		m := newModel(t, times, rapid.IntRange(1, 3).Draw(t, "processes"))
		m.recentKeys = rapid.IntRange(1, 4).Draw(t, "recent keys")

		submit := func(t *rapid.T) {
			k := m.pickKey(t)
			if !m.mayUse(k) {
				t.Skip("the caller may not use the key any more")
			}

			body := byte(0)
			if rapid.IntRange(0, 9).Draw(t, "body") == 0 {
				body = 1
			}

			wait := rapid.SampledFrom([]time.Duration{time.Second / 2, m.times.maxTimeout}).Draw(t, "deadline")
			m.submit(m.pickProcess(t), k, body, wait)
		}
		flush := func(t *rapid.T) { m.flush(m.pickProcess(t), appendFaults.Draw(t, "append")) }
		read := func(t *rapid.T) { m.read(m.pickProcess(t), rapid.IntRange(1, 6).Draw(t, "limit")) }
		send := func(t *rapid.T) { m.send(m.pickProcess(t), sendFaults.Draw(t, "send")) }

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
				p := m.pickProcess(t)
				m.flush(p, appendAcknowledged)
				m.read(p, 100)
			},
			"round": func(*rapid.T) {
				for _, p := range m.processes {
					m.flush(p, appendAcknowledged)
				}

				for _, p := range m.processes {
					m.read(p, 100)
				}
			},
			"tick": func(t *rapid.T) {
				p := m.pickProcess(t)
				m.run(p, p.table.Tick(m.now))
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(pauses.Draw(t, "pause"))
				m.trim()
			},
			"late append": func(t *rapid.T) {
				if len(m.lateAppends) == 0 {
					t.Skip("no append is late")
				}

				i := rapid.IntRange(0, len(m.lateAppends)-1).Draw(t, "late")
				m.appendRecord(m.lateAppends[i].data)

				if rapid.Bool().Draw(t, "only once") {
					m.lateAppends = append(m.lateAppends[:i], m.lateAppends[i+1:]...)
				}
			},
			"late send": func(t *rapid.T) {
				if len(m.lateSends) == 0 {
					t.Skip("no call is late")
				}

				m.deliverLateSend(rapid.IntRange(0, len(m.lateSends)-1).Draw(t, "late"))
			},
			"log": func(t *rapid.T) {
				m.setDown(m.pickProcess(t), rapid.IntRange(0, 4).Draw(t, "down") == 0)
			},
			"suspect": func(t *rapid.T) {
				p, other := m.pickProcess(t), m.pickProcess(t)
				m.run(p, p.table.InstanceRemoved(other.id, other.incarnation))
			},
			"replace": func(t *rapid.T) {
				p := m.pickProcess(t)
				if p.replaced || len(m.processes) > 6 {
					t.Skip("replaced already")
				}

				// The old process is only paused and may continue at any time.
				p.replaced = true
				m.start(p.id, p.incarnation+1)
			},
			"abandon": func(t *rapid.T) {
				p := m.pickProcess(t)
				if p.next == 0 || rapid.IntRange(0, 3).Draw(t, "skip") != 0 {
					t.Skip("nothing to abandon")
				}

				id := AttemptID(rapid.IntRange(1, int(p.next)).Draw(t, "attempt"))
				m.run(p, p.table.Abandon(m.now, id))
			},
		})

		m.settle()
		m.checkAllResolved()

		for len(m.lateSends) > 0 {
			m.deliverLateSend(0)
		}
	})

	totals.update(func(m *coverage) {
		t.Logf("covered %d keys, %d attempts, %d executions, verdicts %v", m.keys, m.attempts, m.executions, m.verdicts)
	})
}

func TestHoldsEveryKeyRunsOnceWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, longWindow, rapid.IntRange(1, 4).Draw(t, "processes"))
		m.recentKeys = 4

		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) { m.submit(m.pickProcess(t), m.pickKey(t), 0, m.times.maxTimeout) },
			"flush":  func(t *rapid.T) { m.flush(m.pickProcess(t), appendAcknowledged) },
			"read":   func(t *rapid.T) { m.read(m.pickProcess(t), 2) },
			"send":   func(t *rapid.T) { m.send(m.pickProcess(t), sendSucceeds) },
			"wait":   func(*rapid.T) { m.now = m.now.Add(10 * time.Millisecond) },
		})

		m.settle()
		m.checkAllResolved()

		for _, k := range m.keys {
			if got, want := k.executions, 1; got != want {
				t.Fatalf("%s without faults: got %d executions, want %d", k.key.Value(), got, want)
			}
		}
	})
}

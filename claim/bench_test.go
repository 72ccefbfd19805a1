package claim

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"monsoonlever/logstream"
	"monsoonlever/provider"
)

// completedKeyPayloads returns the payloads of a claim and an outcome of key i.
func completedKeyPayloads(i int) (claim, outcome []byte) {
	var key KeyID

	binary.BigEndian.PutUint64(key[:], uint64(i)*0x9e3779b97f4a7c15)

	claim = encode(claimRecord{Key: key, Request: AttemptID(i), Digest: Digest(key)})
	outcome = encode(outcomeRecord{
		Key: key, Request: AttemptID(i), Digest: Digest(key), Kept: true, Status: 200,
		Header: []Field{{Name: "Content-Type", Value: "application/json"}},
		Body:   make([]byte, 256),
	})

	return claim, outcome
}

func newEntry(i int, kind logstream.Kind, payload []byte) logstream.Entry {
	by := logstream.Author{Writer: "entry-1", Incarnation: 1, Sequence: logstream.Sequence(i)}

	return logstream.NewEntry(by, kind, payload, logstream.Place{Offset: provider.Offset(i), Time: testStart})
}

func BenchmarkClaimStep(b *testing.B) {
	table := NewTable(Config{Self: "entry-0", Incarnation: 1, MaxOpenAttempts: 1 << 30})
	table.Horizon(time.Time{})
	table.CaughtUp()

	key := NewKey("payrun-api", "kronvig", "k")
	i := 0

	b.ReportAllocs()

	for b.Loop() {
		i++
		k := key
		k.value = string(binary.BigEndian.AppendUint64(nil, uint64(i)))
		commands := table.Submit(testStart, NewSubmission(AttemptID(i), k, Digest{}, testStart.Add(time.Minute)))
		c := commands[0].(Append)
		by := logstream.Author{Writer: "entry-0", Incarnation: 1, Sequence: logstream.Sequence(i)}
		table.Read(testStart, logstream.NewEntry(by, c.kind, c.payload, logstream.Place{Time: testStart}))

		done := table.Completed(testStart, AttemptID(i), NewResult(200, nil, nil))
		o := done[len(done)-1].(Append)
		table.Read(testStart, logstream.NewEntry(by, o.kind, o.payload, logstream.Place{Time: testStart}))
	}
}

func BenchmarkReplay(b *testing.B) {
	const pairs = 4096

	var entries []logstream.Entry

	for i := range pairs {
		claim, outcome := completedKeyPayloads(i)
		entries = append(entries, newEntry(2*i, KindClaim, claim), newEntry(2*i+1, KindOutcome, outcome))
	}

	var table *Table

	i := 0

	b.ReportAllocs()

	for b.Loop() {
		if i%len(entries) == 0 {
			table = NewTable(Config{Self: "entry-0", Incarnation: 1})
			table.Horizon(time.Time{})
		}

		table.Read(testStart, entries[i%len(entries)])
		i++
	}
}

func heapInUse() uint64 {
	runtime.GC()

	var stats runtime.MemStats

	runtime.ReadMemStats(&stats)

	return stats.HeapAlloc
}

// BenchmarkKeyMemory reports the heap bytes per retained key.
func BenchmarkKeyMemory(b *testing.B) {
	const keys = 200_000

	tests := []struct {
		desc    string
		outcome bool
	}{
		{desc: "claimed", outcome: false},
		{desc: "with an answer of 256 bytes", outcome: true},
	}

	for _, tt := range tests {
		b.Run(tt.desc, func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				table := NewTable(Config{Self: "entry-0", Incarnation: 1})
				table.Horizon(time.Time{})

				for i := range keys {
					claim, outcome := completedKeyPayloads(i)
					table.Read(testStart, newEntry(2*i, KindClaim, claim))

					if tt.outcome {
						table.Read(testStart, newEntry(2*i+1, KindOutcome, outcome))
					}
				}

				b.ReportMetric(float64(heapInUse()-before)/keys, "B/key")
				runtime.KeepAlive(table)
			}
		})
	}
}

// BenchmarkRecordSize reports the payload size of each kind of record.
func BenchmarkRecordSize(b *testing.B) {
	claim, outcome := completedKeyPayloads(1)
	void := encode(voidRecord{Request: 1, Reason: ReasonDeclined})

	for b.Loop() {
		b.ReportMetric(float64(len(claim)), "B/claim")
		b.ReportMetric(float64(len(outcome)), "B/outcome256")
		b.ReportMetric(float64(len(void)), "B/void")
	}
}

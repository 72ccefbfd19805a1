package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/lease"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

var sizeStart = time.Date(2026, time.December, 1, 8, 0, 0, 0, time.UTC)

// BenchmarkRecordSize reports the encoded size of controller records, without the framing of the log
// client.
func BenchmarkRecordSize(b *testing.B) {
	holder := lease.Holder{Instance: "entry-410", Incarnation: 1_764_576_000_000_000_000}
	cell := placement.Cell{Domain: "ballerup-a", Class: "gpu-large", Market: provider.Reclaimable}

	reportSize(b, "lease", lease.Record{
		Kind: lease.Renew, Role: "control/dk-east", Holder: holder, Sequence: 100_000, Previous: 3_000_000,
		Term: lease.DefaultConfig().Term,
	})
	reportSize(b, "intent", placement.Record{
		Step: placement.StepBuy, Fence: 3_000_000, Sequence: 1_000, Token: placement.Token{Fence: 3_000_000, Sequence: 1_000},
		Service: "ledger-llm", Cell: cell, At: sizeStart,
	})

	for _, instances := range []int{13, 100, 1_600} {
		intents := make([]placement.Intent, instances)
		for i := range intents {
			intents[i] = placement.Intent{
				Token: placement.Token{Fence: 3_000_000, Sequence: uint64(i)}, Service: "ledger-llm", Cell: cell,
			}
		}

		reportSize(b, fmt.Sprintf("checkpoint/instances=%d", instances), Checkpoint{
			AsOf: 3_000_000, AsOfTime: sizeStart,
			Lease:   lease.Snapshot{Role: "control/dk-east", Holder: holder, Fence: 3_000_000, Last: 3_000_000},
			Intents: placement.Snapshot{Fence: 3_000_000, Sequence: 1_000, Intents: intents},
		})
	}
}

func reportSize(b *testing.B, name string, record any) {
	b.Helper()
	b.Run(name, func(b *testing.B) {
		var size int

		for b.Loop() {
			data, err := msgpack.Marshal(record)
			if err != nil {
				b.Fatal(err)
			}

			size = len(data)
		}

		b.ReportMetric(float64(size), "B/record")
	})
}

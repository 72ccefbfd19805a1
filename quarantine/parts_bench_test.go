package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRecordBeginBesideSuspects measures a begin on a part that is a suspect, beside as many other
// suspects as are remembered, some of which may hold parts off.
func BenchmarkRecordBeginBesideSuspects(b *testing.B) {
	for name, crashes := range map[string]int{"of one crash": 1, "of four crashes": 4} {
		b.Run(name, func(b *testing.B) {
			var p Parts

			now := partsNow

			for i := range maxPartSuspects / 4 {
				keys := PartKeys("llm", []string{fmt.Sprint("a", i), fmt.Sprint("b", i), fmt.Sprint("c", i), "own"})

				for range crashes {
					now = now.Add(time.Second)
					p.RecordCrash(now, crashed(int(now.Unix())), keys)
				}
			}

			part := PartKeys("llm", []string{"all", "own"})
			p.RecordCrash(now, crashed(1), part)
			b.ResetTimer()

			for i := range b.N {
				if i%2 == 0 {
					p.RecordCrash(now.Add(time.Duration(i)*time.Millisecond), crashed(2+i), part)
				}

				p.RecordBegin(now.Add(time.Duration(i)*time.Millisecond), fmt.Sprint("r", i), part)
			}
		})
	}
}

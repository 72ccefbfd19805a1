package logstream

import "testing"

// BenchmarkRecordOverhead reports what a batch adds to its payloads.
func BenchmarkRecordOverhead(b *testing.B) {
	one := Batch{Writer: "entry-1", Incarnation: 1_767_225_600_000_000_000, WrittenMilli: 1_767_225_600_000, First: 1_000_000}
	many := one
	one.Items = []Item{{Kind: KindFirst, Payload: make([]byte, 50)}}

	for range 20 {
		many.Items = append(many.Items, one.Items[0])
	}

	for b.Loop() {
		first, _ := one.Encode()
		all, _ := many.Encode()
		b.ReportMetric(float64(len(first)-50), "B/batchOfOne")
		b.ReportMetric(float64(len(all)-len(first))/19-50, "B/furtherItem")
	}
}

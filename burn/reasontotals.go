package burn

import (
	"cmp"
	"slices"
)

// ReasonTotals adds up the refusals of rows by reason, the most frequent first.
func ReasonTotals(rows []Row) []ReasonCount {
	var s Series

	for _, row := range rows {
		for _, c := range row.Reasons {
			s.addReason(c)
		}
	}

	slices.SortFunc(s.Reasons, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})

	return s.Reasons
}

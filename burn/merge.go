package burn

import (
	"cmp"
	"slices"
)

// Merge adds up the snapshots of several instances.
func Merge(snapshots ...Snapshot) Snapshot {
	var out Snapshot

	index := make(map[key]int)

	for _, s := range snapshots {
		out.Instances = append(out.Instances, s.Instances...)

		if out.From.IsZero() || (!s.From.IsZero() && s.From.Before(out.From)) {
			out.From = s.From
		}

		if s.At.After(out.At) {
			out.At = s.At
		}

		for _, one := range s.Series {
			i, known := index[one.key()]
			if !known {
				index[one.key()] = len(out.Series)
				out.Series = append(out.Series, one.clone())

				continue
			}

			out.Series[i].add(one)
		}

		out.Costs = mergeCosts(out.Costs, s.Costs)
	}

	out.sort()

	return out
}

func (s *Series) clone() Series {
	out := *s
	out.Reasons = slices.Clone(s.Reasons)
	out.Windows = slices.Clone(s.Windows)

	for i := range out.Windows {
		out.Windows[i].Points = slices.Clone(s.Windows[i].Points)
	}

	return out
}

func (s *Series) add(other Series) {
	s.Answered += other.Answered
	s.Good += other.Good
	s.Failed += other.Failed
	s.Refused += other.Refused
	s.Excused += other.Excused
	s.Tokens += other.Tokens
	s.GoodTokens += other.GoodTokens
	s.RecomputedTokens += other.RecomputedTokens
	s.FirstToken = mergeBuckets(s.FirstToken, other.FirstToken)
	s.BetweenTokens = mergeBuckets(s.BetweenTokens, other.BetweenTokens)
	s.Whole = mergeBuckets(s.Whole, other.Whole)

	for _, r := range other.Reasons {
		s.addReason(r)
	}

	for _, w := range other.Windows {
		s.addWindow(w)
	}
}

func (s *Series) addReason(r ReasonCount) {
	for i := range s.Reasons {
		if s.Reasons[i].Reason == r.Reason {
			s.Reasons[i].Count += r.Count

			return
		}
	}

	s.Reasons = append(s.Reasons, r)
}

func (s *Series) addWindow(w Window) {
	for i := range s.Windows {
		if s.Windows[i].Name != w.Name {
			continue
		}

		for _, p := range w.Points {
			s.Windows[i].add(p)
		}

		slices.SortFunc(s.Windows[i].Points, func(a, b Point) int { return a.At.Compare(b.At) })

		return
	}

	s.Windows = append(s.Windows, w)
}

func mergeBuckets(a, b []BucketCount) []BucketCount {
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(x, y BucketCount) int { return cmp.Compare(x.UpTo, y.UpTo) })

	var out []BucketCount

	for _, c := range all {
		if last := len(out) - 1; last >= 0 && out[last].UpTo == c.UpTo {
			out[last].Count += c.Count

			continue
		}

		out = append(out, c)
	}

	return out
}

func mergeCosts(a, b []ServiceCost) []ServiceCost {
	out := slices.Clone(a)

	for _, c := range b {
		i := slices.IndexFunc(out, func(other ServiceCost) bool { return other.Service == c.Service })
		if i < 0 {
			out = append(out, c)

			continue
		}

		out[i].Cost += c.Cost
	}

	return out
}

package burn

import (
	"cmp"
	"slices"
	"time"

	"monsoonlever/fleet"
)

// Snapshot is what one or more instances counted. Durations in its JSON are
// in nanoseconds.
type Snapshot struct {
	Instances []fleet.InstanceID `json:"instances"`
	// From is when the first of the instances began to count.
	From   time.Time     `json:"from"`
	At     time.Time     `json:"at"`
	Series []Series      `json:"series"`
	Costs  []ServiceCost `json:"costs,omitempty"`
}

// Series is what was counted of one service, client account and kind of call.
type Series struct {
	Service   fleet.Service  `json:"service"`
	Account   fleet.Account  `json:"account"`
	Kind      fleet.CallKind `json:"kind"`
	Objective Objective      `json:"objective"`

	Answered uint64 `json:"answered"`
	// Good requests were answered within the targets.
	Good    uint64 `json:"good"`
	Failed  uint64 `json:"failed"`
	Refused uint64 `json:"refused"`
	// Excused requests are outside the objective.
	Excused uint64 `json:"excused"`

	Tokens           uint64 `json:"tokens"`
	GoodTokens       uint64 `json:"goodTokens"`
	RecomputedTokens uint64 `json:"recomputedTokens"`

	Reasons       []ReasonCount `json:"reasons,omitempty"`
	Windows       []Window      `json:"windows"`
	FirstToken    []BucketCount `json:"firstToken,omitempty"`
	BetweenTokens []BucketCount `json:"betweenTokens,omitempty"`
	Whole         []BucketCount `json:"whole,omitempty"`
}

// ReasonCount counts the refusals for one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// BucketCount counts durations of at most UpTo, above the bucket before.
type BucketCount struct {
	UpTo  time.Duration `json:"upTo"`
	Count uint64        `json:"count"`
}

// Window counts the requests within an objective over a stretch of time.
type Window struct {
	Name     string        `json:"name"`
	Slot     time.Duration `json:"slot"`
	Requests uint64        `json:"requests"`
	Good     uint64        `json:"good"`
	Points   []Point       `json:"points,omitempty"`
}

// Point is one slot of a window.
type Point struct {
	At       time.Time `json:"at"`
	Requests uint64    `json:"requests"`
	Good     uint64    `json:"good"`
}

// ServiceCost is what was spent on the backend servers of a service.
type ServiceCost struct {
	Service fleet.Service `json:"service"`
	Cost    float64       `json:"cost"`
}

func (w *Window) add(p Point) {
	w.Requests += p.Requests
	w.Good += p.Good

	for i := range w.Points {
		if w.Points[i].At.Equal(p.At) {
			w.Points[i].Requests += p.Requests
			w.Points[i].Good += p.Good

			return
		}
	}

	w.Points = append(w.Points, p)
}

func (s *Series) key() key {
	return key{service: s.Service, account: s.Account, kind: s.Kind}
}

func compareSeries(a, b Series) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Kind, b.Kind),
	)
}

func (s *Snapshot) sort() {
	slices.SortFunc(s.Series, compareSeries)
	slices.SortFunc(s.Costs, func(a, b ServiceCost) int { return cmp.Compare(a.Service, b.Service) })
}

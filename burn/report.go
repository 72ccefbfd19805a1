package burn

import (
	"time"

	"monsoonlever/fleet"
)

// Report is what operators read.
type Report struct {
	Instances []fleet.InstanceID `json:"instances"`
	From      time.Time          `json:"from"`
	At        time.Time          `json:"at"`
	Rows      []Row              `json:"rows"`
	Services  []ServiceRow       `json:"services"`
}

// Row reports on one service, client account and kind of call.
type Row struct {
	Service   fleet.Service  `json:"service"`
	Account   fleet.Account  `json:"account"`
	Kind      fleet.CallKind `json:"kind"`
	Objective Objective      `json:"objective"`
	Requests  uint64         `json:"requests"`
	Attained  float64        `json:"attained"`
	// BudgetLeft is the part of the error budget of three days that is left, if
	// the load stays as it is; it is negative once overspent.
	BudgetLeft float64     `json:"budgetLeft"`
	State      State       `json:"state"`
	Windows    []WindowRow `json:"windows"`

	FirstToken    Quantiles `json:"firstToken"`
	BetweenTokens Quantiles `json:"betweenTokens"`
	Whole         Quantiles `json:"whole"`

	Answered uint64        `json:"answered"`
	Good     uint64        `json:"good"`
	Failed   uint64        `json:"failed"`
	Refused  uint64        `json:"refused"`
	Excused  uint64        `json:"excused"`
	Reasons  []ReasonCount `json:"reasons"`

	Tokens           uint64 `json:"tokens"`
	RecomputedTokens uint64 `json:"recomputedTokens"`
}

// WindowRow is one window of a Row. A burn rate of 1 spends the error budget
// exactly within the longest window.
type WindowRow struct {
	Window   string  `json:"window"`
	Requests uint64  `json:"requests"`
	Attained float64 `json:"attained"`
	BurnRate float64 `json:"burnRate"`
}

// ServiceRow sums up one service.
type ServiceRow struct {
	Service  fleet.Service `json:"service"`
	Requests uint64        `json:"requests"`
	Good     uint64        `json:"good"`
	Attained float64       `json:"attained"`

	// Cost is what was spent; what follows is per answer within the targets.
	Cost                   float64 `json:"cost"`
	CostPerThousandAnswers float64 `json:"costPerThousandAnswers"`
	CostPerMillionTokens   float64 `json:"costPerMillionTokens"`

	Tokens           uint64 `json:"tokens"`
	RecomputedTokens uint64 `json:"recomputedTokens"`
	// RecomputedPart is recomputed tokens as a part of the tokens answered.
	RecomputedPart float64 `json:"recomputedPart"`
	Points         []Point `json:"points"`
}

const (
	thousand = 1e3
	million  = 1e6
)

// NewReport works a report out of a merged snapshot.
func NewReport(s Snapshot) Report {
	r := Report{Instances: s.Instances, From: s.From, At: s.At, Rows: []Row{}, Services: []ServiceRow{}}
	goodTokens := make(map[fleet.Service]uint64)

	for i := range s.Series {
		row := newRow(&s.Series[i], s.At.Sub(s.From))
		r.Rows = append(r.Rows, row)
		r.service(row.Service).add(&s.Series[i], &row)
		goodTokens[row.Service] += s.Series[i].GoodTokens
	}

	for _, c := range s.Costs {
		r.service(c.Service).Cost += c.Cost
	}

	for i := range r.Services {
		r.Services[i].finish(goodTokens[r.Services[i].Service])
	}

	return r
}

func newRow(s *Series, counted time.Duration) Row {
	row := Row{
		Service: s.Service, Account: s.Account, Kind: s.Kind, Objective: s.Objective,
		FirstToken:    quantilesOf(s.FirstToken),
		BetweenTokens: quantilesOf(s.BetweenTokens),
		Whole:         quantilesOf(s.Whole),
		Answered:      s.Answered, Good: s.Good, Failed: s.Failed, Refused: s.Refused, Excused: s.Excused,
		Reasons: s.Reasons, Tokens: s.Tokens, RecomputedTokens: s.RecomputedTokens,
	}

	for _, w := range s.Windows {
		row.Windows = append(row.Windows, newWindowRow(w, s.Objective.Part))
	}

	if n := len(row.Windows); n > 0 {
		longest := row.Windows[n-1]
		row.Requests = longest.Requests
		row.Attained = longest.Attained
		row.BudgetLeft = 1 - longest.BurnRate*min(float64(counted)/float64(budgetTime), 1)
	}

	row.State = stateOf(row.Windows, row.BudgetLeft)

	return row
}

func newWindowRow(w Window, part float64) WindowRow {
	row := WindowRow{Window: w.Name, Requests: w.Requests, Attained: 1}

	if w.Requests == 0 {
		return row
	}

	row.Attained = float64(w.Good) / float64(w.Requests)

	if allowed := 1 - part; allowed > 0 {
		row.BurnRate = (1 - row.Attained) / allowed
	}

	return row
}

func (r *Report) service(name fleet.Service) *ServiceRow {
	for i := range r.Services {
		if r.Services[i].Service == name {
			return &r.Services[i]
		}
	}

	r.Services = append(r.Services, ServiceRow{Service: name})

	return &r.Services[len(r.Services)-1]
}

func (s *ServiceRow) add(one *Series, row *Row) {
	s.Requests += row.Requests
	s.Good += one.Good
	s.Tokens += one.Tokens
	s.RecomputedTokens += one.RecomputedTokens
	s.Points = mergePoints(s.Points, one)
}

func (s *ServiceRow) finish(goodTokens uint64) {
	s.Attained = 1

	if s.Requests > 0 {
		s.Attained = min(float64(s.Good)/float64(s.Requests), 1)
	}

	if s.Good > 0 {
		s.CostPerThousandAnswers = s.Cost / float64(s.Good) * thousand
	}

	if goodTokens > 0 {
		s.CostPerMillionTokens = s.Cost / float64(goodTokens) * million
	}

	if s.Tokens > 0 {
		s.RecomputedPart = float64(s.RecomputedTokens) / float64(s.Tokens)
	}
}

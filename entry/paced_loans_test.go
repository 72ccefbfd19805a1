package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/board"
	"monsoonlever/clock"
	"monsoonlever/codec"
	"monsoonlever/fleet"
	"monsoonlever/quota"
)

// earlierLoanRequest and earlierLoanResponse are the messages on loans as versions before paced
// accounts know them.
type earlierLoanRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	From     fleet.InstanceID
	Number   uint64
	Account  fleet.Account
	Cost     float64
}

type earlierLoanResponse struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Number   uint64
	Granted  bool
}

type earlierDatagram struct {
	LoanRequest  *earlierLoanRequest  `msgpack:"a,omitempty"`
	LoanResponse *earlierLoanResponse `msgpack:"r,omitempty"`
}

func encode(t *testing.T, message any) []byte {
	t.Helper()

	data, err := msgpack.Marshal(message)
	if err != nil {
		t.Fatalf("encode: got %v, want a message", err)
	}

	return data
}

// Instances of this version and of earlier ones understand each other's messages on loans.
func TestLoanMessagesOfOtherVersions(t *testing.T) {
	request := quota.LoanRequest{From: "entry-2", Number: 7, Account: "acme", Cost: 54_000, Priority: 2}
	response := quota.LoanResponse{Number: 7, PacedFor: 3 * time.Second}

	var earlier earlierDatagram

	for _, d := range []datagram{
		{LoanRequest: &request, LoanPriority: request.Priority},
		{LoanResponse: &response, LoanPacedFor: response.PacedFor},
	} {
		if err := codec.Unmarshal(encode(t, &d), &earlier); err != nil {
			t.Fatalf("decode in an earlier version: got %v, want a message", err)
		}
	}

	if got := earlier.LoanRequest; got == nil || got.From != "entry-2" || got.Cost != 54_000 {
		t.Errorf("request in an earlier version: got %+v, want that of entry-2", got)
	}

	if got := earlier.LoanResponse; got == nil || got.Number != 7 || got.Granted {
		t.Errorf("response in an earlier version: got %+v, want a refusal", got)
	}

	var d datagram
	if err := codec.Unmarshal(encode(t, &earlier), &d); err != nil {
		t.Fatalf("decode of an earlier version: got %v, want a message", err)
	}

	if d.LoanRequest.Cost != 54_000 || d.LoanPriority != 0 || d.LoanResponse.Number != 7 || d.LoanPacedFor != 0 {
		t.Errorf("messages of an earlier version: got %+v, want no priority and no wait", d)
	}
}

// The priority of a request and the wait of a response arrive at the other instance, as do the
// metrics of its decisions.
func TestPacedLoanIsDecidedByDatagrams(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	clk := clock.NewManual(now)
	set := metrics.NewSet()
	lender := newLargeComponents(clk, 1, 1)
	lender.metrics = set
	lender.limits = quota.New(quota.Policy{Self: "entry-1", Window: 8 * time.Second, PropagationDelay: 2 * time.Second, Counters: quota.NewCounters(set)})
	lender.limits.Configure([]quota.Allowance{{Account: "acme", Amount: 1e6, Rate: 1000, Burst: 10_000}})
	lender.limits.SetCoordinators(now, []fleet.InstanceID{"entry-1", "entry-2", "entry-3"})
	lender.limits.MarkSynced(now)
	lender.limits.Acknowledged(now, "entry-2")
	lender.limits.Acknowledged(now, "entry-3")
	lender.loans = &quota.Limiter{Quota: lender.limits, Clock: clk, Self: "entry-1"}
	lender.board = &board.Board{}
	lender.addLevels(set)

	ask := func(priority int) {
		request := quota.LoanRequest{From: "entry-2", Account: "acme", Cost: 9500}
		lender.receiveDatagram(now, lender.links.Self.Address, encode(t, &datagram{LoanRequest: &request, LoanPriority: priority}))
	}

	ask(0)
	// 500 are left: a request of little urgency needs 3000, and its priority has no credit.
	ask(2)

	var page bytes.Buffer

	set.WritePrometheus(&page)

	for _, want := range []string{
		`monsoonlever_quota_paced_loans_total{outcome="granted"} 1`,
		`monsoonlever_quota_paced_loans_total{outcome="refused"} 1`,
		`monsoonlever_quota_paced_wait_seconds_sum 2.5`,
		`monsoonlever_quota_paced_level{account="acme"} 500`,
	} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("metrics: got %s, want %s", page.String(), want)
		}
	}
}

package dispatch

import (
	"context"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonlever/answer"
	"monsoonlever/backend"
	"monsoonlever/claim"
	"monsoonlever/clock"
	"monsoonlever/discovery"
	"monsoonlever/fleet"
	"monsoonlever/gateway"
	"monsoonlever/manifest"
	"monsoonlever/provider"
	"monsoonlever/retry"
	"monsoonlever/routing"
)

const testService fleet.Service = "payrun-api"

// fakeServer is a plain service that does what the test says with the nth call
// of all servers, from 0.
type fakeServer struct {
	fleet *fakeFleet
}

func (s fakeServer) Do(ctx context.Context, _ backend.Call) (backend.Reply, error) {
	s.fleet.mu.Lock()
	n := s.fleet.calls
	s.fleet.calls++
	s.fleet.mu.Unlock()

	return s.fleet.do(ctx, n)
}

func (fakeServer) Load(context.Context) (backend.LoadReport, error) {
	return backend.LoadReport{At: time.Now(), Capacity: 64}, nil
}

// fakeFleet lists backend servers and makes their clients.
type fakeFleet struct {
	provider.Cloud
	do func(ctx context.Context, n int) (backend.Reply, error)

	mu    sync.Mutex
	calls int
}

func (f *fakeFleet) Engine(string) backend.Engine     { return nil }
func (f *fakeFleet) Plain(string) backend.PlainServer { return fakeServer{fleet: f} }
func (f *fakeFleet) Notices(context.Context, uint64) ([]provider.ReclaimNotice, error) {
	return nil, nil
}

func (f *fakeFleet) Listings(context.Context) ([]provider.Listing, error) {
	listings := make([]provider.Listing, 0, 4)
	for i := range 4 {
		listings = append(listings, provider.Listing{
			ID: fleet.InstanceID("server-" + strconv.Itoa(i)), Service: testService,
			Address: "10.0.0." + strconv.Itoa(i), Domain: "ballerup-a", State: provider.Live,
		})
	}

	return listings, nil
}

func (f *fakeFleet) sent() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.calls
}

// directClaims lets every attempt win its key.
type directClaims struct {
	err error
}

func (c *directClaims) Do(ctx context.Context, _ claim.Attempt, send claim.Send) (claim.Verdict, error) {
	_, c.err = send(ctx)

	return claim.Verdict{}, nil
}

// attempts returns a policy that bounds only how often a call is tried.
func attempts(n int) *retry.Policy {
	return &retry.Policy{Budgets: retry.NewBudgets(retry.BudgetPolicy{MinRetries: 100}), MaxAttempts: n}
}

// newPlain returns a Plain before four backend servers. It is called in a bubble.
func newPlain(t *testing.T, f *fakeFleet) (*Plain, *directClaims) {
	t.Helper()

	table := &routing.Table{Domain: "ballerup-a"}
	directory := discovery.NewDirectory(f)
	watcher := &discovery.Watcher{
		Clock: clock.System{}, List: f, Cloud: f, Directory: directory, Table: table,
		Leaving: &answer.Leaving{}, Metrics: metrics.NewSet(), InForce: func() bool { return true },
		IsModel: func(fleet.Service) (bool, bool) { return false, true },
	}

	ctx, cancel := context.WithCancel(t.Context())
	go watcher.Run(ctx)
	synctest.Wait()
	// The second poll finds the servers that the first one listed.
	time.Sleep(time.Second)
	cancel()
	synctest.Wait()

	claims := &directClaims{}

	return &Plain{
		Clock: clock.System{}, Table: table, Directory: directory, Claims: claims, Retry: attempts(4),
	}, claims
}

// newRequest returns a call of a kind of the example's service.
func newRequest(t *testing.T, kind fleet.CallKind, timeout time.Duration) gateway.PlainRequest {
	t.Helper()

	data, err := os.ReadFile("../examples/kronvig.manifest.jsonc")
	if err != nil {
		t.Fatal(err)
	}

	m, err := manifest.Parse("kronvig.manifest.jsonc", data)
	if err != nil {
		t.Fatal(err)
	}

	service, _ := m.Service(testService)

	call, ok := service.CallByName(kind)
	if !ok {
		t.Fatalf("kind of call: got no %s, want one", kind)
	}

	return gateway.PlainRequest{
		Service: testService, Kind: call, Arrived: time.Now(), Deadline: time.Now().Add(timeout),
		Call: backend.Call{Method: call.Method(), Path: "/x", IdempotencyKey: "key-1"},
	}
}

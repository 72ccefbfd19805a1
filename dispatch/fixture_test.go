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

// fakeServer is a plain server whose replies come from fakeFleet.do, which gets the number
// of the call, counted from 0 over all servers.
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

// fakeFleet lists four backend servers and returns their clients.
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

func (f *fakeFleet) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.calls
}

// directClaims lets each attempt win its claim, and records the error of the call.
type directClaims struct {
	err error
}

func (c *directClaims) Do(ctx context.Context, _ claim.Attempt, send claim.Send) (claim.Verdict, error) {
	_, c.err = send(ctx)

	return claim.Verdict{}, nil
}

// retryPolicy returns a policy that limits only the number of attempts of a call.
func retryPolicy(n int) *retry.Policy {
	return &retry.Policy{Budgets: retry.NewBudgets(retry.BudgetPolicy{MinRetries: 100}), MaxAttempts: n}
}

// newPlain returns a Plain with four backend servers. It must be called in a synctest
// bubble.
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
	// The second poll reaches the servers that the first poll listed.
	time.Sleep(time.Second)
	cancel()
	synctest.Wait()

	claims := &directClaims{}

	return &Plain{
		Clock: clock.System{}, Table: table, Directory: directory, Claims: claims, Retry: retryPolicy(4),
	}, claims
}

// newRequest returns a call of the given kind to the service in the example manifest.
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

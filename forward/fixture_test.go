package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/currency"
	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/quota"
	"monsoonlever/ratelimit"
	"monsoonlever/register"
	"monsoonlever/retry"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

// Headers of the fixture's protocol.
const (
	idHeader     = "Id"
	resumeHeader = "Resume-After"
	notRunHeader = "Not-Run"
	signHeader   = "Signed"
	limitHeader  = "Limit"
	// leavingHeader and backoffHeader are announcements; the latter holds a duration.
	leavingHeader = "Leaving"
	backoffHeader = "Backoff"
)

// plainProtocol is a minimal Protocol.
type plainProtocol struct{}

func (plainProtocol) EncodeIdentityCheck(s upstream.Server, id, path string) *upstream.Request {
	return &upstream.Request{Method: http.MethodGet, Target: path, Host: s.Address, ID: id, Header: http.Header{}}
}

func (plainProtocol) Identifies(_ upstream.Server, _ string, status int, _ http.Header) bool {
	return status == http.StatusOK
}

func (plainProtocol) Encode(r *Request, a Attempt) *upstream.Request {
	header := http.Header{idHeader: {r.ID}}
	if a.ResumeAfter != "" {
		header.Set(resumeHeader, a.ResumeAfter)
	}

	return &upstream.Request{
		Method: r.Method, Target: r.Target, Host: r.Host, Header: header, ID: r.ID, IDHeader: idHeader,
	}
}

func (plainProtocol) Inspect(_ int, header http.Header) Reading {
	reading := Reading{Signed: header.Get(signHeader) != "", NotRun: header.Get(notRunHeader) != ""}

	if perSecond, err := strconv.ParseFloat(header.Get(limitHeader), 64); err == nil {
		rate := ratelimit.Rate(perSecond)
		reading.Limit = &rate
	}

	reading.Leaving = header.Get(leavingHeader) != ""
	reading.Backoff, _ = time.ParseDuration(header.Get(backoffHeader)) // zero if the header is missing

	return reading
}

// unlimited grants every request.
type unlimited struct{}

func (unlimited) Take(context.Context, quota.Charge) quota.Decision {
	return quota.Decision{Granted: true}
}

type usageCounter struct{ began atomic.Int64 }

func (u *usageCounter) RequestStarted(fleet.Account) { u.began.Add(1) }

// fixture is a Forwarder whose backend servers are scripted and connected by in-memory
// pipes: every request that a server receives was sent.
type fixture struct {
	t     *testing.T
	clock *clock.Manual
	rules atomic.Pointer[ruleset.Ruleset]
	usage usageCounter
	*Forwarder

	mu sync.Mutex
	// received are the requests that reached a server, in order.
	received []arrival
	// onDial is called with the address before each connection is made; it may be nil.
	onDial func(address string)
	// respond returns a server's response to a request, which is the n-th of all servers,
	// counted from 1. If it is empty, the connection is closed without a response.
	respond func(address string, n int, r *http.Request) string
}

// arrival is a request that reached a backend server.
type arrival struct {
	address string
	id      string
	resume  string
}

// rulesMaxAge is the age up to which rules count as current.
const rulesMaxAge = 3 * time.Second

// rulesWith returns rules with a route of each kind and one account with the given keys.
func rulesWith(t *testing.T, version uint64, keys ...string) *ruleset.Ruleset {
	t.Helper()

	return rulesFor(t, version, ruleset.Account{Name: "acme", Keys: keys})
}

// rulesWithLimit returns the same rules with a rate limit of the account, in requests per
// second.
func rulesWithLimit(t *testing.T, rate float64) *ruleset.Ruleset {
	t.Helper()

	return rulesFor(t, 1, ruleset.Account{Name: "acme", Keys: []string{"key"}, Rate: rate})
}

func rulesFor(t *testing.T, version uint64, account ruleset.Account) *ruleset.Ruleset {
	t.Helper()

	route := func(name string, kind ruleset.Kind, resumable bool) ruleset.Route {
		service := fleet.Service("api")
		if kind == ruleset.Streaming {
			service = "llm"
		}

		return ruleset.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 5 * time.Second,
			Objective: 500 * time.Millisecond, MaxAttempts: 2, Resumable: resumable,
			Generative: kind == ruleset.Streaming, Targets: []ruleset.Target{{Service: service, Weight: 1}},
		}
	}

	rules, err := ruleset.New(ruleset.Spec{
		Version: version,
		Routes: []ruleset.Route{
			route("safe", ruleset.Safe, false), route("once", ruleset.Unsafe, false),
			route("talk", ruleset.Streaming, true), route("tell", ruleset.Streaming, false),
		},
		Services: []ruleset.Service{{Name: "api"}, {Name: "llm"}},
		Accounts: []ruleset.Account{account},
	})
	if err != nil {
		t.Fatal(err)
	}

	return rules
}

// newFixture returns a fixture with two servers of each service and the given retry budget.
func newFixture(t *testing.T, budget int) *fixture {
	t.Helper()

	s := &fixture{t: t, clock: clock.NewManual(time.Unix(1000, 0))}
	s.rules.Store(rulesWith(t, 1, "key"))

	tracker := &currency.Tracker{Clock: s.clock, MaxAge: rulesMaxAge}
	tracker.Confirm(s.clock.Now())

	scheduler := &scheduling.Scheduler{Domain: "a"}

	var servers []register.Server
	for _, name := range []string{"api-1", "api-2", "llm-1", "llm-2"} {
		service, _, _ := strings.Cut(name, "-")
		servers = append(servers, register.Server{
			ID: fleet.InstanceID(name), Service: fleet.Service(service), Address: name, Domain: "a", Slots: 8,
		})
	}

	scheduler.Update(servers)

	s.Forwarder = &Forwarder{
		Clock: s.clock, Rules: &s.rules, Currency: tracker, Limits: unlimited{},
		Retries:   retry.NewBudgets(retry.BudgetPolicy{Window: 10 * time.Second, Share: 1e-9, MinRetries: budget}),
		Scheduler: scheduler, Pool: &upstream.Pool{Clock: s.clock, Dial: s.dial}, Protocol: plainProtocol{},
		Usage: &s.usage, MaxResponseBytes: 1 << 20, Quarantine: &quarantine.Ledger{},
	}

	return s
}

func (s *fixture) dial(_ context.Context, address string) (net.Conn, error) {
	if s.onDial != nil {
		s.onDial(address)
	}

	near, far := net.Pipe()

	go s.serve(address, far)

	return near, nil
}

// serve responds to the requests on one connection.
func (s *fixture) serve(address string, conn net.Conn) {
	defer conn.Close()

	reader := bufio.NewReader(conn)

	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		s.mu.Lock()
		s.received = append(s.received, arrival{address: address, id: r.Header.Get(idHeader), resume: r.Header.Get(resumeHeader)})
		n := len(s.received)
		s.mu.Unlock()

		text := s.respond(address, n, r)
		if text == "" {
			return
		}

		if _, err := conn.Write([]byte(text)); err != nil || strings.Contains(text, "Connection: close") {
			return
		}
	}
}

// pickServer returns an assignment of a request to the server with the given address.
func (s *fixture) pickServer(service fleet.Service, address string) *scheduling.Assignment {
	var others []fleet.InstanceID

	for range 16 {
		a, err := s.Scheduler.Pick(s.clock.Now(), scheduling.Request{Service: service, Excluded: others})
		if err != nil {
			s.t.Errorf("pick %s: got %v, want an assignment", address, err)

			return nil
		}

		if a.Address() == address {
			return a
		}

		others = append(others, a.ID())
	}

	return nil
}

// announceLeaving makes a server announce that it leaves.
func (s *fixture) announceLeaving(service fleet.Service, address string) {
	if a := s.pickServer(service, address); a != nil {
		a.AnnouncedLeaving()
	}
}

func (s *fixture) arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([]arrival(nil), s.received...)
}

// call serves one request of a route and returns its outcome and what was written to the
// caller.
func (s *fixture) call(route, id string) (Outcome, *recordingSink) {
	s.t.Helper()

	got := &recordingSink{}
	outcome := s.Serve(s.t.Context(), &Request{
		ID: id, Method: http.MethodPost, Host: "a.example", Target: "/" + route + "/x", Path: "/" + route + "/x",
		APIKey: "key", Arrived: s.clock.Now(), Prompt: scheduling.Prompt{Tokens: 100},
	}, got)

	return outcome, got
}

// recordingSink is a Sink that records what is written to the caller.
type recordingSink struct {
	version  fleet.Version
	status   int
	begun    int
	events   []string
	refusals []Refusal
}

func (c *recordingSink) WriteResponse(status int, _ http.Header, _ []byte) error {
	c.status = status

	return nil
}

func (c *recordingSink) StreamVersion(version fleet.Version) { c.version = version }

func (c *recordingSink) BeginStream(status int, _ http.Header) error {
	c.status = status
	c.begun++

	return nil
}

func (c *recordingSink) WriteEvent(event []byte) error {
	c.events = append(c.events, string(event))

	return nil
}

func (c *recordingSink) Refuse(r Refusal) { c.refusals = append(c.refusals, r) }

// signedResponse returns a complete, signed response to a request.
func signedResponse(r *http.Request, status int, header ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: yes\r\nContent-Length: 2\r\n%s\r\nok",
		status, idHeader, r.Header.Get(idHeader), signHeader, strings.Join(header, ""))
}

// signedStream returns a signed stream of the events with the ids from from to to. With cut
// set it ends within the following event.
func signedStream(r *http.Request, from, to int, cut bool) string {
	var body strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&body, "id: %d\ndata: x\n\n", id)
	}

	length := fmt.Sprintf("Content-Length: %d\r\n", body.Len())

	if cut {
		fmt.Fprintf(&body, "id: %d\nda", to+1)

		length = ""
	}

	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\n%sConnection: close\r\n\r\n%s",
		idHeader, r.Header.Get(idHeader), signHeader, length, body.String())
}

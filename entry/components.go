package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/arrivals"
	"monsoonlever/board"
	"monsoonlever/clock"
	"monsoonlever/currency"
	"monsoonlever/directory"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/forward"
	"monsoonlever/gossip"
	"monsoonlever/platform"
	"monsoonlever/quarantine"
	"monsoonlever/quota"
	"monsoonlever/ratelimit"
	"monsoonlever/register"
	"monsoonlever/replica"
	"monsoonlever/retry"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
	"monsoonlever/settings"
	"monsoonlever/topology"
	"monsoonlever/upstream"
	"monsoonlever/usage"
)

const (
	// maxRulesWait is how long one read of the rules waits for news at most. Each read is
	// also what confirms that the rules are current: their age lies between one wait
	// and two, so that a wait is at most rulesShare of the age that is allowed: two of
	// them, and the calls, end before staleShare of it.
	maxRulesWait   = 1600 * time.Millisecond
	rulesWaitShare = 0.28
	// minReadInterval keeps a storm of changes from becoming a storm of reads.
	minReadInterval = 50 * time.Millisecond
	// registerReadShare is the part of a leaving server's last service after which the
	// register is read again.
	registerReadShare = 0.5
	// usageRetention is how long after its end the counts of a window are told: three
	// rounds of the board.
	usageRetention = 3 * recordInterval
	// memberTimeout is how long a silent instance counts: a few missed records.
	memberTimeout = 7 * time.Second
	// boardPropagationDelay is the time in which a record on the board reaches all others: the
	// pace of two instances and their calls.
	boardPropagationDelay = 2*recordInterval + 500*time.Millisecond
	// limitsSyncTimeout is how long an instance that starts waits for what the others have
	// spent: some calls of the store, one of which may have to be made again.
	limitsSyncTimeout = 2 * time.Second
	// maxLostHeartbeats is how many heartbeats in a row may be lost before an instance counts as
	// not heard.
	maxLostHeartbeats = 3
	// currencyMargin covers the way of a request to a backend server.
	currencyMargin = 250 * time.Millisecond
	// retryMargin keeps second sends below their bound although instances count
	// their windows by themselves.
	retryMargin = 0.8
	// maxResponseBytes bounds an answer that is not a stream.
	maxResponseBytes = 8 << 20
	// defaultBodyBytes bounds bodies until rules name a bound.
	defaultBodyBytes = 1 << 20
)

// components are what an entry instance is made of.
type components struct {
	settings settings.Entry
	// bounds are those of the newest settings.
	bounds        atomic.Pointer[settings.Bounds]
	clock         clock.Clock
	metrics       *metrics.Set
	store         *platform.Store
	rules         atomic.Pointer[ruleset.Ruleset]
	rulesCurrency *currency.Tracker
	register      *register.Register
	// serversMu is held while the register is changed and the change takes effect.
	serversMu sync.Mutex
	limits    *quota.Quota
	loans     *quota.Limiter
	// permits grant requests to backend servers that limit them.
	permits   *ratelimit.Limiter
	retries   *retry.Budgets
	scheduler *scheduling.Scheduler
	pool      *upstream.Pool
	// quarantine knows the requests that end backend servers.
	quarantine *quarantine.Ledger
	forwarder  *forward.Forwarder
	handler    *platform.Handler
	members    *board.Members
	board      *board.Board
	duties     *duties
	rollouts   *rollouts
	counter    *usage.Counter
	gossip     atomic.Pointer[gossip.Exchange]
	// links find whom to tell, and plan is the newest answer.
	links *topology.Links
	plan  atomic.Pointer[topology.Plan]
	// arrivals is what others say that arrives at them.
	arrivals arrivals.Table
	// registerCurrency tells how old the register is, and fresh when it is read again.
	registerCurrency *currency.Tracker
	refresh          refreshState
	// restoration is what is known of the newest era of the store.
	restoration  restoration
	rulesFeed    *feed.Follower
	registerFeed *feed.Follower
	// replicas answer other instances what this one has read, which kept holds for them.
	replicas  *replica.Server
	relayLogs map[*feed.Follower]*replica.Log
	// relayLogsReadAt is when a relay last read anew what it had not kept, in Unix nanoseconds.
	relayLogsReadAt atomic.Int64

	// directory is the newest directory; nil is not known. unclaimed is where its records ended
	// when there was none.
	directory         atomic.Pointer[directoryView]
	emptyDirectoryEnd atomic.Pointer[feed.Position]
	// countKnownAt is when the number of instances was first known from a directory.
	countKnownAt  atomic.Pointer[time.Time]
	directoryFeed *feed.Follower
	directoryLog  *replica.Log
	// namedRelay is set while this instance is a relay of a directory that it has yet to read.
	namedRelay atomic.Bool
	// formingRound counts rounds of heartbeats while there are no relays yet.
	formingRound     atomic.Uint64
	directoryPlanner directory.Planner
	// directoryOutdatedSince is since when the directory should say something else. formed is how many
	// instances the first one has seen, and formingCountChangedAt since when. They are used by the keeper's
	// goroutine alone.
	directoryOutdatedSince, formingCountChangedAt time.Time
	formingCount                                  int
	// storeFallbackAt is when an instance without any other begins to read the store by itself,
	// in Unix nanoseconds; zero is not set.
	storeFallbackAt atomic.Int64
	coordinators    coordinatorStatus
	// lastUpstream is where feeds were last read from.
	lastUpstream  atomic.Pointer[replica.Upstream]
	confirmations confirmations
	// ownConfirmedAt is when this instance last asked the store for the rules and read them to
	// their end, in Unix nanoseconds; zero is never.
	ownConfirmedAt atomic.Int64
	// forwardQueue holds the counts of others that a relay passes on.
	forwardQueue countsQueue

	// earlierRecords holds what the records say of the time before, until the board was first
	// read to its end; it is nil from then on.
	earlierRecords *quota.EarlierRecords
	echoes         echoes
	// consumptionSeen are the echoes of news of limits.
	consumptionSeen consumptionTracker
	// leavingRound says which of the leaving servers the next heartbeat tells.
	leavingRound atomic.Uint64
	startup      *startup
	// startedAt is when this instance began to start.
	startedAt    time.Time
	stopping     atomic.Bool
	openRequests atomic.Int64
	// unknownFields notices fields that others write and nothing reads.
	unknownFields platform.UnknownFields
	// unusableServers counts entries of backend servers that name none.
	unusableServers *metrics.Counter
}

func (e *Entry) build() *components {
	s := e.Settings
	set := metrics.NewSet()
	p := &components{
		settings:      s,
		clock:         e.Clock,
		startedAt:     e.Clock.Now(),
		metrics:       set,
		rulesCurrency: &currency.Tracker{Clock: e.Clock, MaxAge: maxRulesAge(s.Bounds)},
		register:      &register.Register{},
		registerCurrency: &currency.Tracker{
			Clock: e.Clock, MaxAge: time.Duration(float64(s.Bounds.Drain) * maxRegisterAgeShare),
		},
		retries: newRetryBudgets(s.Bounds),
		scheduler: &scheduling.Scheduler{
			Domain: s.FailureDomain, OnLimitChange: logLimitChange, OnBackoff: logBackoff,
			Resume: scheduling.DefaultResumePolicy, Counters: scheduling.NewCounters(set),
		},
		members:        &board.Members{},
		quarantine:     &quarantine.Ledger{},
		earlierRecords: &quota.EarlierRecords{},
		counter:        &usage.Counter{Width: s.Bounds.UsageWindow, Retention: usageRetention, Now: time.Now},
	}
	p.scheduler.OnLeaving = p.serverAnnouncedLeaving
	p.store = platform.NewStore(s.Store, p.storeRestored)
	p.unusableServers = set.NewCounter("monsoonlever_entry_unusable_server_entries_total")
	p.quarantine.OnQuarantined = p.quarantineStarted
	p.bounds.Store(&s.Bounds)
	self := board.MemberOf(s.Instance, s.FailureDomain, s.Listen.Peers, s.Limits.ProcessorCores)
	p.links = &topology.Links{Self: self}
	p.plan.Store(&topology.Plan{InstanceCount: 1})
	p.limits = quota.New(quota.Policy{
		Self: s.Instance, Window: s.Bounds.LimitWindow, PropagationDelay: boardPropagationDelay, DirectDelay: p.heartbeatDelay,
		RequestRecord: func() { p.board.Wake() },
	})
	p.loans = &quota.Limiter{Quota: p.limits, Clock: e.Clock, Self: s.Instance, Current: p.rulesCurrency.Current, Send: func(to fleet.InstanceID, request quota.LoanRequest) {
		p.sendDatagram(to, datagram{LoanRequest: &request})
	}}
	p.permits = newPermits(p)
	p.scheduler.Permits = p.permits
	p.rollouts = newRollouts(p)
	p.pool = &upstream.Pool{Clock: e.Clock, Counters: upstream.NewCounters(set)}
	p.forwarder = &forward.Forwarder{
		Clock: e.Clock, Rules: &p.rules, Currency: p.rulesCurrency, Limits: p.loans, Retries: p.retries,
		Scheduler: p.scheduler, Pool: p.pool, Protocol: platform.Protocol{Fields: &p.unknownFields}, Usage: p.counter,
		Versions: &p.rollouts.gate, Trials: &p.rollouts.counter,
		Quarantine: p.quarantine, Counters: forward.NewCounters(set), MaxResponseBytes: maxResponseBytes, Observe: e.logOutcome,
	}
	p.handler = &platform.Handler{Clock: e.Clock, Serve: p.serve, BodyBytes: p.maxBodyBytes}
	p.board = &board.Board{
		Log: p.store.Board(), Clock: e.Clock, Interval: p.boardWriteInterval, MinInterval: p.minBoardWriteInterval, ReadInterval: p.boardReadInterval,
		BeforeFirstRound: p.awaitRules, Active: p.usesBoard,
		Write: p.makeRecord, Receive: p.receiveRecord, CaughtUp: p.boardCaughtUp,
	}
	p.startup = newStartup(e.Clock)
	p.duties = newDuties(p)
	p.rollouts.incarnation, p.rollouts.heldFence = p.duties.incarnation, p.duties.heldFence
	p.addGauges(set)
	p.buildFeeds()

	return p
}

// buildFeeds makes what keeps up with the store, or with what other instances have read of it.
func (p *components) buildFeeds() {
	rulesLog, registerLog := &replica.Log{Clock: p.clock}, &replica.Log{Clock: p.clock, Same: sameServerEntry}
	p.directoryLog = &replica.Log{Clock: p.clock, Same: sameEntry}

	rules := newSource(feedRules, p.store.Rules(), rulesLog, p.upstream, p.servesSubscribers)
	servers := newSource(feedRegister, p.store.Register(), registerLog, p.upstream, p.servesSubscribers)
	servers.Ahead = p.takeNewerLeader
	relays := newSource(feedDirectory, p.store.Directory(), p.directoryLog, p.directoryUpstream, nil)

	p.rulesFeed = &feed.Follower{
		Name: feedRules, Source: rules, Clock: p.clock, Pace: p.rulesPace,
		Apply: p.applyRules, Confirm: confirmStoreReads(rules, func(requestedAt time.Time) {
			p.ownConfirmedAt.Store(requestedAt.UnixNano())
			p.confirmRules(requestedAt)
		}),
	}
	p.registerFeed = &feed.Follower{
		Name: feedRegister, Source: servers, Clock: p.clock, Pace: p.registerPace, Due: p.registerDue,
		Apply: p.applyRegister, Confirm: confirmStoreReads(servers, p.registerCurrency.Confirm),
	}
	p.directoryFeed = &feed.Follower{
		Name: feedDirectory, Source: relays, Clock: p.clock, Pace: p.directoryPace, Apply: p.applyDirectory,
	}
	p.relayLogs = map[*feed.Follower]*replica.Log{p.rulesFeed: rulesLog, p.registerFeed: registerLog}
	p.replicas = &replica.Server{Clock: p.clock, Feeds: map[string]*replica.Log{
		feedRules: rulesLog, feedRegister: registerLog, feedDirectory: p.directoryLog,
	}}
}

// addGauges adds what this instance is and knows to the metrics.
func (p *components) addGauges(set *metrics.Set) {
	set.NewGauge("monsoonlever_entry_members", func() float64 { return float64(p.instanceCount()) })
	set.NewGauge("monsoonlever_entry_relay", func() float64 { return boolGauge(p.plan.Load().Relay) })
	set.NewGauge("monsoonlever_entry_leads", func() float64 { return boolGauge(p.isLeader()) })
	set.NewGauge("monsoonlever_entry_subscribers", func() float64 { return float64(len(p.plan.Load().Subscribers)) })
	set.NewGauge("monsoonlever_entry_quarantined_requests", func() float64 {
		return float64(p.quarantine.QuarantinedCount(p.clock.Now()))
	})
	set.NewGauge("monsoonlever_entry_limited_servers", func() float64 { return float64(p.scheduler.LimitedServers()) })
	set.NewGauge("monsoonlever_entry_leaving_servers", func() float64 { return float64(p.scheduler.LeavingServers()) })
	set.NewGauge("monsoonlever_entry_backoff_servers", func() float64 {
		return float64(p.scheduler.BackoffServers(p.clock.Now()))
	})
	set.NewGauge("monsoonlever_entry_unknown_fields", func() float64 { return float64(p.unknownFields.Count()) })
	set.NewGauge("monsoonlever_entry_rules_age_seconds", func() float64 {
		age, _ := p.rulesCurrency.Age()

		return age.Seconds()
	})
	set.NewGauge("monsoonlever_entry_rollouts", func() float64 { return float64(len(p.rollouts.gate.Tasks())) })
}

// boolGauge is 1 where something holds.
func boolGauge(holds bool) float64 {
	if holds {
		return 1
	}

	return 0
}

func maxRulesAge(b settings.Bounds) time.Duration {
	if b.Revocation <= 0 {
		return time.Duration(1<<63 - 1)
	}

	return max(b.Revocation-currencyMargin, b.Revocation/2)
}

func newRetryBudgets(b settings.Bounds) *retry.Budgets {
	return retry.NewBudgets(retry.BudgetPolicy{
		Window: b.RetryWindow, Share: b.RetryShare * retryMargin, MinRetries: b.Retries(),
	})
}

// run keeps up with the platform until ctx ends.
func (p *components) run(ctx context.Context) {
	var group conc.WaitGroup

	group.Go(func() { p.startup.run(ctx, p.serving) })
	group.Go(func() { p.directoryFeed.Run(ctx) })
	group.Go(func() { p.rulesFeed.Run(ctx) })
	group.Go(func() { p.registerFeed.Run(ctx) })
	group.Go(func() { p.maintainDirectory(ctx) })
	group.Go(func() { p.reportToLeaders(ctx) })
	group.Go(func() { p.watchAges(ctx) })
	group.Go(func() { p.publishPrompts(ctx, scheduling.Upstream) })
	group.Go(func() { p.publishPrompts(ctx, scheduling.Downstream) })
	group.Go(func() { p.sendCounts(ctx) })
	group.Go(func() { p.forwardCounts(ctx) })
	group.Go(func() { p.publishLosses(ctx) })
	group.Go(func() { p.board.Run(ctx) })
	group.Go(func() { p.duties.run(ctx) })
	group.Wait()
}

func (p *components) serve(ctx context.Context, r *forward.Request, sink forward.Sink) forward.Outcome {
	p.openRequests.Add(1)
	defer p.openRequests.Add(-1)

	p.startup.wait(ctx, r.Timeout)

	return p.forwarder.Serve(ctx, r, sink)
}

func (p *components) maxBodyBytes() int64 {
	if rules := p.rules.Load(); rules != nil && rules.Limits().BodyBytes > 0 {
		return rules.Limits().BodyBytes
	}

	return defaultBodyBytes
}

// ready tells whether callers may be sent here: requests are allowed, placed and
// counted. Limits are waited for only for a while, since a store may be away in part.
func (p *components) ready() bool {
	countKnownAt := p.countKnownAt.Load()
	if countKnownAt == nil {
		return false
	}

	limits := p.limits.HasSynced() || p.clock.Now().Sub(*countKnownAt) > limitsSyncTimeout

	return !p.stopping.Load() && p.serving() && limits
}

// serving reports whether requests can be routed, authorized and placed.
func (p *components) serving() bool {
	return p.rules.Load() != nil && p.rulesCurrency.Current() && p.scheduler.Initialized()
}

// httpServers returns the httpServers of the addresses, in their order.
func (p *components) httpServers() []*http.Server {
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !p.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})

	operators := http.NewServeMux()
	operators.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.metrics.WritePrometheus(w)
	})

	return []*http.Server{
		{
			Handler: p.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeaderBytes, ErrorLog: discardLog,
		},
		{Handler: readiness, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: discardLog},
		{Handler: operators, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: discardLog},
	}
}

// logOutcome writes the one line of a request. Those that were answered by the first
// server are left out where there is little room.
func (e *Entry) logOutcome(r *forward.Request, o forward.Outcome) {
	if o.Reason == forward.Answered && len(o.Servers) < 2 && (e.LogHasRoom == nil || !e.LogHasRoom()) {
		return
	}

	klog.InfoS("request", "id", r.ID, "outcome", o.Reason.String(), "route", o.Route, "account", o.Account, "content", o.Fingerprint,
		"rules", o.RulesVersion, "rulesAge", o.RulesAge, "notRun", o.NotRun, "servers", o.Servers, "events", o.Events,
		"held", o.Queued, "took", o.Duration, "cause", o.Cause)
}

// self is this instance.
func (p *components) self() fleet.InstanceID { return p.settings.Instance }

// heartbeatDelay is the time in which the heartbeats of n instances that share limits reach each
// other. Those of relays go to others as well, to about as many at each.
func (p *components) heartbeatDelay(n int) time.Duration {
	peers := len(p.plan.Load().Peers())

	return maxLostHeartbeats * max(gossip.Interval(n-1), gossip.Interval(peers))
}

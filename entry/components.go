package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/arrivals"
	"monsoonlever/board"
	"monsoonlever/buffer"
	"monsoonlever/clock"
	"monsoonlever/currency"
	"monsoonlever/detour"
	"monsoonlever/directory"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/forward"
	"monsoonlever/gossip"
	"monsoonlever/listener"
	"monsoonlever/pathprobe"
	"monsoonlever/platform"
	"monsoonlever/quarantine"
	"monsoonlever/quota"
	"monsoonlever/ratelimit"
	"monsoonlever/register"
	"monsoonlever/replica"
	"monsoonlever/resumption"
	"monsoonlever/retry"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
	"monsoonlever/settings"
	"monsoonlever/topology"
	"monsoonlever/upstream"
	"monsoonlever/usage"
)

const (
	// maxRulesWait bounds one long poll of the rules. Each completed read also confirms that the
	// rules are current, so that their age at one reader lies between one and two waits.
	// rulesWaitShare is the largest wait as a fraction of the allowed age: two waits and their
	// calls end before staleShare of it. Heartbeats to other instances come on top, which only
	// leaders that read at different times leave room for.
	maxRulesWait   = 1600 * time.Millisecond
	rulesWaitShare = 0.28
	// minReadInterval bounds the rate of reads during a burst of changes.
	minReadInterval = 50 * time.Millisecond
	// registerReadShare is the fraction of the time that a leaving server keeps serving after
	// which the register is read again.
	registerReadShare = 0.5
	// usageRetention is how long the counts of a window are sent after its end: three record
	// intervals.
	usageRetention = 3 * recordInterval
	// memberTimeout is how long a silent instance remains a member: a few missed records.
	memberTimeout = 7 * time.Second
	// boardPropagationDelay is the time in which a record on the board reaches all other
	// instances: two record intervals and the calls of the store.
	boardPropagationDelay = 2*recordInterval + 500*time.Millisecond
	// limitsSyncTimeout is how long a starting instance waits for the consumption of the other
	// instances: some calls of the store, one of which may be repeated.
	limitsSyncTimeout = 2 * time.Second
	// maxLostHeartbeats is how many consecutive heartbeats may be lost before an instance counts
	// as silent.
	maxLostHeartbeats = 3
	// currencyMargin covers the time that a request takes to reach a backend server.
	currencyMargin = 250 * time.Millisecond
	// retryMargin keeps the total of retries below its bound although instances count requests and
	// grant retries at other times than these are sent and arrive.
	retryMargin = 0.9
	// maxResponseBytes bounds a response that is not a stream.
	maxResponseBytes = 8 << 20
	// bufferShare is the share of an instance's memory for messages that are buffered whole. As much
	// again may be garbage of messages that have grown; the rest holds the instance's state.
	bufferShare = 0.25
	// headerShare is the share of an instance's memory for the headers of requests, and
	// headerShareDivisor the inverse of the share of the rest that one of them may take.
	headerShare        = 0.125
	headerShareDivisor = 1
	// defaultBodyBytes bounds request bodies until rules set a bound.
	defaultBodyBytes = 1 << 20
)

// components holds the components of a running entry instance.
type components struct {
	settings settings.Entry
	// bounds are the bounds of the newest settings.
	bounds  atomic.Pointer[settings.Bounds]
	clock   clock.Clock
	metrics *metrics.Set
	// buffers bounds the memory of all messages that are buffered whole.
	buffers       *buffer.Budget
	store         *platform.Store
	rules         atomic.Pointer[ruleset.Ruleset]
	rulesCurrency *currency.Tracker
	register      *register.Register
	// serversMu is held while the register changes and the scheduler and the pool apply the
	// change.
	serversMu sync.Mutex
	// removedProcesses is guarded by serversMu.
	removedProcesses removedProcesses
	limits           *quota.Quota
	loans            *quota.Limiter
	// permits requests and grants permits for backend servers that limit their requests.
	permits   *ratelimit.Limiter
	retries   *retry.Budgets
	scheduler *scheduling.Scheduler
	pool      *upstream.Pool
	// serverSlots bounds the connections to backend servers, also by way of other instances.
	serverSlots *upstream.Slots
	// quarantine tracks requests that crash backend servers.
	quarantine *quarantine.Ledger
	// parts tracks parts of prompts that crash backend servers.
	parts quarantine.Parts
	// helpers are the instances that serve requests of this one, helperRequests those that asked
	// this one for helpers, and detours serves requests of other instances.
	helpers        *detour.Helpers
	helperRequests helperRequests
	detours        *detour.Server
	prober         *pathprobe.Prober
	// streams remembers which server version began each stream.
	streams *resumption.Tracker
	// evidence tells whether this instance knows which requests and parts crash servers.
	evidence evidenceSync
	// directoryChanged is sent whenever a directory is put in force.
	directoryChanged feed.Signal
	forwarder        *forward.Forwarder
	handler          *platform.Handler
	members          *board.Members
	board            *board.Board
	duties           *duties
	rollouts         *rollouts
	counter          *usage.Counter
	gossip           atomic.Pointer[gossip.Exchange]
	// links tracks connectivity to other instances, and plan is the newest plan derived from it:
	// leaders, relays and subscribers.
	links *topology.Links
	plan  atomic.Pointer[topology.Plan]
	// arrivals holds the arrival rates that other instances report.
	arrivals arrivals.Table
	// registerCurrency tracks the age of the register, and refresh decides when to read it again.
	registerCurrency *currency.Tracker
	refresh          refreshState
	// restoration tracks restores of the store from an older copy.
	restoration  restoration
	rulesFeed    *feed.Follower
	registerFeed *feed.Follower
	// replicas serves other instances what this one has read, out of relayLogs.
	replicas  *replica.Server
	relayLogs map[*feed.Follower]*replica.Log
	// relayLogsReadAt is when a relay last requested full snapshots of feeds that it had not
	// logged, in Unix nanoseconds.
	relayLogsReadAt atomic.Int64

	// directory is the newest directory; nil is unknown. emptyDirectoryEnd is where its log ended
	// when it held no directory.
	directory         atomic.Pointer[directoryView]
	emptyDirectoryEnd atomic.Pointer[feed.Position]
	// budgetSplit is how the budgets that all instances have in common were last split.
	budgetSplit budgetSplit
	// inFirstFormation is set from the first record of the directory on until it is complete.
	inFirstFormation atomic.Bool
	// countKnownAt is when the number of instances was first known from a directory.
	countKnownAt  atomic.Pointer[time.Time]
	directoryFeed *feed.Follower
	directoryLog  *replica.Log
	// namedRelay is set while a redirect has named this instance as a relay and it has not yet
	// read the directory that does.
	namedRelay atomic.Bool
	// formingRound counts rounds of heartbeats while the directory has no relays yet.
	formingRound     atomic.Uint64
	directoryPlanner directory.Planner
	// directoryOutdatedSince is when the directory became outdated, and outdatedDirectory the end of
	// its log. formingCount is the number of
	// instances seen while the first directory forms, and formingCountChangedAt when it last
	// changed. Only maintainDirectory uses them.
	directoryOutdatedSince, formingCountChangedAt time.Time
	outdatedDirectory                             feed.Position
	formingCount                                  int
	// storeFallbackAt is when an instance without a reachable relay begins to read the store
	// itself, in Unix nanoseconds; zero is not set.
	storeFallbackAt atomic.Int64
	coordinators    coordinatorStatus
	// lastUpstream is the upstream at the last check.
	lastUpstream  atomic.Pointer[replica.Upstream]
	confirmations confirmations
	// ownConfirmedAt is when this instance last requested the rules from the store in a read that
	// reached their end, in Unix nanoseconds; zero is never.
	ownConfirmedAt atomic.Int64
	// storeDirectoryReadAt is when the store last served the directory to this instance, in Unix
	// nanoseconds; zero is never.
	storeDirectoryReadAt atomic.Int64
	// forwardQueue holds the counts of subscribers that a relay forwards.
	forwardQueue countsQueue

	// earlierRecords collects records from before this start until the board has been read to its
	// end; nil from then on.
	earlierRecords *quota.EarlierRecords
	echoes         echoes
	// ownRecordAt is when the content of this instance's newest durable record of the consumption of
	// all instances was collected, in Unix nanoseconds; zero is never.
	ownRecordAt atomic.Int64
	// consumptionSeen holds the echoes for consumption messages.
	consumptionSeen consumptionTracker
	// leavingRound selects which of the leaving servers the next heartbeat reports.
	leavingRound atomic.Uint64
	startup      *startup
	// startedAt is when this instance began to start.
	startedAt    time.Time
	stamps       stamps
	stopping     atomic.Bool
	openRequests atomic.Int64
	// unknownFields reports fields in stored data that nothing reads.
	unknownFields platform.UnknownFields
	// unusableServers counts register entries that don't describe a backend server.
	unusableServers *metrics.Counter
	// foreignEchoes counts echoes that are not of this process, and foreignEchoLogged is set once one
	// was logged.
	foreignEchoes     *metrics.Counter
	foreignEchoLogged atomic.Bool
}

func (e *Entry) build() *components {
	s, startedAt := e.Settings, e.Clock.Now()
	set := metrics.NewSet()
	p := &components{
		settings:      s,
		clock:         e.Clock,
		startedAt:     startedAt,
		stamps:        newStamps(startedAt),
		metrics:       set,
		rulesCurrency: &currency.Tracker{Clock: e.Clock, MaxAge: maxRulesAge(s.Bounds)},
		register:      &register.Register{},
		registerCurrency: &currency.Tracker{
			Clock: e.Clock, MaxAge: time.Duration(float64(s.Bounds.Drain) * maxRegisterAgeShare),
		},
		retries: newRetryBudgets(s.Bounds, e.Clock.Now()),
		scheduler: &scheduling.Scheduler{
			Domain: s.FailureDomain, OnLimitChange: logLimitChange, OnBackoff: logBackoff, OnBrittleChange: logBrittleChange,
			Resume: scheduling.DefaultResumePolicy, Counters: scheduling.NewCounters(set),
		},
		members:        &board.Members{},
		quarantine:     &quarantine.Ledger{},
		earlierRecords: &quota.EarlierRecords{},
		counter:        &usage.Counter{Width: s.Bounds.UsageWindow, Retention: usageRetention, Now: time.Now},
	}
	p.buffers = newBuffers(s.Limits, set)
	p.scheduler.OnLeaving, p.scheduler.OnPathChange = p.serverAnnouncedLeaving, p.pathChanged
	p.store = platform.NewStore(s.Store, p.storeRestored)
	p.store.Buffers = p.buffers
	p.addCounters(set)
	p.quarantine.OnEvidence, p.parts.OnEvidence, p.parts.OnHeld, p.parts.OnCrash = p.recordSoon, p.recordSoon, p.partsHeld, p.partCrashed
	p.bounds.Store(&s.Bounds)
	self := board.MemberOf(s.Instance, s.FailureDomain, s.Listen.Peers, s.Limits.ProcessorCores)
	p.links = &topology.Links{Self: self}
	p.plan.Store(&topology.Plan{InstanceCount: 1})
	p.limits = quota.New(quota.Policy{
		Self: s.Instance, Window: s.Bounds.LimitWindow, PropagationDelay: boardPropagationDelay, DirectDelay: p.heartbeatDelay,
		RequestRecord: func() { p.board.Wake() }, Counters: quota.NewCounters(set),
	})
	p.loans = &quota.Limiter{
		Quota: p.limits, Clock: e.Clock, Self: s.Instance, Current: p.rulesCurrency.Current,
		Send: func(to fleet.InstanceID, request quota.LoanRequest) {
			p.sendDatagram(to, datagram{LoanRequest: &request, LoanPriority: request.Priority, LoanContinues: request.Continues})
		},
	}
	p.retries.Counters = retry.NewCounters(set, e.Clock)
	p.permits = newPermits(p)
	p.scheduler.Permits = p.permits
	p.rollouts = newRollouts(p)
	p.pool = e.newPool(p)
	p.streams = newStreams(p)
	p.forwarder = &forward.Forwarder{
		Clock: e.Clock, Rules: &p.rules, Currency: p.rulesCurrency, Limits: p.loans, Retries: p.retries,
		Scheduler: p.scheduler, Pool: p.pool, Protocol: platform.Protocol{Fields: &p.unknownFields}, Usage: p.counter,
		Versions: &p.rollouts.gate, Trials: &p.rollouts.counter,
		Drain: forward.NewDrain(), Detour: p.newDetourClient(set), Origins: p.streams, Quarantine: p.quarantine, Parts: &p.parts, Counters: forward.NewCounters(set), MaxResponseBytes: maxResponseBytes, Buffers: p.buffers, Observe: e.logOutcome,
	}
	p.detours = &detour.Server{Clock: e.Clock, Buffers: p.buffers, Prepare: p.prepareDetour}
	p.prober = p.newProber()
	p.scheduler.OnPathSuspect = p.prober.Check
	p.handler = &platform.Handler{Clock: e.Clock, Serve: p.serve, BodyBytes: p.maxBodyBytes, BodyTimeout: p.bodyTimeout, Buffers: p.buffers}
	p.board = newBoard(p)
	p.startup = newStartup(e.Clock)
	p.duties = newDuties(p)
	p.rollouts.incarnation, p.rollouts.heldFence = p.duties.incarnation, p.duties.heldFence
	p.addGauges(set)
	p.buildFeeds()

	return p
}

func newBoard(p *components) *board.Board {
	return &board.Board{
		Log: p.store.Board(), Clock: p.clock, Interval: p.boardWriteInterval, MinInterval: p.minBoardWriteInterval, ReadInterval: p.boardReadInterval,
		BeforeFirstRound: p.awaitRules, Active: p.usesBoard,
		Write: p.makeRecord, Written: p.recordWritten, Receive: p.receiveRecord, CaughtUp: p.boardCaughtUp,
	}
}

func (e *Entry) newPool(p *components) *upstream.Pool {
	p.serverSlots = &upstream.Slots{Max: int64(descriptors(e.Settings.Limits, serverShare))}

	return &upstream.Pool{
		Clock: e.Clock, Counters: upstream.NewCounters(p.metrics), Slots: p.serverSlots,
		Source: net.ParseIP(e.Settings.Source), Dial: e.DialServer,
	}
}

func newBuffers(limits settings.MachineLimits, set *metrics.Set) *buffer.Budget {
	return &buffer.Budget{
		Size:     int64(float64(limits.MemoryBytes()) * bufferShare),
		Refusals: set.NewCounter("monsoonlever_buffer_refusals_total"),
	}
}

func newHeaders(limits settings.MachineLimits, set *metrics.Set) *buffer.Budget {
	headers := &buffer.Budget{
		Size: int64(float64(limits.MemoryBytes()) * headerShare), ShareDivisor: headerShareDivisor,
		Refusals: set.NewCounter("monsoonlever_listener_header_refusals_total"),
	}
	set.NewGauge("monsoonlever_listener_header_bytes", func() float64 { return float64(headers.Used()) })

	return headers
}

// buildFeeds creates the feeds that follow the store, or other instances' replicas of it.
func (p *components) buildFeeds() {
	rulesLog, registerLog := &replica.Log{Clock: p.clock}, &replica.Log{Clock: p.clock, Equivalent: sameServerEntry}
	p.directoryLog = &replica.Log{Clock: p.clock, Equivalent: sameEntry}

	rules := newSource(feedRules, p.store.Rules(), rulesLog, p.upstream, p.servesSubscribers)
	servers := newSource(feedRegister, p.store.Register(), registerLog, p.upstream, p.servesSubscribers)
	servers.NewerInstance = p.takeNewerLeader
	relays := newSource(feedDirectory, p.store.Directory(), p.directoryLog, p.directoryUpstream, nil)
	relays.NewerInstance = p.takeNewerDirectory

	p.rulesFeed = &feed.Follower{
		Name: feedRules, Source: rules, Clock: p.clock, Timing: p.rulesPace,
		Apply: p.applyRules, Confirm: confirmStoreReads(rules, func(requestedAt time.Time) {
			p.ownConfirmedAt.Store(requestedAt.UnixNano())
			p.confirmRules(requestedAt)
		}),
	}
	p.registerFeed = &feed.Follower{
		Name: feedRegister, Source: servers, Clock: p.clock, Timing: p.registerPace, ExtraDelay: p.registerDue,
		Apply: p.applyRegister, Confirm: confirmStoreReads(servers, p.registerCurrency.Confirm),
	}
	p.directoryFeed = &feed.Follower{
		Name: feedDirectory, Source: relays, Clock: p.clock, Timing: p.directoryPace, Apply: p.applyDirectory,
		Confirm: confirmStoreReads(relays, func(time.Time) { p.storeDirectoryReadAt.Store(p.clock.Now().UnixNano()) }),
	}
	p.relayLogs = map[*feed.Follower]*replica.Log{p.rulesFeed: rulesLog, p.registerFeed: registerLog}
	p.replicas = &replica.Server{Clock: p.clock, MaxConnections: maxPeers(p.settings.Limits), Feeds: map[string]*replica.Log{
		feedRules: rulesLog, feedRegister: registerLog, feedDirectory: p.directoryLog,
	}, Others: map[string]func(context.Context, net.Conn, *bufio.Reader){detour.Preface: p.detours.Handle}}
}

// addCounters registers the counters of this instance.
func (p *components) addCounters(set *metrics.Set) {
	p.unusableServers = set.NewCounter("monsoonlever_entry_unusable_server_entries_total")
	p.foreignEchoes = set.NewCounter("monsoonlever_entry_foreign_echoes_total")
}

// addGauges registers the gauges of this instance.
func (p *components) addGauges(set *metrics.Set) {
	set.NewGauge("monsoonlever_entry_members", func() float64 { return float64(p.instanceCount()) })
	set.NewGauge("monsoonlever_buffer_bytes", func() float64 { return float64(p.buffers.Used()) })
	set.NewGauge("monsoonlever_entry_relay", func() float64 { return boolGauge(p.plan.Load().Relay) })
	set.NewGauge("monsoonlever_entry_leads", func() float64 { return boolGauge(p.isLeader()) })
	set.NewGauge("monsoonlever_entry_subscribers", func() float64 { return float64(len(p.plan.Load().Subscribers)) })
	set.NewGauge("monsoonlever_entry_quarantined_requests", func() float64 {
		return float64(p.quarantine.QuarantinedCount(p.clock.Now()))
	})
	set.NewGauge("monsoonlever_entry_suspected_parts", func() float64 { return float64(p.parts.SuspectCount()) })
	set.NewGauge("monsoonlever_entry_held_parts", func() float64 { return float64(p.parts.HeldCount()) })
	set.NewGauge("monsoonlever_entry_limited_servers", func() float64 { return float64(p.scheduler.LimitedServers()) })
	set.NewGauge("monsoonlever_entry_brittle_servers", func() float64 { return float64(p.scheduler.BrittleServers()) })
	set.NewGauge("monsoonlever_entry_leaving_servers", func() float64 { return float64(p.scheduler.LeavingServers()) })
	set.NewGauge("monsoonlever_entry_backoff_servers", func() float64 {
		return float64(p.scheduler.BackoffServers(p.clock.Now()))
	})
	p.scheduler.AddPaceGauges(set, p.clock.Now)
	set.NewGauge("monsoonlever_entry_detours_served", func() float64 { return float64(p.detours.Served()) })
	set.NewGauge("monsoonlever_entry_remembered_streams", func() float64 { return float64(p.streams.Len()) })
	set.NewGauge("monsoonlever_entry_lost_paths", func() float64 { return float64(p.scheduler.LostPaths(p.clock.Now())) })
	set.NewGauge("monsoonlever_entry_unknown_fields", func() float64 { return float64(p.unknownFields.Count()) })
	set.NewGauge("monsoonlever_entry_rules_age_seconds", func() float64 {
		age, _ := p.rulesCurrency.Age()

		return age.Seconds()
	})
	p.addLevels(set)
	set.NewGauge("monsoonlever_entry_rollouts", func() float64 { return float64(len(p.rollouts.gate.Tasks())) })
}

// addLevels registers the levels of the accounts that this instance paced lately.
func (p *components) addLevels(set *metrics.Set) {
	set.RegisterMetricsWriter(func(w io.Writer) {
		for _, l := range p.limits.PacedLevels(p.clock.Now()) {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("monsoonlever_quota_paced_level{account=%q}", l.Account()), l.Level())
		}
	})
}

// boolGauge returns 1 if holds is true, else 0.
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

func newRetryBudgets(b settings.Bounds, startedAt time.Time) *retry.Budgets {
	return retry.NewSharedBudgets(retry.BudgetPolicy{Window: b.RetryWindow, Share: b.RetryShare * retryMargin}, startedAt)
}

// run runs the background work of the instance until ctx ends.
func (p *components) run(ctx context.Context) {
	var group conc.WaitGroup

	group.Go(func() { p.startup.run(ctx, func() bool { return p.serving() && p.evidence.known.Load() }) })
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
	group.Go(func() { p.publishParts(ctx) })
	group.Go(func() { p.learnEvidence(ctx) })
	group.Go(func() { p.streams.Run(ctx) })
	group.Go(func() { p.streams.Recorder.Run(ctx) })
	group.Go(func() { p.restoreStreams(ctx) })
	group.Go(func() { p.prober.Run(ctx) })
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

// bodyTimeout returns how long a request may take: as long as its caller waits and its route allows.
func (p *components) bodyTimeout(host, path string, wait time.Duration) time.Duration {
	timeout := forward.DefaultTimeout

	if rules := p.rules.Load(); rules != nil {
		if route, ok := rules.Match(host, path); ok && route.Timeout > 0 {
			timeout = route.Timeout
		}
	}

	if wait > 0 {
		timeout = min(timeout, wait)
	}

	return timeout
}

// ready reports whether callers may be sent to this instance: requests can be served and the
// instances are counted. It waits for the limits, and for what crashes servers, only for
// limitsSyncTimeout, since a part of the store may be unavailable.
func (p *components) ready() bool {
	countKnownAt := p.countKnownAt.Load()
	if countKnownAt == nil {
		return false
	}

	synced := p.limits.HasSynced() && p.evidence.known.Load() || p.clock.Now().Sub(*countKnownAt) > limitsSyncTimeout

	return !p.stopping.Load() && p.serving() && synced
}

// serving reports whether requests can be routed, authorized and placed.
func (p *components) serving() bool {
	return p.rules.Load() != nil && p.rulesCurrency.Current() && p.scheduler.Initialized()
}

// httpServers returns the servers of the addresses, in the order of Entry.addresses, with guards in
// place of their listeners.
func (p *components) httpServers(listeners []net.Listener) ([]*http.Server, []net.Listener) {
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

	servers := []*http.Server{
		newServer(p.handler, maxRuleHeaderBytes),
		newServer(readiness, maxControlHeaderBytes),
		newServer(operators, maxControlHeaderBytes),
	}
	guards := p.guards()
	guarded := make([]net.Listener, len(listeners))

	for i, l := range listeners {
		guarded[i] = guards[i].Protect(servers[i], l)
	}

	return servers[:len(listeners)], guarded
}

func newServer(h http.Handler, headerBytes int) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes, ErrorLog: discardLog,
	}
}

// guards returns the guards of the addresses, in the order of Entry.addresses.
func (p *components) guards() []*listener.Guard {
	limits := p.settings.Limits
	guard := func(port string, most int) *listener.Guard {
		return &listener.Guard{Clock: p.clock, Max: most, Counters: listener.NewCounters(p.metrics, port)}
	}

	callers := guard("callers", maxCallers(limits))
	callers.Limits, callers.Headers = p.callerLimits, newHeaders(limits, p.metrics)

	return []*listener.Guard{
		callers,
		guard("readiness", descriptors(limits, readinessShare)),
		guard("operators", descriptors(limits, operatorShare)),
	}
}

// logOutcome logs a completed request in one line. Requests that the first server answered are
// left out when the log has little room.
func (e *Entry) logOutcome(r *forward.Request, o forward.Outcome) {
	if o.Reason == forward.Answered && len(o.Servers) < 2 && (e.LogHasRoom == nil || !e.LogHasRoom()) {
		return
	}

	klog.InfoS("request", "id", r.ID, "outcome", o.Reason.String(), "route", o.Route, "account", o.Account, "content", o.Fingerprint,
		"rules", o.RulesVersion, "rulesAge", o.RulesAge, "notRun", o.NotRun, "servers", o.Servers, "retries", o.Retries, "versions", o.Versions, "events", o.Events,
		"resumes", r.Resumes, "after", r.ResumeAfter,
		"held", o.Queued, "took", o.Duration, "cause", o.Cause)
}

// self returns the ID of this instance.
func (p *components) self() fleet.InstanceID { return p.settings.Instance }

// heartbeatDelay returns the time in which heartbeats of n instances that share limits reach each
// other. Relays also send theirs to other peers, about as many at each relay.
func (p *components) heartbeatDelay(n int) time.Duration {
	peers := len(p.plan.Load().Peers())

	return maxLostHeartbeats * max(gossip.Interval(n-1), gossip.Interval(peers))
}

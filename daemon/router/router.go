package router

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/coordination/answertime"
	"endiveplank/coordination/balance"
	"endiveplank/coordination/builds"
	"endiveplank/coordination/control"
	"endiveplank/coordination/crashes"
	"endiveplank/coordination/document"
	"endiveplank/coordination/loadlimit"
	"endiveplank/coordination/origin"
	"endiveplank/coordination/overload"
	"endiveplank/coordination/reach"
	"endiveplank/coordination/retry"
	"endiveplank/coordination/roster"
	"endiveplank/coordination/routing"
	"endiveplank/coordination/slowstart"
	"endiveplank/coordination/throttle"
	"endiveplank/daemon/fabric"
	"endiveplank/daemon/lateness"
	"endiveplank/daemon/loglines"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/settings/direct"
	"endiveplank/transport/exchange"
	"endiveplank/transport/forward"
	"endiveplank/transport/limited"
	"endiveplank/transport/peerproxy"
	"endiveplank/transport/tracing"
)

const (
	// tickInterval is how often the router checks whether watches or load reports are due.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is how often the router closes idle connections and removes upstreams
	// that no disk VM lists.
	sweepInterval = time.Second
)

// Options of a Router.
type Options struct {
	Settings direct.Settings
	Dialect  dialect.Dialect
	// ParseTable decodes a table from the document that the disk VMs keep.
	ParseTable func(version uint64, body []byte) (*routing.Table, error)
	// AnnouncementHandler returns the handler of upstreams' announcements. handle reports
	// whether the fleet knows what an announcement says, and countRefused counts one that
	// can't be read.
	AnnouncementHandler func(handle func(context.Context, roster.Entry) bool, countRefused func()) http.Handler
	Log                 zerolog.Logger
	// RequestLog receives one line for each request.
	RequestLog zerolog.Logger
	Random     *rand.Rand
	// Tracer records the spans of requests; nil for none. The router closes it.
	Tracer *tracing.Tracer
	// Dial opens connections to upstreams; nil for TCP connections.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now returns the time since the start; nil for that of the monotonic clock.
	Now func() time.Duration
}

// Router is a running router.
type Router struct {
	options Options
	log     zerolog.Logger
	started time.Time
	fabric  *fabric.Fabric
	pool    *exchange.Pool
	// proxyPool has the connections to other routers that send requests for this one.
	proxyPool *exchange.Pool
	handler   *forward.Handler
	// proxied handles other routers' requests, which come in at routersListen, "" for none.
	proxied       *peerproxy.Handler
	routersListen string
	table         atomic.Pointer[routing.Index]
	servers       servers
	callers       callerConnections
	// limits are what callers and all other clients together may take of the process.
	limits *limited.Budgets
	// announcements are those that wait for a disk VM's acknowledgement.
	announcements pendingAnnouncements
	metrics       *instruments
	// stopping is set once a planned stop has begun.
	stopping atomic.Bool

	mu       sync.Mutex
	random   *rand.Rand
	settings direct.Settings
	roster   *roster.Roster
	follower *control.Follower
	relay    *control.Relay
	balancer *balance.Balancer
	crashes  crashState
	builds   streamBuilds
	// paths and proxies decide by which way requests go, and isolated is whether the paths to all
	// upstreams were lost when that was last passed on.
	paths    *reach.Paths
	proxies  *reach.Proxies
	isolated bool
	// proxyNeededAt is when a request last needed a proxy.
	proxyNeededAt time.Duration
	times         *answertime.Times
	windows       map[protocol.Service]*retry.Window
	limiters      map[protocol.Service]*loadlimit.Limiter
	admission     *admission
	// slowStart limits what is sent to cold upstreams, throttle what is sent to fragile ones.
	slowStart *slowstart.Limiter
	throttle  *throttle.Throttle
	// evacuated are the data centres that the balancer was last told to be evacuated.
	evacuated []protocol.DataCentre
	// loggedLimits holds, by service, whether logLimits last reported a limit.
	loggedLimits map[protocol.Service]bool
	// others are the other routers as of routersRevision of the follower's list.
	others          []protocol.RouterID
	routersRevision uint64
	// fleetSize is the largest number of routers known since the start, including this one,
	// 0 before any disk VM has named them.
	fleetSize        int
	rosterRevision   uint64
	reportSentAt     time.Duration
	fullReportSentAt time.Duration
	sweptAt          time.Duration
	// noDiskVMAt is the last time at which no disk VM was alive.
	noDiskVMAt time.Duration
	// initialized is set once the router has known a table and most of the upstreams. It
	// is never cleared.
	initialized bool
	quit        chan struct{}
	done        sync.WaitGroup
	loggedReady bool
}

// New starts a router. It returns an error if an address can't be listened at.
func New(options Options) (*Router, error) {
	r := &Router{
		options: options, settings: options.Settings, log: options.Log, started: time.Now(),
		pool: exchange.NewPool(exchange.Options{Dial: options.Dial}), random: options.Random, metrics: newInstruments(),
		roster:       roster.New(roster.DefaultSettings()),
		crashes:      newCrashState(),
		callers:      callerConnections{shedder: overload.NewShedder()},
		limits:       limited.New(limited.Options{MemoryBytes: options.Settings.Memory.LimitBytes(), Processor: options.Settings.Processor.Share, Descriptors: options.Settings.Descriptors.Limit}),
		builds:       newStreamBuilds(),
		paths:        reach.NewPaths(),
		throttle:     throttle.New(),
		proxies:      reach.NewProxies(),
		proxyPool:    exchange.NewPool(exchange.Options{MaxIdle: proxyIdle, MaxHeadBytes: maxProxyHeadBytes}),
		times:        answertime.New(),
		windows:      map[protocol.Service]*retry.Window{},
		limiters:     map[protocol.Service]*loadlimit.Limiter{},
		loggedLimits: map[protocol.Service]bool{},
		quit:         make(chan struct{}),
	}
	self := options.Settings.Self()
	r.routersListen = options.Settings.RoutersListen()
	r.proxyNeededAt = -proxyNeededFor
	r.slowStart = slowstart.NewLimiter(self)
	r.admission = newAdmission(self, options.Settings.Admission)
	r.follower = control.NewFollower(self, true, options.Settings.SeedPeers(), r.roster)
	r.relay = control.NewRelay(control.Router{ID: self, DataCentre: options.Settings.DataCentre}, options.Settings.LinkRate())
	r.follower.SetFirstForward(options.Random.Uint64())
	r.builds.quorum.SetFirstCall(options.Random.Uint64())
	r.builds.origins.SetFirstCall(options.Random.Uint64())
	r.follower.SetRelay(r.relay)
	r.follower.SetQuarantines(r.crashes.list)
	r.follower.SetLeaveTime(options.Settings.Upstreams.LeaveTime())
	r.follower.SetAnnounceAddress(options.Settings.Listen.Announcements)
	r.balancer = balance.NewBalancer(balance.Settings{
		Multiple: options.Settings.Load.Multiple, Slack: options.Settings.Load.Slack,
		DataCentre: options.Settings.DataCentre, BySpeed: options.Settings.Admission.Reports,
		PrefixReplicas: options.Settings.PrefixCache.Replicas, ReplicaTokens: options.Settings.PrefixCache.MinTokens,
	})
	r.handler = forward.New(forward.Options{
		Fleet: r, Dialect: options.Dialect, Pool: r.pool, ProxyPool: r.proxyPool, Self: self,
		Log: options.RequestLog, Observe: r.metrics.observe, Tracer: options.Tracer,
	})
	r.proxied = peerproxy.New(peerproxy.Options{
		Fleet: r, Dialect: options.Dialect, Pool: r.pool, Log: options.RequestLog, Tracer: options.Tracer, Observe: r.metrics.observeProxied,
	})
	r.fabric = fabric.New(fabric.Options{
		Self: self, Listen: options.Settings.PeersListen(), DataCentre: options.Settings.DataCentre, Incarnation: options.Random.Uint64(),
		Receiver: r, MaxConnections: r.limits.Connections(peerDescriptorShare), Log: options.Log,
	})
	if err := r.fabric.Listen(); err != nil {
		return nil, err
	}
	if err := r.serve(); err != nil {
		r.fabric.Close()
		return nil, err
	}
	r.done.Add(1)
	go r.run()
	return r, nil
}

// now returns the time since the start.
func (r *Router) now() time.Duration {
	if r.options.Now != nil {
		return r.options.Now()
	}
	return time.Since(r.started)
}

// run ticks until the router stops.
func (r *Router) run() {
	defer r.done.Done()
	r.tick()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	monitor := lateness.New(r.log)
	for {
		select {
		case <-r.quit:
			return
		case <-ticker.C:
			monitor.Tick(tickInterval)
			r.tick()
		}
	}
}

// tick sends watches to the disk VMs and load reports to the other routers, and removes the
// loads of silent routers and the upstreams that no disk VM lists any more.
func (r *Router) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.observeLoad()
	r.fabric.SendAll(r.follower.Tick(now))
	r.logEvents()
	r.updateRouters(now)
	r.fabric.SendAll(r.relay.Due(now))
	r.tickAdmission(now)
	r.sendLoadReports(now)
	for _, id := range r.balancer.Expire(now) {
		r.log.Info().Str("event", "router-silent").Str("router", string(id)).Msg("no message from this router lately, its load no longer counts")
	}
	r.applyRoster()
	r.applyConfirmed(now)
	r.tellUnreachable(now)
	r.probe(now)
	r.updateBuildSources(now)
	r.tickBuilds(now)
	r.logEjections(now)
	r.logLimits(now)
	if now-r.sweptAt >= sweepInterval {
		r.sweptAt = now
		r.forgetUnlisted(now)
		r.noteBuilds(now)
		r.expireLimits(now)
		r.crashes.list.Expire(now)
		r.slowStart.Retain(func(id protocol.UpstreamID) bool {
			_, known := r.balancer.Entry(id)
			return known
		})
		go r.pool.Sweep()
		go r.proxyPool.Sweep()
	}
	if ready := r.ready(); ready != r.loggedReady {
		r.loggedReady = ready
		r.log.Info().Str("event", "readiness").Bool("ready", ready).Uint64("table", r.tableVersion()).Send()
	}
}

// forgetUnlisted removes the upstreams that no disk VM has listed for a long time. While no
// disk VM is alive, all upstreams stay: they are the last list that is known.
func (r *Router) forgetUnlisted(now time.Duration) {
	if r.follower.AliveDiskVMs(now) == 0 {
		r.noDiskVMAt = now
		return
	}
	if now-r.noDiskVMAt < r.roster.ForgetSilent() {
		return
	}
	for _, id := range r.roster.Expire(now) {
		r.log.Warn().Str("event", "upstream-unlisted").Str("upstream", string(id)).Msg("no disk VM lists this upstream any more, removed")
	}
}

// updateRouters takes the list of routers from the disk VMs. The fleet size, by which
// retry budgets are shared, never shrinks: a router that this one doesn't see may still
// spend its share, for as long as they are partitioned.
func (r *Router) updateRouters(now time.Duration) {
	if listed, revision := r.follower.Routers(now); revision != r.routersRevision {
		r.routersRevision = revision
		r.setRouters(listed)
	}
	r.slowStart.SetRouters(now, r.others, r.touch(now))
	if r.routersRevision > 0 {
		r.fleetSize = max(r.fleetSize, len(r.others)+1)
	}
}

// setRouters takes a changed list of routers.
func (r *Router) setRouters(listed []control.Router) {
	self := r.settings.Self()
	routers := slices.DeleteFunc(slices.Clone(listed), func(other control.Router) bool { return other.ID == self })
	r.others = control.IDsOf(routers)
	r.proxies.SetRouters(r.others)
	r.relay.SetRouters(routers)
	r.balancer.SetNeighbours(r.relay.Neighbours())
	r.admission.setNeighbours(r.relay.Neighbours(), r.balancer.ReportInterval())
	r.setOriginRouters()
	r.balancer.SetPosition(r.relay.Position())
}

// sendLoadReports sends load reports to this router's neighbours, which may relay them: all of
// its loads at every balance.FullReportInterval, and in between only the changes.
func (r *Router) sendLoadReports(now time.Duration) {
	if now-r.reportSentAt < r.balancer.ReportInterval() {
		return
	}
	r.reportSentAt = now
	full := now-r.fullReportSentAt >= balance.FullReportInterval
	if full {
		r.fullReportSentAt = now
	}
	for _, message := range r.withAdmission(now, r.balancer.PendingReports(full)) {
		r.fabric.SendEach(message.To, message.Report)
	}
	if full {
		r.sendCacheHolders(now)
	}
}

// sendCacheHolders sends a disk VM the cache holders that it hasn't been sent yet.
func (r *Router) sendCacheHolders(now time.Duration) {
	to := r.follower.Preferred(now)
	if to == "" {
		return
	}
	if holders := r.balancer.TakeUnrecorded(); len(holders) > 0 {
		r.fabric.Send(to, balance.NewCacheHolderList(holders))
	}
}

// maxUpstreamLines is how many changed upstreams get a log line each. A router that starts
// learns of all of them at once and writes one line.
const maxUpstreamLines = 8

// applyRoster passes a changed roster to the balancer, closes idle connections to upstreams
// that aren't ready, and logs the changes.
func (r *Router) applyRoster() {
	if r.roster.Revision() == r.rosterRevision {
		return
	}
	before := r.rosterRevision
	r.rosterRevision = r.roster.Revision()
	now := r.now()
	entries, complete := r.roster.ChangedSince(before)
	r.admission.applyEntries(entries, complete, r.roster.Entries)
	var changed []roster.Entry
	if complete {
		changed = r.balancer.ApplyEntries(entries)
	} else {
		changed = r.balancer.SetRoster(r.roster.Entries())
	}
	r.noteBuilds(now)
	r.forgetPaths(changed)
	for _, e := range changed {
		if e.State != roster.Ready {
			r.pool.CloseIdle(e.Address)
			continue
		}
		r.slowStart.NoteAnnounced(now, e.ID, e.Service, r.roster.ColdUntil(e.ID))
	}
	if len(changed) > maxUpstreamLines {
		r.log.Info().Str("event", "upstreams").Int("changed", len(changed)).Int("usable", r.roster.Usable()).Send()
		return
	}
	for _, e := range changed {
		loglines.Upstream(r.log, e)
	}
}

// Receive implements fabric.Receiver.
func (r *Router) Receive(from protocol.RouterID, body any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	switch m := body.(type) {
	case control.Status:
		sends := r.follower.HandleStatus(now, from, m)
		r.applyEvacuations(now)
		r.fabric.SendAll(sends)
	case control.Changes:
		r.fabric.SendAll(r.follower.HandleChanges(now, from, m))
		r.applyRoster()
	case control.List:
		r.follower.HandleList(now, from, m)
		r.applyRoster()
		r.fabric.SendAll(r.relay.Due(now))
	case control.Document:
		sends, _ := r.follower.HandleDocument(now, from, m, r.applyTable)
		r.applyEvacuations(now)
		r.fabric.SendAll(sends)
		r.fabric.SendAll(r.relay.Due(now))
	case control.Watch:
		r.follower.HandleWatch(now, from, m)
		r.fabric.SendAll(r.relay.Due(now))
	case control.AnnouncementsAck:
		r.follower.HandleAnnouncementsAck(m.Number)
		r.announcements.ack(m.Number)
	case balance.LoadReport:
		r.applyLoadReport(now, from, m)
	case balance.CacheHolderList:
		if r.follower.HandleCacheHolders(now, m) {
			holders := m.Unpack()
			r.log.Info().Str("event", "keepers-told").Str("from", string(from)).Int("prompts", len(holders)).Send()
			r.balancer.RestoreCacheHolders(now, holders)
		}
		r.fabric.SendAll(r.relay.Due(now))
	case crashes.Crash:
		r.recordCrash(now, m)
	case crashes.Suspects:
		r.handleSuspects(now, from, m)
	case throttle.Refusal:
		r.applyRefusal(now, m)
	case reach.Unreachable:
		r.applyUnreachable(now, from, m)
	case builds.Reply:
		r.applyBuilds(from, m)
	case origin.Origins:
		r.builds.origins.HandleOrigins(now, m)
	case origin.Query:
		r.sendOrigins(r.builds.origins.HandleQuery(now, from, m))
	case origin.Reply:
		r.applyOriginReply(now, m)
	default:
		r.log.Warn().Str("event", "message-refused").Str("from", string(from)).Type("type", body).Send()
	}
	r.logEvents()
}

// Disconnected implements fabric.DisconnectReceiver. A process that was killed has closed its
// connections, also those to upstreams, so its requests have ended.
func (r *Router) Disconnected(from protocol.RouterID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proxies.Unsuitable(r.now(), from)
	r.admission.drop(from)
	if r.balancer.DropLoad(r.now(), from) {
		r.log.Info().Str("event", "router-disconnected").Str("router", string(from)).Msg("its load counts again with its next full report")
	}
}

// applyTable decodes a table, puts it in force, and drops the state of routes and services
// that it doesn't have.
func (r *Router) applyTable(d *document.Document) error {
	table, err := r.options.ParseTable(d.Version, d.Body)
	if err != nil {
		r.log.Error().Str("event", "table-unreadable").Uint64("version", d.Version).Err(err).Send()
		return err
	}
	r.table.Store(routing.NewIndex(table))
	r.applyColdLimits(r.now(), table)
	r.admission.retain(table)
	r.times.Retain(func(route string) bool {
		return slices.ContainsFunc(table.Routes, func(known routing.Route) bool { return known.Name == route })
	})
	maps.DeleteFunc(r.limiters, func(service protocol.Service, _ *loadlimit.Limiter) bool {
		return !slices.ContainsFunc(table.Services, func(known routing.Service) bool { return known.Name == service })
	})
	return nil
}

// tableVersion returns the version of the table in force, 0 for none.
func (r *Router) tableVersion() uint64 {
	if index := r.table.Load(); index != nil {
		return index.Table().Version
	}
	return 0
}

// logEvents writes a line for each event of the follower.
func (r *Router) logEvents() {
	for _, e := range r.follower.Events() {
		if e.Kind == control.EventQuarantined {
			loglines.Quarantined(r.log, e.Peer, e.Quarantine)
			continue
		}
		line := r.log.Info().Str("event", e.Kind).Str("disk_vm", string(e.Peer)).Uint64("version", e.Version).
			Int64("age_ms", e.Age.Milliseconds())
		if e.DataCentre != "" {
			line.Str("data_centre", string(e.DataCentre))
		}
		line.Send()
	}
}

// logLimits writes a line for each service that has got a concurrency limit or lost it.
func (r *Router) logLimits(now time.Duration) {
	for service, limiter := range r.limiters {
		limit := limiter.Limit(now)
		limited := limit != loadlimit.Unlimited
		if limited == r.loggedLimits[service] {
			continue
		}
		r.loggedLimits[service] = limited
		if !limited {
			r.log.Info().Str("event", "limit-lifted").Str("service", string(service)).Send()
			continue
		}
		r.log.Warn().Str("event", "limited").Str("service", string(service)).Int("limit", limit).Send()
	}
}

// logEjections writes a line for each upstream that is ejected from now on because of its
// failures, or no longer ejected.
func (r *Router) logEjections(now time.Duration) {
	for _, change := range r.balancer.HealthChanges(now) {
		line, event := r.log.Info(), "upstream-trusted"
		if change.Ejected {
			line, event = r.log.Warn(), "upstream-avoided"
		}
		line.Str("event", event).Str("upstream", string(change.ID)).Float64("failed", change.Failed).Float64("served", change.Served).
			Int64("alone_ms", change.Backoff.Milliseconds()).Int64("served_ago_ms", change.ServedAgo.Milliseconds()).Send()
	}
}

// ready reports whether the load balancer should send callers to this router, which needs a
// table and upstreams for that. Once the router has both it stays ready, whatever the disk
// VMs report later, because it serves by the last table and roster that it knows. The lock
// is held.
func (r *Router) ready() bool {
	r.initialized = r.initialized || r.hasTableAndUpstreams()
	return r.initialized && !r.stopping.Load()
}

// Reload applies changed settings. Only the seeds can change while the router runs.
func (r *Router) Reload(changed direct.Settings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settings.Seeds = changed.Seeds
	r.follower.SetSeeds(r.now(), changed.SeedPeers())
	r.log.Info().Str("event", "settings-reloaded").Strs("seeds", changed.Seeds).Send()
}

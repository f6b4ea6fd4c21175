package router

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/coordination/answertime"
	"endiveplank/coordination/balance"
	"endiveplank/coordination/control"
	"endiveplank/coordination/crashes"
	"endiveplank/coordination/document"
	"endiveplank/coordination/retry"
	"endiveplank/coordination/room"
	"endiveplank/coordination/roster"
	"endiveplank/coordination/routing"
	"endiveplank/daemon/fabric"
	"endiveplank/daemon/lateness"
	"endiveplank/daemon/loglines"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/settings/direct"
	"endiveplank/transport/exchange"
	"endiveplank/transport/forward"
	"endiveplank/transport/tracing"
)

const (
	// tickInterval is how often watches and loads are looked at.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is how often unused connections are looked at.
	sweepInterval = time.Second
)

// Options of a Router.
type Options struct {
	Settings direct.Settings
	Dialect  dialect.Dialect
	// ReadTable makes a table of what the disk VMs keep.
	ReadTable func(version uint64, body []byte) (*routing.Table, error)
	// AnnouncementHandler makes what serves upstreams' announcements; take reports
	// whether the fleet knows what one says.
	AnnouncementHandler func(take func(context.Context, roster.Entry) bool) http.Handler
	Log                 zerolog.Logger
	// RequestLog takes the line of each request.
	RequestLog zerolog.Logger
	Random     *rand.Rand
	// Tracer makes the spans of requests; nil for none. The router closes it.
	Tracer *tracing.Tracer
}

// Router is a running router.
type Router struct {
	options Options
	log     zerolog.Logger
	started time.Time
	fabric  *fabric.Fabric
	pool    *exchange.Pool
	handler *forward.Handler
	table   atomic.Pointer[routing.Index]
	servers servers
	// announcements are those that wait for a disk VM's word.
	announcements announcements
	metrics       *instruments
	// leaving says that a planned stop has begun.
	leaving atomic.Bool

	mu       sync.Mutex
	random   *rand.Rand
	settings direct.Settings
	roster   *roster.Roster
	follower *control.Follower
	relay    *control.Relay
	balancer *balance.Balancer
	crashes  *crashes.Record
	times    *answertime.Times
	windows  map[protocol.Service]*retry.Window
	limiters map[protocol.Service]*room.Limiter
	// limited says for which services logLimits has logged a limit.
	limited map[protocol.Service]bool
	routers []control.Router
	// fleetSize is the largest number of routers known lately, this one
	// included.
	fleetSize int
	sizedAt   time.Duration
	revision  uint64
	told      time.Duration
	toldWhole time.Duration
	swept     time.Duration
	// unlistedSince is when disk VMs were last all out of touch.
	unlistedSince time.Duration
	// knewEnough says that the router has known the table and most upstreams.
	knewEnough  bool
	quit        chan struct{}
	done        sync.WaitGroup
	readyBefore bool
}

// New starts all parts. Errors: those of the listeners.
func New(options Options) (*Router, error) {
	r := &Router{
		options: options, settings: options.Settings, log: options.Log, started: time.Now(),
		pool: exchange.NewPool(), random: options.Random, metrics: newInstruments(),
		roster:   roster.New(roster.DefaultSettings()),
		crashes:  crashes.New(crashes.DefaultSettings()),
		times:    answertime.New(),
		windows:  map[protocol.Service]*retry.Window{},
		limiters: map[protocol.Service]*room.Limiter{},
		limited:  map[protocol.Service]bool{},
		quit:     make(chan struct{}),
	}
	self := options.Settings.Self()
	r.follower = control.NewFollower(self, true, options.Settings.SeedPeers(), r.roster)
	r.relay = control.NewRelay(control.Router{ID: self, DataCentre: options.Settings.DataCentre}, options.Settings.LinkRate())
	r.follower.SetRelay(r.relay)
	r.follower.SetAnnounceAddress(options.Settings.Listen.Announcements)
	r.balancer = balance.NewBalancer(balance.Settings{
		Multiple: options.Settings.Load.Multiple, Slack: options.Settings.Load.Slack,
		DataCentre: options.Settings.DataCentre,
	})
	r.handler = forward.New(forward.Options{
		Fleet: r, Dialect: options.Dialect, Pool: r.pool, Log: options.RequestLog, Observe: r.metrics.observe, Tracer: options.Tracer,
	})
	r.fabric = fabric.New(fabric.Options{
		Self: self, Listen: options.Settings.PeersListen(), DataCentre: options.Settings.DataCentre, Incarnation: options.Random.Uint64(),
		Receiver: r, Log: options.Log,
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

// now is the time since the start, by the monotonic clock.
func (r *Router) now() time.Duration { return time.Since(r.started) }

// run does what is due until the router stops.
func (r *Router) run() {
	defer r.done.Done()
	r.tick()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pace := lateness.New(r.log)
	for {
		select {
		case <-r.quit:
			return
		case <-ticker.C:
			pace.Note(tickInterval)
			r.tick()
		}
	}
}

// tick asks the disk VMs, tells the other routers, and forgets who is silent.
func (r *Router) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.fabric.SendAll(r.follower.Tick(now))
	r.logEvents()
	r.noteRouters(now)
	r.fabric.SendAll(r.relay.Due(now))
	r.tellLoads(now)
	for _, id := range r.balancer.Expire(now) {
		r.log.Info().Str("event", "router-silent").Str("router", string(id)).Msg("its work no longer counts")
	}
	r.takeRoster()
	r.logJudgements(now)
	r.logLimits(now)
	if now-r.swept >= sweepInterval {
		r.swept = now
		r.forgetUnlisted(now)
		go r.pool.Sweep()
	}
	if ready := r.ready(); ready != r.readyBefore {
		r.readyBefore = ready
		r.log.Info().Str("event", "readiness").Bool("ready", ready).Uint64("table", r.tableVersion()).Send()
	}
}

// forgetUnlisted drops the upstreams that no disk VM has listed for long. While
// none is in touch all stay: they are the last that is known.
func (r *Router) forgetUnlisted(now time.Duration) {
	if r.follower.AliveDiskVMs(now) == 0 {
		r.unlistedSince = now
		return
	}
	if now-r.unlistedSince < r.roster.ForgetSilent() {
		return
	}
	for _, id := range r.roster.Expire(now) {
		r.log.Warn().Str("event", "upstream-unlisted").Str("upstream", string(id)).Msg("no disk VM lists it any more")
	}
}

// noteRouters takes the list of routers from the disk VMs. The size that shares
// of budgets are computed from shrinks only after a while: routers that one
// can't see may still spend their share.
func (r *Router) noteRouters(now time.Duration) {
	self := r.settings.Self()
	r.routers = slices.DeleteFunc(r.follower.Routers(now), func(other control.Router) bool { return other.ID == self })
	r.relay.SetRouters(r.routers)
	r.balancer.SetNeighbours(r.relay.Neighbours())
	size := len(r.routers) + 1
	if size >= r.fleetSize || now-r.sizedAt > 3*r.settings.Retries.Window() {
		r.fleetSize = size
		r.sizedAt = now
	}
}

// tellLoads sends this router's work to the others, or to those that pass it on.
func (r *Router) tellLoads(now time.Duration) {
	if now-r.told < r.balancer.ReportInterval() {
		return
	}
	r.told = now
	whole := now-r.toldWhole >= balance.FullReportInterval
	if whole {
		r.toldWhole = now
	}
	for _, out := range r.balancer.PendingReports(whole) {
		r.fabric.Send(out.To, out.Report)
	}
	if whole {
		r.tellKeepers(now)
	}
}

// tellKeepers tells a disk VM which engines keep prompts' beginnings.
func (r *Router) tellKeepers(now time.Duration) {
	to := r.follower.Preferred(now)
	if to == "" {
		return
	}
	if kept := r.balancer.TakeUnrecorded(); len(kept) > 0 {
		r.fabric.Send(to, balance.NewCacheHolderList(kept))
	}
}

// linesPerRoster is how many changed upstreams are told one by one. A router that
// starts learns all of them at once.
const linesPerRoster = 8

// takeRoster hands a changed list of upstreams to the balancer.
func (r *Router) takeRoster() {
	if r.roster.Revision() == r.revision {
		return
	}
	r.revision = r.roster.Revision()
	changed := r.balancer.SetRoster(r.roster.Entries())
	for _, e := range changed {
		if e.State != roster.Ready {
			r.pool.CloseIdle(e.Address)
		}
	}
	if len(changed) > linesPerRoster {
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
		r.fabric.SendAll(r.follower.HandleStatus(now, from, m))
	case control.Changes:
		r.fabric.SendAll(r.follower.HandleChanges(now, from, m))
		r.takeRoster()
	case control.List:
		r.follower.HandleList(now, from, m)
		r.takeRoster()
		r.fabric.SendAll(r.relay.Due(now))
	case control.Document:
		sends, _ := r.follower.HandleDocument(now, from, m, r.accept)
		r.fabric.SendAll(sends)
		r.fabric.SendAll(r.relay.Due(now))
	case control.Watch:
		r.follower.HandleWatch(now, from, m)
		r.fabric.SendAll(r.relay.Due(now))
	case control.AnnouncementsAck:
		r.announcements.acknowledged(m.Number)
	case balance.LoadReport:
		r.balancer.ApplyLoadReport(now, from, m)
	case balance.CacheHolderList:
		if r.follower.HandleCacheHolders(now, m) {
			kept := m.Unpack()
			r.log.Info().Str("event", "keepers-told").Str("from", string(from)).Int("prompts", len(kept)).Send()
			r.balancer.RestoreCacheHolders(now, kept)
		}
		r.fabric.SendAll(r.relay.Due(now))
	case crashes.Crash:
		r.noteCrash(now, m)
	default:
		r.log.Warn().Str("event", "message-refused").Str("from", string(from)).Type("type", body).Send()
	}
	r.logEvents()
}

// accept puts a table in force.
func (r *Router) accept(d *document.Document) error {
	table, err := r.options.ReadTable(d.Version, d.Body)
	if err != nil {
		r.log.Error().Str("event", "table-unreadable").Uint64("version", d.Version).Err(err).Send()
		return err
	}
	r.table.Store(routing.NewIndex(table))
	r.times.Retain(func(route string) bool {
		return slices.ContainsFunc(table.Routes, func(known routing.Route) bool { return known.Name == route })
	})
	maps.DeleteFunc(r.limiters, func(service protocol.Service, _ *room.Limiter) bool {
		return !slices.ContainsFunc(table.Services, func(known routing.Service) bool { return known.Name == service })
	})
	return nil
}

// tableVersion is that of the table in force, 0 for none.
func (r *Router) tableVersion() uint64 {
	if index := r.table.Load(); index != nil {
		return index.Table().Version
	}
	return 0
}

// logEvents writes a line for each event of the follower.
func (r *Router) logEvents() {
	for _, e := range r.follower.Events() {
		r.log.Info().Str("event", e.Kind).Str("disk_vm", string(e.Peer)).Uint64("version", e.Version).
			Int64("age_ms", e.Age.Milliseconds()).Send()
	}
}

// logLimits writes a line for each service whose upstreams have come to have a limit
// of load, or no longer have one.
func (r *Router) logLimits(now time.Duration) {
	for service, known := range r.limiters {
		limit := known.Limit(now)
		limited := limit != room.Unlimited
		if limited == r.limited[service] {
			continue
		}
		r.limited[service] = limited
		if !limited {
			r.log.Info().Str("event", "limit-lifted").Str("service", string(service)).Send()
			continue
		}
		r.log.Warn().Str("event", "limited").Str("service", string(service)).Int("limit", limit).Send()
	}
}

// logJudgements writes a line for each upstream that is avoided for its outcomes
// from now on, or no longer.
func (r *Router) logJudgements(now time.Duration) {
	for _, j := range r.balancer.HealthChanges(now) {
		line, event := r.log.Info(), "upstream-trusted"
		if j.Ejected {
			line, event = r.log.Warn(), "upstream-avoided"
		}
		line.Str("event", event).Str("upstream", string(j.ID)).Float64("failed", j.Failed).Float64("served", j.Served).
			Int64("alone_ms", j.Backoff.Milliseconds()).Send()
	}
}

// ready reports whether the balancer should send callers: the router knows where
// they may go. Once it does it stays ready, whatever the disk VMs say later: it
// serves on by the last that it knows. The lock is held.
func (r *Router) ready() bool {
	r.knewEnough = r.knewEnough || r.knowsEnough()
	return r.knewEnough && !r.leaving.Load()
}

// Reload takes changed settings: seeds.
func (r *Router) Reload(changed direct.Settings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settings.Seeds = changed.Seeds
	r.follower.SetSeeds(r.now(), changed.SeedPeers())
	r.log.Info().Str("event", "settings-reloaded").Strs("seeds", changed.Seeds).Send()
}

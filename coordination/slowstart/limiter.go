package slowstart

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

const (
	// usableShare is the share of an upstream's limit that its senders use while this
	// router is in touch with all disk VMs. The rest is for the few routers whose lists
	// differ by a process that has just come or gone.
	usableShare = 0.75
	// cutOffShare is the share while some disk VMs don't answer: the routers on the other
	// side of a cut may have as many senders.
	cutOffShare = 0.5
	// window is the time in which a sender's requests are counted: one second, for which
	// limits are declared, and the time by which requests may be delayed on their way.
	window = 1100 * time.Millisecond
	// settleTime is how long a router must have known a list of routers before it sends
	// to cold upstreams. Disk VMs learn of all routers within three seconds of a start.
	settleTime = 4 * time.Second
	// rememberFor is how long a router counts after it was last listed.
	rememberFor = 10 * time.Second
	// reportDelay is how long reports of requests that were served before a failure may
	// still arrive after it.
	reportDelay = 2500 * time.Millisecond
)

// Limit is the limit of one service.
type Limit struct {
	// PerSecond is how many requests an upstream takes in any second while it is cold,
	// from all routers together.
	PerSecond float64
	// Period is how long an upstream is cold after a start.
	Period time.Duration
}

// upstream is an upstream that is cold or may be.
type upstream struct {
	limit Limit
	// until is when it stops being cold, unless unreachable is set.
	until time.Duration
	// unreachable says that a connection to it failed at failedAt and it hasn't been
	// known to serve since.
	unreachable bool
	failedAt    time.Duration
	// sends are the times of the last requests that were sent to it.
	sends []time.Duration
	// quota is how many requests this router may send in quotaWindow, 0 if it is no
	// sender. It was computed for the list of routers with the number quotaRevision.
	quota         int
	quotaWindow   time.Duration
	quotaRevision uint64
}

// Limiter is a router's side of the limit. It is not safe for concurrent use.
type Limiter struct {
	self   protocol.RouterID
	limits map[protocol.Service]Limit
	// cold holds the upstreams that are cold or may be.
	cold map[protocol.UpstreamID]*upstream
	// others are the other routers that are listed, and former those that were listed
	// until a moment ago, with the time when they no longer were.
	others []protocol.RouterID
	former map[protocol.RouterID]time.Duration
	// knownSince is when this router first knew a list of routers, if everKnown.
	knownSince time.Duration
	everKnown  bool
	// inTouch says that this router is in touch with all disk VMs.
	inTouch bool
	// revision counts the changes of the list of routers and of inTouch.
	revision uint64
}

// NewLimiter returns a Limiter without limits.
func NewLimiter(self protocol.RouterID) *Limiter {
	return &Limiter{
		self: self, limits: map[protocol.Service]Limit{},
		cold: map[protocol.UpstreamID]*upstream{}, former: map[protocol.RouterID]time.Duration{},
	}
}

// SetLimits replaces the limits of all services. A service without a limit isn't limited.
// It reports whether any limit changed; the caller then has to note the upstreams that are
// cold again.
func (l *Limiter) SetLimits(limits map[protocol.Service]Limit) bool {
	if maps.Equal(l.limits, limits) {
		return false
	}
	l.limits = limits
	clear(l.cold)
	return true
}

// Touch says which disk VMs a router is in touch with.
type Touch uint8

const (
	// NoList means that no live disk VM has sent a list of routers.
	NoList Touch = iota
	// SomeVMs means that some disk VMs don't answer.
	SomeVMs
	// AllVMs means that all known disk VMs answer.
	AllVMs
)

// SetRouters notes the other routers that disk VMs list.
func (l *Limiter) SetRouters(now time.Duration, others []protocol.RouterID, touch Touch) {
	known := touch != NoList
	if inTouch := touch == AllVMs; inTouch != l.inTouch {
		l.inTouch = inTouch
		l.revision++
	}
	if known && !l.everKnown {
		l.everKnown = true
		l.knownSince = now
	}
	if !slices.Equal(others, l.others) {
		l.replaceRouters(now, others)
	}
	for id, at := range l.former {
		if now-at > rememberFor {
			delete(l.former, id)
			l.revision++
		}
	}
}

// replaceRouters takes a changed list of the other routers. Routers that it leaves out
// count for a while longer.
func (l *Limiter) replaceRouters(now time.Duration, others []protocol.RouterID) {
	for _, id := range l.others {
		l.former[id] = now
	}
	for _, id := range others {
		delete(l.former, id)
	}
	l.others = slices.Clone(others)
	l.revision++
}

// NoteAnnounced records that an upstream of a service has announced a new incarnation, or
// that it has become cold, and until when it is cold.
func (l *Limiter) NoteAnnounced(now time.Duration, id protocol.UpstreamID, service protocol.Service, coldUntil time.Duration) {
	if u := l.cold[id]; u != nil {
		u.unreachable = false
	}
	l.NoteCold(now, id, service, coldUntil)
}

// NoteCold records that an upstream of a service is cold until a time.
func (l *Limiter) NoteCold(now time.Duration, id protocol.UpstreamID, service protocol.Service, until time.Duration) {
	if until <= now {
		return
	}
	if u := l.upstream(id, service); u != nil {
		u.until = max(u.until, until)
	}
}

// NoteRestart records that an upstream of a service may have restarted a moment ago, so it
// may be cold for as long as its service's period.
func (l *Limiter) NoteRestart(now time.Duration, id protocol.UpstreamID, service protocol.Service) {
	l.NoteCold(now, id, service, now+l.limits[service].Period)
}

// NoteUnreachable records that no connection to an upstream could be made, or that one
// broke.
func (l *Limiter) NoteUnreachable(now time.Duration, id protocol.UpstreamID, service protocol.Service) {
	if u := l.upstream(id, service); u != nil {
		u.unreachable = true
		u.failedAt = now
	}
}

// upstream returns the record of an upstream that is or may be cold, nil if its service
// has no limit.
func (l *Limiter) upstream(id protocol.UpstreamID, service protocol.Service) *upstream {
	limit, limited := l.limits[service]
	if !limited {
		return nil
	}
	u := l.cold[id]
	if u == nil {
		u = &upstream{limit: limit}
		l.cold[id] = u
	}
	return u
}

// Retain drops the upstreams for which known returns false.
func (l *Limiter) Retain(known func(protocol.UpstreamID) bool) {
	maps.DeleteFunc(l.cold, func(id protocol.UpstreamID, _ *upstream) bool { return !known(id) })
}

// Idle reports whether no upstream is limited, so that Admits is true for all.
func (l *Limiter) Idle() bool { return len(l.cold) == 0 }

// IsCold reports whether an upstream is cold or may be. lastServed is when any router was
// last known to have got an answer from it.
func (l *Limiter) IsCold(now time.Duration, id protocol.UpstreamID, lastServed time.Duration) bool {
	u := l.cold[id]
	if u == nil {
		return false
	}
	if u.unreachable && lastServed > u.failedAt+reportDelay {
		u.unreachable = false
		u.until = now + u.limit.Period
	}
	if !u.unreachable && now >= u.until {
		delete(l.cold, id)
		return false
	}
	return true
}

// Admits reports whether this router may send a request to an upstream now.
func (l *Limiter) Admits(now time.Duration, id protocol.UpstreamID, lastServed time.Duration) bool {
	if !l.IsCold(now, id, lastServed) {
		return true
	}
	if !l.everKnown || now-l.knownSince < settleTime {
		return false
	}
	u := l.cold[id]
	l.updateQuota(id, u)
	if u.quota == 0 {
		return false
	}
	return len(u.sends) < u.quota || now-u.sends[len(u.sends)-u.quota] >= u.quotaWindow
}

// Sent records that a request was sent to an upstream.
func (l *Limiter) Sent(now time.Duration, id protocol.UpstreamID) {
	u := l.cold[id]
	if u == nil {
		return
	}
	u.sends = append(u.sends, now)
	if keep := max(u.quota, 1); len(u.sends) > keep {
		u.sends = slices.Delete(u.sends, 0, len(u.sends)-keep)
	}
}

// updateQuota computes an upstream's quota if the list of routers has changed.
func (l *Limiter) updateQuota(id protocol.UpstreamID, u *upstream) {
	if u.quotaWindow > 0 && u.quotaRevision == l.revision {
		return
	}
	u.quotaRevision = l.revision
	usable := cutOffShare
	if l.inTouch {
		usable = usableShare
	}
	senders, quota, quotaWindow := share(u.limit.PerSecond*usable, len(l.others)+len(l.former)+1)
	u.quotaWindow = quotaWindow
	u.quota = 0
	if l.rank(id) < senders {
		u.quota = quota
	}
}

// share divides a rate among routers: how many of them send, how many requests each may
// send in a window, and how long the window is.
func share(perSecond float64, routers int) (senders, quota int, length time.Duration) {
	if perSecond < 1 {
		return 1, 1, time.Duration(float64(window) / max(perSecond, 0.01))
	}
	senders = min(routers, int(perSecond))
	return senders, int(perSecond) / senders, window
}

// rank returns how many routers come before this one for an upstream.
func (l *Limiter) rank(id protocol.UpstreamID) int {
	own := weight(l.self, id)
	before := 0
	for _, other := range l.others {
		before += l.precedes(other, id, own)
	}
	for other := range l.former {
		before += l.precedes(other, id, own)
	}
	return before
}

// precedes returns 1 if another router comes before this one, whose weight is own, else 0.
func (l *Limiter) precedes(other protocol.RouterID, id protocol.UpstreamID, own uint64) int {
	order := cmp.Compare(weight(other, id), own)
	if order > 0 || order == 0 && other < l.self {
		return 1
	}
	return 0
}

// weight is a router's weight for an upstream in rendezvous hashing.
func weight(router protocol.RouterID, id protocol.UpstreamID) uint64 {
	return xxhash.Sum64String(string(router) + "\n" + string(id))
}

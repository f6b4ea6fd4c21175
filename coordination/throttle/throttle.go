package throttle

import (
	"math"
	"time"

	"endiveplank/protocol"
)

const (
	// fragileTTL is how long a service counts as fragile after an answer that says so.
	fragileTTL = 3 * time.Second
	// window is the time over which an upstream bears a number of refusals.
	window = time.Second
	// cutDivisor sets the share of the refusals that an upstream bears, one in cutDivisor, at
	// which routers cut what they send. The rest is for what is under way until all know.
	cutDivisor = 4
	// settleTime is how long nothing is sent after a cut: what was under way has been answered
	// by then, so refusals that come later mean that the cut wasn't deep enough.
	settleTime = 60 * time.Millisecond
	// cutTo is the part of what an upstream served that is sent after a cut.
	cutTo = 0.8
	// serveTimeConstant is the time constant with which what was served counts less.
	serveTimeConstant = 500 * time.Millisecond
	// quickDoubling is how long a limit takes to double up to quickPart of the limit at which the
	// upstream last refused requests, and slowDoubling beyond.
	quickDoubling = 400 * time.Millisecond
	slowDoubling  = 6 * time.Second
	quickPart     = 0.85
	// unusedFactor is how far a limit may grow beyond what is sent.
	unusedFactor = 1.5
	// minRate is the lowest limit, in requests a second, so that it can grow again.
	minRate = 0.5
	// maxBurst bounds the requests that may be sent at once after a pause.
	maxBurst = 2.0
	// forgetAfter is how long after its last refusal an upstream isn't limited any more.
	forgetAfter = 5 * time.Second
)

// Refusal says that a fragile upstream has refused a request for lack of room. Routers tell each
// other.
type Refusal struct {
	Upstream protocol.UpstreamID `msgpack:"u"`
	Service  protocol.Service    `msgpack:"s"`
	// Bears is how many refusals in a second the upstream bears.
	Bears int `msgpack:"n"`
}

// Throttle holds a router's limits. It is not safe for concurrent use.
type Throttle struct {
	fragile   map[protocol.Service]fragility
	upstreams map[protocol.UpstreamID]*upstream
	// tellTokens is how many refusals may be told now, as of toldAt.
	tellTokens float64
	toldAt     time.Duration
}

// fragility is what the answers of a service's upstreams say.
type fragility struct {
	bears int
	at    time.Duration
}

// upstream is what is known of one upstream of a fragile service.
type upstream struct {
	served, sent rate
	// refusals are the times of the latest refusals that all routers told of.
	refusals []time.Duration
	// limited says that a limit is in force: limit in requests a second, raised at raisedAt, of
	// which tokens are left. ceiling is the limit at which the upstream last refused requests, 0
	// if it hasn't since it is limited, and nothing is sent before resumeAt.
	limited            bool
	limit, ceiling     float64
	tokens             float64
	raisedAt, resumeAt time.Duration
	lastRefusal        time.Duration
	// pathLost says that the latest request of this router to have a result couldn't be sent. The
	// limit isn't cut meanwhile, and grows up to ceiling at most.
	pathLost bool
}

// New returns a Throttle without limits.
func New() *Throttle {
	return &Throttle{fragile: map[protocol.Service]fragility{}, upstreams: map[protocol.UpstreamID]*upstream{}, tellTokens: maxTold}
}

// NoteFragile records that an upstream says it bears so many refusals in a second.
func (t *Throttle) NoteFragile(now time.Duration, service protocol.Service, bears int) {
	t.fragile[service] = fragility{bears: max(bears, 1), at: now}
}

// IsFragile reports whether the upstreams of a service are fragile.
func (t *Throttle) IsFragile(now time.Duration, service protocol.Service) bool {
	f, known := t.fragile[service]
	return known && now-f.at <= fragileTTL
}

// Sent records that a request was sent to an upstream of a fragile service.
func (t *Throttle) Sent(now time.Duration, id protocol.UpstreamID) {
	u := t.upstreamOf(id)
	u.sent.add(now)
	if u.limited {
		u.raise(now)
		u.tokens--
	}
}

// Served records that an upstream of a fragile service has answered a request.
func (t *Throttle) Served(now time.Duration, id protocol.UpstreamID) {
	u := t.upstreamOf(id)
	u.pathLost = false
	u.served.add(now)
}

// Unsent records that a request couldn't be sent to an upstream of a fragile service: this router
// has no path to it, or it is down. Until the upstream answers again the limit isn't cut, as what
// it serves this router meanwhile says nothing about its capacity.
func (t *Throttle) Unsent(now time.Duration, id protocol.UpstreamID) {
	u := t.upstreamOf(id)
	u.pathLost = true
	u.served.hold(now)
	u.sent.hold(now)
	u.sent.weight = max(0, u.sent.weight-1)
}

// Refused records that an upstream of a fragile service has refused a request of this router
// for lack of room. tell reports whether to tell the other routers.
func (t *Throttle) Refused(now time.Duration, id protocol.UpstreamID, service protocol.Service) (refusal Refusal, tell bool) {
	refusal = Refusal{Upstream: id, Service: service, Bears: t.fragile[service].bears}
	t.upstreamOf(id).pathLost = false
	t.note(now, refusal)
	return refusal, t.mayTell(now)
}

// Told records a refusal that another router tells of.
func (t *Throttle) Told(now time.Duration, refusal Refusal) {
	t.NoteFragile(now, refusal.Service, refusal.Bears)
	t.note(now, refusal)
}

// note counts a refusal, and cuts what is sent to the upstream if it has refused a part of what
// it bears.
func (t *Throttle) note(now time.Duration, refusal Refusal) {
	u := t.upstreamOf(refusal.Upstream)
	u.lastRefusal = now
	for len(u.refusals) > 0 && now-u.refusals[0] >= window {
		u.refusals = u.refusals[1:]
	}
	u.refusals = append(u.refusals, now)
	if len(u.refusals) >= max(1, refusal.Bears/cutDivisor) && now >= u.resumeAt {
		u.refusals = nil
		if !u.pathLost || !u.limited {
			u.cut(now)
		}
	}
}

// Admits reports whether an upstream may get a request now.
func (t *Throttle) Admits(now time.Duration, id protocol.UpstreamID) bool {
	u := t.upstreams[id]
	if u == nil || !u.limited {
		return true
	}
	if now < u.resumeAt {
		return false
	}
	u.raise(now)
	return u.tokens >= 1
}

// Idle reports whether no upstream is limited, so that Admits is true for all.
func (t *Throttle) Idle() bool { return len(t.upstreams) == 0 }

// Expire ends the limits of services that aren't fragile any more, and of upstreams that haven't
// refused a request for long.
func (t *Throttle) Expire(now time.Duration, serviceOf func(protocol.UpstreamID) (protocol.Service, bool)) {
	for id, u := range t.upstreams {
		service, known := serviceOf(id)
		if !known || !t.IsFragile(now, service) {
			delete(t.upstreams, id)
			continue
		}
		if u.limited && now-u.lastRefusal > forgetAfter {
			u.limited, u.ceiling = false, 0
		}
	}
	for service, f := range t.fragile {
		if now-f.at > fragileTTL {
			delete(t.fragile, service)
		}
	}
}

func (t *Throttle) upstreamOf(id protocol.UpstreamID) *upstream {
	u := t.upstreams[id]
	if u == nil {
		u = &upstream{}
		t.upstreams[id] = u
	}
	return u
}

// maxTold is how many refusals a router tells of at once, and how many a second after that.
const maxTold = 20

// mayTell takes the right to tell the other routers of a refusal.
func (t *Throttle) mayTell(now time.Duration) bool {
	t.tellTokens = min(t.tellTokens+maxTold*(now-t.toldAt).Seconds(), maxTold)
	t.toldAt = now
	if t.tellTokens < 1 {
		return false
	}
	t.tellTokens--
	return true
}

// cut sets the limit below what the upstream serves. Of what a router has saved up for its next
// request nothing is left, so that routers don't send at once after the pause. One that may send less
// than a request in a window keeps it: cuts come as often as all routers are refused, and it would
// never send any.
func (u *upstream) cut(now time.Duration) {
	served := u.served.perSecond(now)
	if u.limited {
		u.ceiling = u.limit
		served = min(served, u.limit)
	}
	u.limit = max(cutTo*served, minRate)
	u.limited = true
	if u.limit*window.Seconds() >= 1 {
		u.tokens = 0
	}
	u.resumeAt = now + settleTime
	u.raisedAt = u.resumeAt
}

// raise raises the limit and adds the tokens of the time that has passed.
func (u *upstream) raise(now time.Duration) {
	passed := now - u.raisedAt
	if passed <= 0 {
		return
	}
	u.raisedAt = now
	doubling := slowDoubling
	if u.ceiling == 0 || u.limit < quickPart*u.ceiling {
		doubling = quickDoubling
	}
	grown := u.limit * math.Exp2(float64(passed)/float64(doubling))
	if u.pathLost {
		grown = min(grown, max(u.limit, u.ceiling))
	}
	// A limit that isn't used up would grow beyond all that the upstream has ever served.
	u.limit = max(u.limit, min(grown, max(u.ceiling, unusedFactor*u.sent.perSecond(now))))
	u.tokens = min(u.tokens+u.limit*passed.Seconds(), max(1, min(maxBurst, u.limit*settleTime.Seconds())))
}

// rate is how often something happens, with the past weighted down by its age.
type rate struct {
	weight float64
	at     time.Duration
}

// add counts one event.
func (r *rate) add(now time.Duration) {
	r.decay(now)
	r.weight++
}

// perSecond returns the rate in events a second.
func (r *rate) perSecond(now time.Duration) float64 {
	r.decay(now)
	return r.weight / serveTimeConstant.Seconds()
}

// hold leaves the time since the last event or reading out of the rate.
func (r *rate) hold(now time.Duration) { r.at = max(r.at, now) }

func (r *rate) decay(now time.Duration) {
	if now > r.at {
		r.weight *= math.Exp(-float64(now-r.at) / float64(serveTimeConstant))
		r.at = now
	}
}

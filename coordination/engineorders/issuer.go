package engineorders

import (
	"slices"
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// Timing holds the issuer's intervals and timeouts.
type Timing struct {
	// ResendAfter is how long the issuer waits for a reply before it repeats a
	// request.
	ResendAfter time.Duration
	// ReadEvery is how often the issuer reads the state of an engine that is
	// loading.
	ReadEvery time.Duration
	// OrderTimeout is how long an order may stay open in one issuer's term.
	OrderTimeout time.Duration
	// UnfencedDelay is how long engines that ignore fencing numbers get no order
	// after the issuer's term starts, and after the issuer first saw their
	// present ownership. It covers the longest lease of an issuer or owner
	// followed by the longest call to an engine.
	UnfencedDelay time.Duration
	// Backoff is how long an engine gets no other order after one that failed.
	// It doubles with each failure up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
}

// DefaultTiming returns the times for leases of 3 s and calls to engines that take at
// most 5 s.
func DefaultTiming() Timing {
	return Timing{
		ResendAfter:   6 * time.Second,
		ReadEvery:     2 * time.Second,
		OrderTimeout:  10 * time.Minute,
		UnfencedDelay: 9 * time.Second,
		Backoff:       10 * time.Second,
		MaxBackoff:    10 * time.Minute,
	}
}

// Owner is the router that owns an engine now, from the replicated state.
type Owner struct {
	Router         protocol.RouterID
	OwnershipFence protocol.Fence
	// ChecksFence says that the engine announced that it checks fencing numbers.
	ChecksFence bool
}

// OutgoingRequest is a request to send to an owner.
type OutgoingRequest struct {
	To      protocol.RouterID
	Request Request
}

// Issuer carries out the open orders during one issuer's term. Its driver calls
// Step only while the consensus leader lease is valid, and commits the commands
// that Step returns. When the process ends, only the progress of the orders is
// lost; the next issuer reads it from the engines.
type Issuer struct {
	timing     Timing
	term       Term
	termStart  time.Duration
	inProgress map[protocol.UpstreamID]*progress
	failedAt   map[protocol.UpstreamID]time.Duration
	ownerships map[protocol.UpstreamID]ownership
}

// ownership is an engine's ownership, and since when this issuer knows it.
type ownership struct {
	fence protocol.Fence
	since time.Duration
}

// progress is how far an open order has got.
type progress struct {
	fence   protocol.Fence
	since   time.Duration
	askedAt time.Duration
	asked   bool
	// read says that the engine's state was read in this term before the order is
	// sent. An order that was issued in this term needs no such read.
	read  bool
	state *upstreamapi.EngineState
	// resolution is set once the order is to be settled.
	resolution Resolution
}

// NewIssuer returns the issuer of a term that started at now.
func NewIssuer(timing Timing, term Term, now time.Duration) *Issuer {
	return &Issuer{
		timing: timing, term: term, termStart: now,
		inProgress: map[protocol.UpstreamID]*progress{},
		failedAt:   map[protocol.UpstreamID]time.Duration{},
		ownerships: map[protocol.UpstreamID]ownership{},
	}
}

// Step returns the requests to send and the commands to commit for the open
// orders. It returns none if the state is in another term.
func (i *Issuer) Step(now time.Duration, state *State, ownerOf func(protocol.UpstreamID) (Owner, bool)) ([]OutgoingRequest, []Command) {
	if term, _ := state.Term(); term != i.term {
		return nil, nil
	}
	var requests []OutgoingRequest
	var commands []Command
	open := state.Open()
	i.forgetSettled(state)
	for _, order := range open {
		p := i.progressOf(now, order)
		if p.resolution == "" && now-p.since >= i.timing.OrderTimeout {
			p.resolution = TimedOut
		}
		if p.resolution != "" {
			commands = append(commands, i.settleCommand(order, p.resolution))
			continue
		}
		if owner, known := ownerOf(order.Upstream); known && i.due(now, order.Upstream, p, owner) {
			requests = append(requests, i.request(now, order, p, owner))
		}
	}
	return requests, commands
}

func (i *Issuer) progressOf(now time.Duration, order Order) *progress {
	p := i.inProgress[order.Upstream]
	if p == nil || p.fence != order.Fence {
		p = &progress{fence: order.Fence, since: now, read: order.Term == i.term}
		i.inProgress[order.Upstream] = p
	}
	return p
}

func (i *Issuer) forgetSettled(state *State) {
	for upstream, p := range i.inProgress {
		if order, open := state.OpenOf(upstream); !open || order.Fence != p.fence {
			delete(i.inProgress, upstream)
		}
	}
}

// due reports whether a request should be sent now.
func (i *Issuer) due(now time.Duration, upstream protocol.UpstreamID, p *progress, owner Owner) bool {
	if !owner.ChecksFence && now-i.ownedSince(now, upstream, owner) < i.timing.UnfencedDelay {
		// An order that a former issuer or a former owner sent may still be in
		// flight. The engine would execute whichever order comes last.
		return false
	}
	if !p.asked {
		return true
	}
	wait := i.timing.ResendAfter
	if p.state != nil {
		wait = i.timing.ReadEvery
	}
	return now-p.askedAt >= wait
}

// ownedSince returns since when only the present issuer and owner can have started
// a call to an engine.
func (i *Issuer) ownedSince(now time.Duration, upstream protocol.UpstreamID, owner Owner) time.Duration {
	known, seen := i.ownerships[upstream]
	if !seen || known.fence != owner.OwnershipFence {
		known = ownership{fence: owner.OwnershipFence, since: now}
		i.ownerships[upstream] = known
	}
	return known.since
}

func (i *Issuer) request(now time.Duration, order Order, p *progress, owner Owner) OutgoingRequest {
	readOnly := !p.read || isLoading(order.Intent, p.state)
	p.asked = true
	p.askedAt = now
	return OutgoingRequest{To: owner.Router, Request: Request{
		Upstream: order.Upstream, OwnershipFence: owner.OwnershipFence, Term: i.term,
		Fence: order.Fence, Intent: order.Intent, ReadOnly: readOnly,
	}}
}

func (i *Issuer) settleCommand(order Order, resolution Resolution) Command {
	settle := &Settle{Term: i.term, Upstream: order.Upstream, Fence: order.Fence, Resolution: resolution}
	if resolution == Executed {
		return Command{Confirm: settle}
	}
	return Command{Abandon: settle}
}

// HandleReply handles an owner's reply.
func (i *Issuer) HandleReply(now time.Duration, order Order, reply Reply) {
	p := i.inProgress[reply.Upstream]
	if p == nil || reply.Term != i.term || reply.Fence != p.fence || order.Fence != p.fence {
		return
	}
	switch {
	case reply.Admission == CallBusy:
		// The call in flight is short, so the order needn't wait as long as
		// after a lost reply.
		p.askedAt = now - i.timing.ResendAfter + i.timing.ReadEvery
	case reply.Admission != Admitted:
		// Step repeats the request after ResendAfter, to whichever router is
		// the owner then.
	case !reply.ReadOnly && upstreamapi.IsRefusal(reply.Status):
		p.resolution = EngineRefused
		i.failedAt[reply.Upstream] = now
	case reply.State != nil:
		i.checkState(now, order, p, reply)
	}
}

// checkState decides by an engine's state whether its order is settled. The
// engine's answer that it accepted the order isn't enough, because an engine that
// ignores fencing numbers may have accepted another order since. An order that the
// state neither shows as executed nor as loading is sent again.
func (i *Issuer) checkState(now time.Duration, order Order, p *progress, reply Reply) {
	p.read = true
	p.state = reply.State
	switch {
	case reply.State.Fence > order.Fence || !reply.ReadOnly && upstreamapi.IsConflict(reply.Status):
		p.resolution = Superseded
		i.failedAt[reply.Upstream] = now
	case reply.State.Fence == order.Fence && fulfils(order.Intent, reply.State):
		p.resolution = Executed
	}
}

// BackoffExpired reports whether an engine may get a new order, because the backoff
// after failed orders is over. A new issuer counts the backoff from the start of
// its own term.
func (i *Issuer) BackoffExpired(now time.Duration, state *State, upstream protocol.UpstreamID) bool {
	settled, known := state.SettledOf(upstream)
	if !known || settled.Failures == 0 {
		return true
	}
	since, seen := i.failedAt[upstream]
	if !seen {
		since = i.termStart
	}
	wait := i.timing.Backoff
	for n := uint32(1); n < settled.Failures && wait < i.timing.MaxBackoff; n++ {
		wait *= 2
	}
	return now-since >= min(wait, i.timing.MaxBackoff)
}

// fulfils reports whether a state is what an intent asks for.
func fulfils(intent Intent, state *upstreamapi.EngineState) bool {
	at := slices.IndexFunc(state.Models, func(m upstreamapi.LoadedModel) bool { return m.Model == intent.Model })
	switch intent.Action {
	case upstreamapi.ActionRole:
		return state.Role == intent.Role
	case upstreamapi.ActionUnload:
		return at < 0
	}
	return at >= 0 && state.Models[at].Ready && intent.allowsVersion(state.Models[at].Version)
}

// allowsVersion reports whether the intent asks for this version or for any.
func (i Intent) allowsVersion(version string) bool { return i.Version == "" || i.Version == version }

// isLoading reports whether a load has started, so that there is no need to send
// the order again.
func isLoading(intent Intent, state *upstreamapi.EngineState) bool {
	return state != nil && intent.Action == upstreamapi.ActionLoad &&
		slices.ContainsFunc(state.Models, func(m upstreamapi.LoadedModel) bool {
			return m.Model == intent.Model && intent.allowsVersion(m.Version) && !m.Ready
		})
}

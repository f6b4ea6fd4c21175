package reach

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// settleTime is how long after a failure an answer must come to show that the path works.
	// Answers that were on their way when the path was lost come before that.
	settleTime = 50 * time.Millisecond
	// probeAfter is how long a failure is held until the upstream is probed, if nothing else
	// shows whether the path works.
	probeAfter = 80 * time.Millisecond
	// heldTTL is how long a failure is held at most. It is then nobody's.
	heldTTL = 3 * time.Second
	// maxHeld bounds the failures that are held.
	maxHeld = 1024
)

// Failure is what looks like an upstream's failure and may be that of the path to it.
type Failure struct {
	Upstream protocol.UpstreamID
	// Crash says that a connection broke while the upstream had a request of the content
	// that Digest stands for. Else the upstream lost an answer, or didn't begin it in time.
	Crash  bool
	Digest uint64
	// StartedAt is the upstream's incarnation and Parts the parts of the request's prompt that
	// may have crashed it, of a Crash.
	StartedAt int64
	Parts     []uint64
}

// heldFailure is a Failure of which it isn't known yet whether the path caused it.
type heldFailure struct {
	Failure
	at time.Duration
	// confirmed says that the path works.
	confirmed bool
}

// Hold keeps a failure until it is known whether the path caused it. An isolated router's
// failures are its own.
func (p *Paths) Hold(now time.Duration, failure Failure) {
	if p.isolated || len(p.held) >= maxHeld {
		return
	}
	p.held = append(p.held, heldFailure{Failure: failure, at: now})
}

// Answered records that an upstream has sent something over this router's own connection, which
// may have been open for long. It shows that there is a path to some upstreams, but an isolated
// router may get answers over connections that live on while new ones fail.
func (p *Paths) Answered(now time.Duration, id protocol.UpstreamID) {
	p.dropHeld(now)
	p.forgetFailures()
	if len(p.held) > 0 {
		p.noteContact(now, id)
	}
}

// noteContact confirms the failures that the path can't have caused, as it works. A lost
// answer is an upstream's failure only if this router still reaches that upstream: one that
// only this router can't reach must not be avoided by the others. A crash is one if this router
// reaches any upstream, as the crashed one takes no connections.
func (p *Paths) noteContact(now time.Duration, id protocol.UpstreamID) {
	for i := range p.held {
		held := &p.held[i]
		if now-held.at >= settleTime && (held.Crash || held.Upstream == id) {
			held.confirmed = true
		}
	}
}

// TakeConfirmed removes and returns the failures that the upstreams caused.
func (p *Paths) TakeConfirmed(now time.Duration) []Failure {
	var confirmed []Failure
	p.held = slices.DeleteFunc(p.held, func(held heldFailure) bool {
		if held.confirmed {
			confirmed = append(confirmed, held.Failure)
		}
		return held.confirmed || now-held.at > heldTTL
	})
	return confirmed
}

// heldWithoutContact returns the upstreams that should be probed, as nothing has shown yet
// whether the path caused their failures, and of how many upstreams that isn't known. One that has
// crashed takes no connections any more; only another one can show that the path works.
func (p *Paths) heldWithoutContact(now time.Duration) (probe []protocol.UpstreamID, unknown int) {
	var seen []protocol.UpstreamID
	for _, held := range p.held {
		if held.confirmed || now-held.at < probeAfter || slices.Contains(seen, held.Upstream) {
			continue
		}
		reachable := p.IsReachable(held.Upstream)
		if !reachable && !held.Crash {
			continue
		}
		seen = append(seen, held.Upstream)
		if reachable {
			probe = append(probe, held.Upstream)
		}
	}
	return probe, len(seen)
}

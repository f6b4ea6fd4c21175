package node

import (
	"time"

	"endiveplank/coordination/reason"
)

const (
	// parkFor is how long a request may wait for this router's lease to come
	// back. The voters elect a new leader in about a second.
	parkFor = 2 * time.Second
	// maxParked bounds the requests that wait, and with it their memory.
	maxParked = 1024
)

// parked is a request that came while the lease had just run out.
type parked struct {
	in    CallerRequest
	since time.Duration
}

// park keeps a request that comes in a short gap of the lease.
//
// Load: the leader of the voters dies, and routers whose renewal was due have
// no lease until the next one is elected. Harm: each would refuse all its
// callers for a second, although nothing is wrong with them. Nothing is served
// under old settings meanwhile: the request is looked at only under the new
// lease. A router without a lease for longer refuses at once.
func (n *Node) park(now time.Duration, in CallerRequest) bool {
	lost := max(n.leaseLost, n.leaseUntil)
	short := lost > 0 && now < lost+parkFor
	if n.mayServe(now) || n.draining || !short || len(n.parkedRequests) >= maxParked {
		return false
	}
	n.parkedRequests = append(n.parkedRequests, parked{in, now})
	return true
}

// unpark looks at parked requests once the lease is back, and refuses those
// that have waited for too long.
func (n *Node) unpark(now time.Duration) {
	if len(n.parkedRequests) == 0 {
		return
	}
	waiting := n.parkedRequests
	n.parkedRequests = nil
	for _, p := range waiting {
		switch {
		case n.mayServe(now) || n.draining:
			n.callerRequest(now, p.in)
		case now-p.since > parkFor:
			n.refuse(*refusal(p.in.ID, 503, reason.NoLease, "this router can't confirm its configuration; another one may", statusRetryAfter))
		default:
			n.parkedRequests = append(n.parkedRequests, p)
		}
	}
}

// unparkGone drops a parked request whose caller went away.
func (n *Node) unparkGone(in CallerGone) {
	kept := n.parkedRequests[:0]
	for _, p := range n.parkedRequests {
		if p.in.ID != in.ID {
			kept = append(kept, p)
		}
	}
	n.parkedRequests = kept
}

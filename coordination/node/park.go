package node

import (
	"time"

	"endiveplank/coordination/reason"
)

const (
	// maxParkTime is how long a request may wait until this router has a lease
	// again. The voters elect a new leader in about a second.
	maxParkTime = 2 * time.Second
	// maxParked bounds the number of waiting requests and so their memory.
	maxParked = 1024
)

// parkedRequest is a request that arrived shortly after the lease expired.
type parkedRequest struct {
	request CallerRequest
	since   time.Duration
}

// park holds a request that arrives in a short gap between two leases. It
// reports whether it holds the request.
//
// When the leader of the voters fails, routers whose renewal was due have no
// lease until the next leader is elected. Without parking, each of them would
// refuse all its callers for a second although the router works. Nothing is
// served under an old configuration meanwhile, because a parked request is
// processed only under the new lease. A router that has had no lease for longer
// than maxParkTime refuses at once.
func (n *Node) park(now time.Duration, in CallerRequest) bool {
	lost := max(n.leaseLostAt, n.leaseUntil)
	short := lost > 0 && now < lost+maxParkTime
	if n.leaseValid(now) || n.draining || !short || len(n.parked) >= maxParked {
		return false
	}
	n.parked = append(n.parked, parkedRequest{in, now})
	return true
}

// retryParked processes the parked requests once the router has a lease again,
// and refuses those that have waited for too long.
func (n *Node) retryParked(now time.Duration) {
	if len(n.parked) == 0 {
		return
	}
	waiting := n.parked
	n.parked = nil
	for _, p := range waiting {
		switch {
		case n.leaseValid(now) || n.draining:
			n.handleCallerRequest(now, p.request)
		case now-p.since > maxParkTime:
			n.refuse(*refusal(p.request.ID, 503, reason.NoLease, "this router can't confirm its configuration; another one may", statusRetryAfter))
		default:
			n.parked = append(n.parked, p)
		}
	}
}

// dropParked removes a parked request whose caller has gone.
func (n *Node) dropParked(in CallerGone) {
	kept := n.parked[:0]
	for _, p := range n.parked {
		if p.request.ID != in.ID {
			kept = append(kept, p)
		}
	}
	n.parked = kept
}

package control

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// referralLifetime is how long a router that was sent tables and lists counts as one
	// that can send them on.
	referralLifetime = time.Second
	// maxRoutersPerReferral limits the routers that are referred to the same one.
	maxRoutersPerReferral = 4
	// startupPeriod is how long after its first Watch a router counts as starting.
	startupPeriod = 2 * time.Second
)

// referrals are the routers that were sent tables and lists a moment ago, in order of
// time. A disk VM whose link has no capacity left refers other routers to them.
//
// When hundreds of routers return from a loss of power within some tenths of a second,
// each asks for a table and a list, and the disk VMs' links take more than a second to
// send them. Without referrals each router would refuse its callers until its turn
// comes. There are many more routers than disk VMs. The routers that are served first
// serve the next ones, and these serve others, so that the wait grows with the logarithm
// of their number.
//
// If the referral is gone, or lacks what it is asked for, the router asks again after
// its usual timeout, and asks another disk VM.
type referrals struct {
	list []referral
}

// referral is a router that was sent tables and lists, or soon will be.
type referral struct {
	router Router
	// at is when it was added to the referrals.
	at time.Duration
	// referred is how many routers were referred to it.
	referred int
}

// add records a router that has been sent a table or list, or that another router will
// soon send one to.
func (r *referrals) add(now time.Duration, router Router) {
	known := slices.ContainsFunc(r.list, func(other referral) bool { return other.router.ID == router.ID })
	if !known {
		r.list = append(r.list, referral{router: router, at: now})
	}
}

// next returns the referral for a router, "" if there is none. One in the same data
// centre is preferred.
func (r *referrals) next(now time.Duration, router Router) protocol.RouterID {
	r.list = slices.DeleteFunc(r.list, func(known referral) bool { return now-known.at > referralLifetime })
	found := -1
	for i, known := range r.list {
		if known.referred >= maxRoutersPerReferral || known.router.ID == router.ID {
			continue
		}
		if known.router.DataCentre == router.DataCentre {
			found = i
			break
		}
		if found < 0 {
			found = i
		}
	}
	if found < 0 {
		return ""
	}
	r.list[found].referred++
	return r.list[found].router.ID
}

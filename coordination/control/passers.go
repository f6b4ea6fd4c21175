package control

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// passerLife is how long a router that was sent tables and lists counts as one
	// that can pass them on.
	passerLife = time.Second
	// mostAsking bounds the routers that are sent to one passer.
	mostAsking = 4
	// startingFor is how long after its first Watch a router counts as starting.
	startingFor = 2 * time.Second
)

// passers are the routers that were sent tables and lists a moment ago, in order.
//
// Load: hundreds of routers return from a loss of power within some tenths of a
// second, each wants a table and a list, and the disk VMs' links take more than a
// second to send them. Harm prevented: a router refuses its callers until its turn
// comes. There are many more routers than disk VMs; those that are served first pass
// on to the next, and these to others, so that the wait grows with the logarithm of
// their number.
//
// Failure guarded: a passer is gone, or lacks what it is asked for. Who is sent to it
// asks again, and another disk VM, after its usual patience.
type passers struct {
	list []passer
}

type passer struct {
	router Router
	at     time.Duration
	asking int
}

// add notes that a router has been sent something large, or soon will be by another.
func (p *passers) add(now time.Duration, router Router) {
	known := slices.ContainsFunc(p.list, func(other passer) bool { return other.router.ID == router.ID })
	if !known {
		p.list = append(p.list, passer{router: router, at: now})
	}
}

// next returns the passer that a router should ask, "" if there is none: one in its
// own data centre before the others.
func (p *passers) next(now time.Duration, asker Router) protocol.RouterID {
	p.list = slices.DeleteFunc(p.list, func(known passer) bool { return now-known.at > passerLife })
	found := -1
	for i, known := range p.list {
		if known.asking >= mostAsking || known.router.ID == asker.ID {
			continue
		}
		if known.router.DataCentre == asker.DataCentre {
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
	p.list[found].asking++
	return p.list[found].router.ID
}

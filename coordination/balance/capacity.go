package balance

import "endiveplank/protocol"

// Capacity is how much work a service's upstreams take, and how much they have.
type Capacity struct {
	// Slots is the sum of the slots that the upstreams announce. It is 0 if any of them
	// announces none, because the sum would be too low then.
	Slots int
	// InFlight is the number of requests in flight on them, of all routers.
	InFlight int
}

// LeastSlots returns the least number of slots that any of a service's upstreams announces, of those
// that accept requests and aren't evacuated. It is 0 if one of them announces none.
func (b *Balancer) LeastSlots(service protocol.Service) int {
	least := 0
	for _, u := range b.poolOf(service).ready {
		if b.evacuated[u.entry.DataCentre] {
			continue
		}
		if u.entry.Slots <= 0 {
			return 0
		}
		if least == 0 || u.entry.Slots < least {
			least = u.entry.Slots
		}
	}
	return least
}

// Capacity returns the capacity of a service's upstreams that accept requests and aren't
// evacuated.
func (b *Balancer) Capacity(service protocol.Service) Capacity {
	p := b.poolOf(service)
	capacity := Capacity{InFlight: b.omittedLoad[serviceIDOf(service)]}
	unannounced := 0
	for dataCentre := range p.readyIn {
		if b.evacuated[dataCentre] {
			continue
		}
		capacity.Slots += p.slotsIn[dataCentre]
		capacity.InFlight += p.loadIn[dataCentre]
		unannounced += p.unannouncedIn[dataCentre]
	}
	if unannounced > 0 {
		capacity.Slots = 0
	}
	return capacity
}

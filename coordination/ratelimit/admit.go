package ratelimit

import (
	"time"

	"endiveplank/coordination/demand"
	"endiveplank/protocol"
)

// Reason says why a request was admitted or refused, for the log.
type Reason string

// The reasons.
const (
	// ReasonNoLimit: no limit is in force.
	ReasonNoLimit Reason = "no-limit"
	// ReasonReserved: the request has a reservation that is due.
	ReasonReserved Reason = "reserved"
	// ReasonShare: the request is within the share of its rank and customer.
	ReasonShare Reason = "share"
	// ReasonOverShare: the request is beyond the share of its rank and customer.
	ReasonOverShare Reason = "over-share"
	// ReasonOutlier: the customer's demand is the cause of the shortage, and the request is beyond its
	// share. A reservation for it would take the capacity from the other customers.
	ReasonOutlier Reason = "outlier"
	// ReasonTooLate: the request can't begin within its remaining time.
	ReasonTooLate Reason = "too-late"
)

// Request is what is known of a request when it is admitted.
type Request struct {
	// Rank is the urgency; less urgent ranks than the last one count as the last one.
	Rank     int
	Customer protocol.CustomerID
	// Remaining is how long the caller still waits; 0 means that it isn't known.
	Remaining time.Duration
	// Reserved says that the request holds a reservation that is due.
	Reserved bool
}

// Decision says whether a request is admitted, and on which inputs.
type Decision struct {
	Admitted bool
	Reason   Reason
	// Limit, Share and Demand are rates in requests a second over all routers: the limit in
	// force, and the share and the demand of the request's rank and customer.
	Share, Limit, Demand float64
	// Wait is the estimated time until a request that is sent now begins.
	Wait time.Duration
}

// Admit decides whether a request is admitted, by a random number from 0 to 1.
func (l *Limiter) Admit(now time.Duration, random float64, r Request) Decision {
	if l.perSlot == 0 {
		l.pace.adjust(now, 1, 1)
		return Decision{Admitted: true, Reason: ReasonNoLimit}
	}
	d := l.Inspect(r)
	probability := l.pace.adjust(now, d.probability(), l.shares.mean)
	d.Admitted, d.Reason = decide(d, random < probability, r)
	if d.Reason == ReasonOverShare && l.shares.isOutlier(demand.CustomerHashOf(r.Customer)) {
		d.Reason = ReasonOutlier
	}
	if d.Admitted {
		l.pace.admitted()
	}
	return d
}

// Inspect returns the figures by which a request would be admitted, without admitting or counting it.
func (l *Limiter) Inspect(r Request) Decision {
	if l.perSlot == 0 {
		return Decision{Reason: ReasonNoLimit}
	}
	d := Decision{Limit: l.allowed(), Wait: l.wait()}
	d.Share, d.Demand = l.shares.of(demand.RankOf(r.Rank), demand.CustomerHashOf(r.Customer))
	return d
}

// CustomerShare returns how many requests a second of a customer, of all ranks, are admitted by the
// limit in force.
func (l *Limiter) CustomerShare(customer demand.CustomerHash) float64 {
	total := 0.0
	for rank := range demand.Ranks {
		share, asked := l.shares.of(rank, customer)
		total += min(share, asked)
	}
	return total
}

// probability returns the part of the demand that is within the share.
func (d Decision) probability() float64 {
	if d.Share >= d.Demand {
		return 1
	}
	return d.Share / d.Demand
}

// decide returns whether a request is admitted, and why.
func decide(d Decision, drawn bool, r Request) (bool, Reason) {
	switch {
	case r.Remaining > 0 && d.Wait > r.Remaining:
		return false, ReasonTooLate
	case r.Reserved:
		return true, ReasonReserved
	case !drawn:
		return false, ReasonOverShare
	}
	return true, ReasonShare
}

// wait estimates how long a request waits for a slot.
func (l *Limiter) wait() time.Duration {
	waiting := float64(l.capacity.InFlight - l.capacity.Slots)
	if waiting <= 0 || l.perSlot == 0 {
		return 0
	}
	return time.Duration(waiting / (l.perSlot * float64(l.capacity.Slots)) * float64(time.Second))
}

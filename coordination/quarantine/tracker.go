package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// run is one request in flight on an upstream.
type run struct {
	digest   Digest
	customer protocol.CustomerID
	started  time.Duration
	// copies is how many times the request runs on the upstream at the same
	// time.
	copies int
	// trialEnds is the end of the trial of a suspect that started alone, with
	// only proven requests beside it; no other request should start until then.
	// It is zero for other requests. alone becomes false if another request
	// starts before trialEnds nevertheless.
	trialEnds time.Duration
	alone     bool
}

// suspect is the record of a digest that was in flight at a crash.
type suspect struct {
	crashes []uint32
	until   time.Duration
	// age is how long the request had run at the latest crash.
	age time.Duration
	// strikes is how many times the digest was quarantined before.
	strikes int
}

// quarantineRecord is the quarantine of one digest.
type quarantineRecord struct {
	customer protocol.CustomerID
	until    time.Duration
	strikes  int
	crash    uint32
	// before is the suspect's record before the quarantine, which is restored
	// if the crash turns out to belong to a mass failure.
	before *suspect
}

// Tracker records which requests are in flight on the upstreams that this
// router owns, and which requests are suspects or quarantined in the whole
// fleet.
//
// It handles every start and end of a request, and rare crashes with up to a
// few hundred requests in flight. It prevents one request from crashing the
// fleet engine by engine, and harmless requests from being refused because of
// it.
type Tracker struct {
	config       Config
	upstreams    map[protocol.UpstreamID]map[Digest]*run
	reservations map[protocol.UpstreamID]reservation
	suspects     map[short]*suspect
	quarantined  map[Digest]*quarantineRecord
	crashes      []crash
}

// New returns an empty tracker.
func New(config Config) *Tracker {
	return &Tracker{
		config:       config,
		upstreams:    make(map[protocol.UpstreamID]map[Digest]*run),
		reservations: make(map[protocol.UpstreamID]reservation),
		suspects:     make(map[short]*suspect),
		quarantined:  make(map[Digest]*quarantineRecord),
	}
}

// Check returns how a request must be treated on arrival.
func (t *Tracker) Check(now time.Duration, d Digest) CheckResult {
	if q := t.quarantineOf(now, d); q != nil {
		return CheckResult{Status: Quarantined, RetryAfter: q.until - now}
	}
	if s := t.suspectOf(now, d.short()); s != nil {
		return CheckResult{Status: Suspect, Crashes: len(s.crashes)}
	}
	return CheckResult{}
}

// MayStart reports whether a request may start on an upstream now. A suspect
// waits until it can run alone, and other requests wait for the end of a trial,
// both at most until by, the latest start that meets their deadline: a harmless
// request must not be late only because it is a suspect.
func (t *Tracker) MayStart(now time.Duration, upstream protocol.UpstreamID, d Digest, by time.Duration) StartDecision {
	result := t.Check(now, d)
	if result.Status == Quarantined {
		return StartDecision{Hold: HoldQuarantined}
	}
	runs := t.upstreams[upstream]
	if copied := runs[d]; copied != nil && result.Status == Suspect {
		// A second copy of a suspect on the same upstream would reveal nothing
		// more about it.
		return StartDecision{Hold: HoldTrial, CheckAt: max(copied.trialEnds, now+t.config.MinTrial)}
	}
	if now >= by {
		return StartDecision{}
	}
	if ends := trialEnds(runs); now < ends {
		return StartDecision{Hold: HoldTrial, CheckAt: min(ends, by)}
	}
	if result.Status == Suspect {
		return t.reserveTrial(now, upstream, d, by)
	}
	if reserved := t.reservations[upstream]; now >= reserved.opens && now < reserved.closes {
		return StartDecision{Hold: HoldTrial, CheckAt: min(reserved.closes, by)}
	}
	return StartDecision{}
}

// Started records that a request was sent to an upstream.
func (t *Tracker) Started(now time.Duration, upstream protocol.UpstreamID, d Digest, customer protocol.CustomerID) {
	runs := t.upstreams[upstream]
	if runs == nil {
		runs = make(map[Digest]*run)
		t.upstreams[upstream] = runs
	}
	if r := runs[d]; r != nil {
		r.copies++
		return
	}
	r := &run{digest: d, customer: customer, started: now, copies: 1}
	s := t.suspectOf(now, d.short())
	if s != nil && now >= trialEnds(runs) && now >= t.allProven(runs) {
		r.alone = true
		r.trialEnds = now + t.trialTime(s)
		t.reservations[upstream] = reservation{opens: r.trialEnds + max(t.config.MinTrialGap, r.trialEnds-now)}
	} else {
		// A suspect that couldn't wait runs like any other request: it shares
		// the upstream, so delaying others for it would prove nothing.
		invalidateTrials(now, runs)
	}
	runs[d] = r
}

// Ended records that a run ended without a crash of its upstream. A complete
// answer clears a suspect: a request that crashes each upstream that runs it
// never completes.
func (t *Tracker) Ended(now time.Duration, upstream protocol.UpstreamID, d Digest, end RunEnd) {
	runs := t.upstreams[upstream]
	r := runs[d]
	if r == nil {
		return
	}
	r.copies--
	if r.copies <= 0 {
		delete(runs, d)
	}
	if len(runs) == 0 {
		delete(t.upstreams, upstream)
		delete(t.reservations, upstream)
	}
	if end == Completed {
		delete(t.suspects, d.short())
	}
}

// List returns the quarantined digests in ascending order.
func (t *Tracker) List(now time.Duration) []Entry {
	var entries []Entry
	for d := range t.quarantined {
		q := t.quarantineOf(now, d)
		if q == nil {
			continue
		}
		entries = append(entries, Entry{Digest: d, Customer: q.customer, Strikes: q.strikes, Expires: q.until})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Digest, b.Digest) })
	return entries
}

// Notices returns the quarantines in force, for a router that has started.
func (t *Tracker) Notices(now time.Duration) []Notice {
	var notices []Notice
	for _, e := range t.List(now) {
		q := t.quarantined[e.Digest]
		notices = append(notices, Notice{
			Kind: QuarantineNotice, Crash: q.crash, Digest: e.Digest, Strikes: uint8(min(e.Strikes, math.MaxUint8)), Seconds: wholeSeconds(e.Expires - now),
		})
	}
	return notices
}

// Lift ends the quarantine of a digest and clears it as a suspect. It returns
// the notice for the other routers.
func (t *Tracker) Lift(d Digest) Notice {
	t.lift(d)
	return Notice{Kind: LiftNotice, Digest: d}
}

func (t *Tracker) lift(d Digest) {
	delete(t.quarantined, d)
	delete(t.suspects, d.short())
}

// suspectOf returns the suspect, or nil if there is none or it has expired.
func (t *Tracker) suspectOf(now time.Duration, s short) *suspect {
	found := t.suspects[s]
	if found != nil && now >= found.until {
		delete(t.suspects, s)
		return nil
	}
	return found
}

// quarantineOf returns the quarantine of a digest, or nil if there is none or
// it has expired. A digest whose quarantine has expired becomes a suspect, so
// that the request runs alone once more.
func (t *Tracker) quarantineOf(now time.Duration, d Digest) *quarantineRecord {
	q := t.quarantined[d]
	if q == nil || now < q.until {
		return q
	}
	delete(t.quarantined, d)
	t.suspects[d.short()] = &suspect{
		crashes: []uint32{q.crash},
		until:   now + t.config.SuspectFor,
		strikes: q.strikes,
	}
	return nil
}

// crashID identifies one crash of one upstream by the same number on every
// router.
func crashID(upstream protocol.UpstreamID, incarnation uint64) uint32 {
	return uint32(xxhash.Sum64String(string(upstream)) ^ (incarnation * 0x9e3779b97f4a7c15 >> 32))
}

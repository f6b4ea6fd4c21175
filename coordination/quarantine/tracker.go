package quarantine

import (
	"cmp"
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
	copies   int
	// trialEnds is how long a suspect that started alone, with only proven
	// requests beside it, holds others off. It is zero for other requests.
	// alone turns false when another request starts before that all the same.
	trialEnds time.Duration
	alone     bool
}

// suspect is one digest that was in flight at a crash.
type suspect struct {
	crashes []uint32
	until   time.Duration
	// age is how long the request had run at the latest crash.
	age time.Duration
	// strikes is above zero after an earlier quarantine.
	strikes int
}

// sentence is one quarantined digest.
type sentence struct {
	customer protocol.CustomerID
	until    time.Duration
	strikes  int
	crash    uint32
	// before is the suspicion that led to it, for when the crash turns out void.
	before *suspect
}

// Tracker follows what is in flight on the upstreams that this router owns and
// who is suspected or quarantined in the whole fleet.
//
// Load: every start and end of a request, and rare crashes with up to a few
// hundred requests in flight. Harm prevented: one request that takes the fleet
// down engine by engine, and innocents refused for it.
type Tracker struct {
	config    Config
	upstreams map[protocol.UpstreamID]map[Digest]*run
	claims    map[protocol.UpstreamID]claim
	suspects  map[short]*suspect
	sentences map[Digest]*sentence
	crashes   []crash
}

// New returns an empty tracker.
func New(config Config) *Tracker {
	return &Tracker{
		config:    config,
		upstreams: make(map[protocol.UpstreamID]map[Digest]*run),
		claims:    make(map[protocol.UpstreamID]claim),
		suspects:  make(map[short]*suspect),
		sentences: make(map[Digest]*sentence),
	}
}

// Check says how a request is to be treated on arrival.
func (t *Tracker) Check(now time.Duration, d Digest) Verdict {
	if s := t.sentenceOf(now, d); s != nil {
		return Verdict{Standing: Quarantined, RetryAfter: s.until - now}
	}
	if s := t.suspectOf(now, d.short()); s != nil {
		return Verdict{Standing: Suspect, Crashes: len(s.crashes)}
	}
	return Verdict{}
}

// MayStart says whether a request may start on an upstream now. A suspect waits
// for a lonely upstream and fresh requests wait for the end of a trial, both at
// most until by, their last moment to start: a suspicion alone must not make an
// innocent late.
func (t *Tracker) MayStart(now time.Duration, upstream protocol.UpstreamID, d Digest, by time.Duration) StartDecision {
	verdict := t.Check(now, d)
	if verdict.Standing == Quarantined {
		return StartDecision{Hold: HoldQuarantined}
	}
	runs := t.upstreams[upstream]
	if copied := runs[d]; copied != nil && verdict.Standing == Suspect {
		// Two copies of a suspect on one upstream say no more than one.
		return StartDecision{Hold: HoldTrial, CheckAt: max(copied.trialEnds, now+t.config.MinTrial)}
	}
	if now >= by {
		return StartDecision{}
	}
	if ends := trialEnds(runs); now < ends {
		return StartDecision{Hold: HoldTrial, CheckAt: min(ends, by)}
	}
	if verdict.Standing == Suspect {
		return t.claimTrial(now, upstream, d, by)
	}
	if c := t.claims[upstream]; now >= c.opens && now < c.closes {
		return StartDecision{Hold: HoldTrial, CheckAt: min(c.closes, by)}
	}
	return StartDecision{}
}

// Started notes that a request was sent to an upstream.
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
		t.claims[upstream] = claim{opens: r.trialEnds + max(t.config.FreshWindow, r.trialEnds-now)}
	} else {
		// A suspect that could not wait runs as any other request: holding
		// others off for it would prove nothing.
		spoilTrials(now, runs)
	}
	runs[d] = r
}

// Ended notes that a run ended and its upstream lives. A whole answer clears
// a suspect: what crashes each upstream that runs it doesn't end.
func (t *Tracker) Ended(now time.Duration, upstream protocol.UpstreamID, d Digest, end End) {
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
		delete(t.claims, upstream)
	}
	if end == Completed {
		delete(t.suspects, d.short())
	}
}

// List returns the quarantined digests, in order of digest.
func (t *Tracker) List(now time.Duration) []Entry {
	var entries []Entry
	for d := range t.sentences {
		s := t.sentenceOf(now, d)
		if s == nil {
			continue
		}
		entries = append(entries, Entry{Digest: d, Customer: s.customer, Strikes: s.strikes, Expires: s.until})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Digest, b.Digest) })
	return entries
}

// Lift ends a quarantine and every suspicion of a digest. It returns the notice
// for the other routers.
func (t *Tracker) Lift(d Digest) Notice {
	t.lift(d)
	return Notice{Kind: LiftNotice, Digest: d}
}

func (t *Tracker) lift(d Digest) {
	delete(t.sentences, d)
	delete(t.suspects, d.short())
}

// suspectOf returns the suspect, or nil when its time has run out.
func (t *Tracker) suspectOf(now time.Duration, s short) *suspect {
	found := t.suspects[s]
	if found != nil && now >= found.until {
		delete(t.suspects, s)
		return nil
	}
	return found
}

// sentenceOf returns the sentence, or nil when it has expired. An expired one
// turns into a suspicion, so that the request is tried alone once more.
func (t *Tracker) sentenceOf(now time.Duration, d Digest) *sentence {
	s := t.sentences[d]
	if s == nil || now < s.until {
		return s
	}
	delete(t.sentences, d)
	t.suspects[d.short()] = &suspect{
		crashes: []uint32{s.crash},
		until:   now + t.config.SuspectFor,
		strikes: s.strikes,
	}
	return nil
}

// crashID names one crash of one upstream the same on every router.
func crashID(upstream protocol.UpstreamID, incarnation uint64) uint32 {
	return uint32(xxhash.Sum64String(string(upstream)) ^ (incarnation * 0x9e3779b97f4a7c15 >> 32))
}

package quarantine

import (
	"time"

	"endiveplank/protocol"
)

// Standing is how a digest is seen.
type Standing uint8

const (
	// Clear means: treat as any request.
	Clear Standing = iota
	// Suspect means: run it on TrialUpstream, when MayStart allows.
	Suspect
	// Quarantined means: refuse. The request has not run.
	Quarantined
)

// ReasonQuarantined is the reason code of a refused request.
const ReasonQuarantined = "request-quarantined"

// Verdict is the typed answer to Check.
type Verdict struct {
	Standing Standing
	// Crashes counts the crashes that the digest was in.
	Crashes int
	// RetryAfter is set for Quarantined: when the quarantine ends.
	RetryAfter time.Duration
}

// Hold says why a request may not start on an upstream yet.
type Hold uint8

const (
	// HoldNone means that the request may start.
	HoldNone Hold = iota
	// HoldTrial means that a suspect is on trial there.
	HoldTrial
	// HoldYoung means that the suspect waits until the requests that started
	// there last have run for a moment.
	HoldYoung
	// HoldQuarantined means that the digest has been condemned meanwhile.
	HoldQuarantined
)

// StartDecision is the typed answer to MayStart.
type StartDecision struct {
	Hold Hold
	// CheckAt is when to ask again, unless an end or a crash comes first.
	CheckAt time.Duration
}

// End says how a run ended without a crash.
type End uint8

const (
	// Completed means that the upstream gave the whole answer.
	Completed End = iota + 1
	// Interrupted means that the run was cancelled or its connection broke
	// while the upstream lives on. It clears nobody.
	Interrupted
)

// Report is the typed outcome of a crash.
type Report struct {
	// Suspects is the number of requests that were in flight.
	Suspects int
	// Condemned lists the digests that this crash condemned.
	Condemned []Digest
	// Void means that the crash belongs to a loss of several upstreams at
	// once and blames nobody.
	Void bool
	// Notices are to be sent to every router.
	Notices []Notice
}

// Entry is one quarantined digest, for operators.
type Entry struct {
	Digest Digest
	// Customer is empty where this router hasn't met the request itself.
	Customer protocol.CustomerID
	Strikes  int
	Expires  time.Duration
}

// Config holds the settings of a Tracker.
type Config struct {
	// SuspectFor is how long a suspect is remembered. It must outlast the pause
	// after which callers send a request again.
	SuspectFor time.Duration
	// Proven is how long a request must have run to count as no rival of
	// a suspect on trial.
	Proven time.Duration
	// MinTrial and MaxTrial bound how long a trial keeps other work off the
	// upstream. In between, it is TrialFactor times the age that the
	// suspect had at the crash.
	MinTrial    time.Duration
	MaxTrial    time.Duration
	TrialFactor float64
	// FreshWindow is how long fresh requests may at least start between two
	// trials on one upstream; after a longer trial they get as long as it took.
	FreshWindow time.Duration
	// FirstSentence is the first quarantine's length. Each later one of the
	// same digest is twice as long, up to MaxSentence.
	FirstSentence time.Duration
	MaxSentence   time.Duration
	// MassCrashes in MassWindow with no request in common are void.
	MassCrashes int
	MassWindow  time.Duration
	// MaxSuspects bounds memory; the oldest are forgotten first.
	MaxSuspects int
}

// DefaultConfig returns the default settings.
//
// An hour outlasts a caller's patience between resends. Requests that crash an
// engine mostly do so in their prefill, within a second, so a trial costs an
// upstream two to four seconds of fresh starts, in turns with at least as long
// for them. A suspect that was older at its crash than the longest trial covers
// is found by a third crash instead. Five minutes is short for an
// innocent and long against the minute or so that an engine needs to restart.
// Two bad requests at once must not look like a lost rack, so three crashes
// are needed.
func DefaultConfig() Config {
	return Config{
		SuspectFor:    time.Hour,
		Proven:        time.Second,
		MinTrial:      time.Second,
		MaxTrial:      3 * time.Second,
		TrialFactor:   2,
		FreshWindow:   time.Second,
		FirstSentence: 5 * time.Minute,
		MaxSentence:   24 * time.Hour,
		MassCrashes:   3,
		MassWindow:    2 * time.Second,
		MaxSuspects:   4096,
	}
}

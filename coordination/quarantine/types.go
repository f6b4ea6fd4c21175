package quarantine

import (
	"time"

	"endiveplank/protocol"
)

// Status is how a digest is treated.
type Status uint8

const (
	// Clear means: treat the request like any other.
	Clear Status = iota
	// Suspect means: run the request on TrialUpstream when MayStart allows it.
	Suspect
	// Quarantined means: refuse the request. It has not run.
	Quarantined
)

// ReasonQuarantined is the reason code of a refused request.
const ReasonQuarantined = "request-quarantined"

// CheckResult is the result of Check.
type CheckResult struct {
	Status Status
	// Crashes is set for Suspect: the number of crashes at which the digest was
	// in flight.
	Crashes int
	// RetryAfter is set for Quarantined: the time until the quarantine ends.
	RetryAfter time.Duration
}

// Hold says why a request may not start on an upstream yet.
type Hold uint8

const (
	// HoldNone means that the request may start.
	HoldNone Hold = iota
	// HoldTrial means that a suspect is on trial there, or that the upstream is
	// reserved for a trial or for requests that aren't suspects.
	HoldTrial
	// HoldRecentStart means that the suspect waits until the requests that
	// started there last have run for Config.ProvenAfter.
	HoldRecentStart
	// HoldQuarantined means that the digest has been quarantined since its
	// arrival.
	HoldQuarantined
)

// StartDecision is the result of MayStart.
type StartDecision struct {
	Hold Hold
	// CheckAt is when to call MayStart again, unless a run on the upstream ends
	// or the upstream crashes before.
	CheckAt time.Duration
}

// RunEnd is how a run ended without a crash.
type RunEnd uint8

const (
	// Completed means that the upstream gave the complete answer.
	Completed RunEnd = iota + 1
	// Interrupted means that the run was cancelled or its connection broke
	// while the upstream continues to run. It doesn't clear a suspect.
	Interrupted
)

// Report is the result of Crashed.
type Report struct {
	// Suspects is the number of requests that were in flight.
	Suspects int
	// Quarantined lists the digests that were quarantined because of this
	// crash.
	Quarantined []Digest
	// MassFailure means that several upstreams failed at once, so that no
	// request is suspected of the crash.
	MassFailure bool
	// Notices are to be sent to every router.
	Notices []Notice
}

// Entry is one quarantined digest, for operators.
type Entry struct {
	Digest Digest
	// Customer is empty if this router hasn't seen the request itself.
	Customer protocol.CustomerID
	Strikes  int
	Expires  time.Duration
}

// Config holds the settings of a Tracker.
type Config struct {
	// SuspectFor is how long a suspect is remembered. It must be longer than
	// the pause after which callers send a request again.
	SuspectFor time.Duration
	// ProvenAfter is how long a request must have run to count as proven: a
	// crash in the trial of a suspect beside it is then not considered its
	// fault.
	ProvenAfter time.Duration
	// MinTrial and MaxTrial bound how long a trial keeps other requests off the
	// upstream. In between, the trial lasts TrialFactor times as long as the
	// suspect had run at the crash.
	MinTrial    time.Duration
	MaxTrial    time.Duration
	TrialFactor float64
	// MinTrialGap is the minimum time between two trials on one upstream, in
	// which other requests may start; after a longer trial the gap is as long
	// as the trial.
	MinTrialGap time.Duration
	// FirstDuration is the length of the first quarantine. Each later one of
	// the same digest is twice as long, up to MaxDuration.
	FirstDuration time.Duration
	MaxDuration   time.Duration
	// MassCrashes crashes within MassWindow that have no request in common are
	// a mass failure and don't count.
	MassCrashes int
	MassWindow  time.Duration
	// MaxSuspects limits memory use; the suspects that expire first are removed
	// first.
	MaxSuspects int
}

// DefaultConfig returns the default settings.
//
// An hour is longer than callers wait between resends. Requests that crash an
// engine mostly do so in their prefill, within a second, so a trial keeps other
// requests off an upstream for two to four seconds, followed by a gap of at
// least the same length for them. A suspect that had run longer at its crash
// than the longest trial covers is found by a third crash instead. Five minutes
// is short for a harmless request, and long compared with the minute or so that
// an engine needs to restart. Two bad requests at once must not look like a
// lost rack, so three crashes are needed.
func DefaultConfig() Config {
	return Config{
		SuspectFor:    time.Hour,
		ProvenAfter:   time.Second,
		MinTrial:      time.Second,
		MaxTrial:      3 * time.Second,
		TrialFactor:   2,
		MinTrialGap:   time.Second,
		FirstDuration: 5 * time.Minute,
		MaxDuration:   24 * time.Hour,
		MassCrashes:   3,
		MassWindow:    2 * time.Second,
		MaxSuspects:   4096,
	}
}

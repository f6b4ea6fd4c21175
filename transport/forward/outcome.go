package forward

import (
	"math"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/coordination/balance"
	"endiveplank/protocol"
	"endiveplank/transport/tracing"
)

// Outcome describes how a request ended, for the log and the metrics.
type Outcome struct {
	Route        string
	TableVersion uint64
	Customer     protocol.CustomerID
	Status       int
	// Reason is set if this router answered by itself or ended the caller's
	// connection.
	Reason string
	// Limit and Mean are set if the request was refused for lack of capacity: an
	// upstream whose load has reached Limit gets no more requests, and Mean is the
	// upstreams' mean load.
	Limit int
	Mean  float64
	// RateLimited is set if the request was refused for the rate limit of its service.
	RateLimited *balance.RateRefusal
	// Offer is set if the request was refused for lack of capacity while its service had a rate
	// limit.
	Offer *RetryOffer
	// HeaderError says which of the caller's headers could not be read.
	HeaderError string
	// LocalReply means that this router made the answer, not an upstream.
	LocalReply bool
	// Aborted means that the caller's connection was ended in the middle of the
	// answer.
	Aborted    bool
	CallerGone bool
	Attempts   []AttemptOutcome
	Events     int
	// FirstAfter is the time from the request's arrival to the first byte of the
	// answer to the caller.
	FirstAfter time.Duration
	Took       time.Duration
}

// AttemptOutcome describes how one attempt ended.
type AttemptOutcome struct {
	Choice balance.Choice
	Result balance.Result
	Status int
	Reused bool
	// Sent is true unless it is certain that no byte reached an upstream.
	Sent bool
	// AttestedNotRun means that the upstream attests that it didn't run the request.
	AttestedNotRun bool
	Cause          string
	// RetryAfter is the time for which the upstream wants no further requests, 0 for none.
	RetryAfter time.Duration
	// Rejected means that the upstream didn't run the request for lack of capacity.
	Rejected bool
	// ServerError means that the upstream answered with a 5xx status other than 503.
	ServerError bool
	// Late means that the answer was overdue: the fleet was told so while the
	// attempt was in flight.
	Late bool
	// FirstAfter is how long the answer took to begin, 0 if it never began.
	FirstAfter time.Duration
	Took       time.Duration
}

// mayHaveRun reports whether an upstream may have run the request in this attempt. It is derived
// from what was sent and attested alone, so that it holds by whichever way the attempt ended.
func (a *AttemptOutcome) mayHaveRun() bool { return a.Sent && !a.AttestedNotRun }

// reportedResult returns the result to report for the upstream. A late answer was
// reported when it became overdue, so its failure isn't reported a second time.
func (a *AttemptOutcome) reportedResult() balance.Result {
	if a.Late && (a.Result == balance.Failed || a.Result == balance.Broken) {
		return balance.Abandoned
	}
	return a.Result
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a AttemptOutcome) MarshalZerologObject(e *zerolog.Event) {
	e.Str("upstream", string(a.Choice.ID)).Str("build", a.Choice.Build).Str("why", string(a.Choice.Reason)).
		Int("load", a.Choice.Load).Float64("mean", a.Choice.Mean).
		Stringer("result", a.Result).Int("status", a.Status).Bool("sent", a.Sent).Bool("may_have_run", a.mayHaveRun()).Bool("reused", a.Reused).
		Float64("ms", a.Took.Seconds()*1000)
	if a.Late {
		e.Bool("late", true)
	}
	if a.Choice.Excluded > 0 {
		e.Int("passed_over", a.Choice.Excluded)
	}
	if a.Choice.Evacuated > 0 {
		e.Int("evacuated", a.Choice.Evacuated)
	}
	if a.Choice.Cold > 0 {
		e.Int("cold", a.Choice.Cold)
	}
	if a.Choice.Paused > 0 {
		e.Int("paused", a.Choice.Paused)
	}
	if a.Choice.Proxy != "" {
		e.Str("proxy", string(a.Choice.Proxy))
	}
	if a.Choice.CopyFrom != "" {
		e.Str("copy_from", a.Choice.CopyFrom)
	}
	if a.RetryAfter > 0 {
		e.Int64("retry_after_ms", a.RetryAfter.Milliseconds())
	}
	if a.Cause != "" {
		e.Str("cause", a.Cause)
	}
}

// attempts logs the attempts of a request as a list.
type attempts []AttemptOutcome

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (list attempts) MarshalZerologArray(a *zerolog.Array) {
	for _, attempt := range list {
		a.Object(attempt)
	}
}

// failed reports whether the router refused the request or broke its answer off, the
// status is 5xx, or more than one attempt was made.
func (o *Outcome) failed() bool {
	return o.LocalReply || o.Aborted || o.Status >= 500 || len(o.Attempts) > 1
}

// mayHaveRun reports whether an upstream may have run the request in any attempt.
func (o *Outcome) mayHaveRun() bool {
	return slices.ContainsFunc(o.Attempts, func(a AttemptOutcome) bool { return a.mayHaveRun() })
}

// broke reports whether an upstream broke an attempt off.
func (o *Outcome) broke() bool {
	return slices.ContainsFunc(o.Attempts, func(a AttemptOutcome) bool { return a.Result == balance.Broken })
}

// logRateLimit adds to a line the figures of a refusal for lack of capacity, if the service had a
// rate limit.
func (o *Outcome) logRateLimit(line *zerolog.Event) {
	if o.RateLimited != nil {
		line.Float64("limit", tenths(o.RateLimited.Limit)).Float64("share", tenths(o.RateLimited.Share)).Float64("demand", tenths(o.RateLimited.Demand)).
			Int("rank", o.RateLimited.Rank).Int64("wait_ms", o.RateLimited.Wait.Milliseconds()).Str("refused_for", string(o.RateLimited.Cause))
	}
	if o.Offer != nil {
		line.Bool("reserved", o.Offer.Reserved).Int64("retry_after_ms", o.Offer.After.Milliseconds())
	}
}

// tenths rounds a rate for the log.
func tenths(rate float64) float64 { return math.Round(10*rate) / 10 }

// logSent logs an attempt before it is sent. If the router dies, this line is the
// only record of which upstream had the request.
func (f *forwarding) logSent(choice balance.Choice, remaining time.Duration) {
	line := f.handler.options.Log.Info().Str("event", "sent").Str("request", string(f.call.ID)).
		Str("route", f.outcome.Route).Uint64("table", f.outcome.TableVersion).Int("attempt", len(f.outcome.Attempts)+1).
		Str("upstream", string(choice.ID)).Str("build", choice.Build).Str("why", string(choice.Reason)).Int("load", choice.Load).Float64("mean", choice.Mean).
		Str("proxy", string(choice.Proxy)).Int64("left_ms", remaining.Milliseconds())
	f.logResumed(line)
	line.Send()
}

// logResumed adds to a line where the stream began that the caller takes up again, if it does.
func (f *forwarding) logResumed(line *zerolog.Event) {
	if f.call.LastEventID != "" {
		line.Str("after", f.call.LastEventID).Str("began", string(f.call.Resumes))
	}
}

// report logs the request and reports its outcome to the metrics and the trace. It
// passes on the panic by which abort ends the caller's connection.
func (f *forwarding) report() {
	aborted := recover()
	f.outcome.Took = time.Since(f.arrived)
	level := zerolog.InfoLevel
	if f.outcome.failed() {
		level = zerolog.WarnLevel
	}
	if f.handler.options.Observe != nil {
		f.handler.options.Observe(f.outcome)
	}
	o := &f.outcome
	f.span.End(tracing.Result{Status: o.Status, Reason: o.Reason, Failed: o.failed()})
	line := f.handler.options.Log.WithLevel(level).Str("event", "request").Str("request", string(f.call.ID)).
		Str("route", o.Route).Uint64("table", o.TableVersion).Str("customer", string(o.Customer)).Int("priority", f.job.Priority).
		Int("status", o.Status).Float64("ms", o.Took.Seconds()*1000).Array("attempts", attempts(o.Attempts))
	if o.Reason != "" {
		line.Str("reason", o.Reason)
	}
	f.logResumed(line)
	if o.Limit > 0 {
		line.Int("limit", o.Limit).Float64("mean", o.Mean)
	}
	o.logRateLimit(line)
	if o.HeaderError != "" {
		line.Str("doubt", o.HeaderError)
	}
	if o.Aborted || o.CallerGone {
		line.Bool("cut", o.Aborted).Bool("caller_gone", o.CallerGone)
	}
	if key, any := f.job.SharedPrefixKey(); any {
		line.Uint64("prompt", key)
	}
	if parts := f.job.Prompt.SharedParts(); o.broke() && len(parts) > 0 {
		line.Uints64("parts", parts)
	}
	if f.job.Route != nil && f.job.Route.Stream {
		line.Int("events", o.Events).Float64("first_ms", o.FirstAfter.Seconds()*1000)
	}
	line.Send()
	if aborted != nil {
		panic(aborted)
	}
}

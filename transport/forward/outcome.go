package forward

import (
	"time"

	"github.com/rs/zerolog"

	"endiveplank/coordination/balance"
	"endiveplank/protocol"
	"endiveplank/transport/tracing"
)

// Outcome is how a request ended, for log and metrics.
type Outcome struct {
	Route        string
	TableVersion uint64
	Customer     protocol.CustomerID
	Status       int
	// Reason is set where this router answered itself or broke off.
	Reason string
	// Limit is the load from which upstreams get no more work and Mean what they have,
	// where the request was refused for it.
	Limit int
	Mean  float64
	// Doubt is what could not be read of the caller's headers.
	Doubt string
	// Own says that the answer is this router's own.
	Own bool
	// Cut says that the caller's connection was ended in mid-answer.
	Cut        bool
	CallerGone bool
	Attempts   []AttemptOutcome
	Events     int
	// FirstAfter is when the first byte of the answer went to the caller.
	FirstAfter time.Duration
	Took       time.Duration
}

// AttemptOutcome is how one attempt ended.
type AttemptOutcome struct {
	Choice balance.Choice
	Result balance.Result
	Status int
	Reused bool
	Sent   bool
	Cause  string
	// Erred says that the upstream answered with an error.
	Erred bool
	// Late says that the answer was overdue.
	Late bool
	// FirstAfter is how long the answer took to begin, 0 if it didn't.
	FirstAfter time.Duration
	Took       time.Duration
}

// counted is the result as it is counted for the upstream. A failure that was told
// when the answer was overdue isn't told again.
func (a *AttemptOutcome) counted() balance.Result {
	if a.Late && a.Result == balance.Failed {
		return balance.Abandoned
	}
	return a.Result
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a AttemptOutcome) MarshalZerologObject(e *zerolog.Event) {
	e.Str("upstream", string(a.Choice.ID)).Str("why", string(a.Choice.Reason)).
		Int("load", a.Choice.Load).Float64("mean", a.Choice.Mean).
		Stringer("result", a.Result).Int("status", a.Status).Bool("sent", a.Sent).Bool("reused", a.Reused).
		Float64("ms", a.Took.Seconds()*1000)
	if a.Late {
		e.Bool("late", true)
	}
	if a.Choice.Excluded > 0 {
		e.Int("passed_over", a.Choice.Excluded)
	}
	if a.Choice.CopyFrom != "" {
		e.Str("copy_from", a.Choice.CopyFrom)
	}
	if a.Cause != "" {
		e.Str("cause", a.Cause)
	}
}

// attempts are logged as a list.
type attempts []AttemptOutcome

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (list attempts) MarshalZerologArray(a *zerolog.Array) {
	for _, attempt := range list {
		a.Object(attempt)
	}
}

// failed reports whether a caller was not served as it should.
func (o *Outcome) failed() bool {
	return o.Own || o.Cut || o.Status >= 500 || len(o.Attempts) > 1
}

// logSent writes the line of an attempt, before it leaves. Of a request whose
// router dies it is all that tells where it was.
func (f *flight) logSent(choice balance.Choice, left time.Duration) {
	f.handler.options.Log.Info().Str("event", "sent").Str("request", string(f.call.ID)).
		Str("route", f.outcome.Route).Uint64("table", f.outcome.TableVersion).Int("attempt", len(f.outcome.Attempts)+1).
		Str("upstream", string(choice.ID)).Str("why", string(choice.Reason)).Int("load", choice.Load).Float64("mean", choice.Mean).
		Int64("left_ms", left.Milliseconds()).Send()
}

// report writes the request's line.
func (f *flight) report() {
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
	if o.Limit > 0 {
		line.Int("limit", o.Limit).Float64("mean", o.Mean)
	}
	if o.Doubt != "" {
		line.Str("doubt", o.Doubt)
	}
	if o.Cut || o.CallerGone {
		line.Bool("cut", o.Cut).Bool("caller_gone", o.CallerGone)
	}
	if key, any := f.job.PromptKey(); any {
		line.Uint64("prompt", key)
	}
	if f.job.Route != nil && f.job.Route.Stream {
		line.Int("events", o.Events).Float64("first_ms", o.FirstAfter.Seconds()*1000)
	}
	line.Send()
	if aborted != nil {
		panic(aborted)
	}
}

package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/routing"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/transport/exchange"
	"endiveplank/transport/tracing"
)

// verdict says how to go on after an attempt.
type verdict uint8

const (
	// answered: the caller has its answer, or has gone.
	answered verdict = iota + 1
	// notRun: the attempt didn't run; another one does no harm.
	notRun
	// unknown: the attempt may have run.
	unknown
)

// run sends the request until it is answered or no other attempt may follow.
func (f *flight) run() {
	fleet := f.handler.options.Fleet
	f.job.Service = f.service()
	defer f.judgeErred()
	fleet.Arrived(f.job.Service)
	if fleet.Condemned(f.job.Digest) {
		f.refuse(http.StatusServiceUnavailable, "crashes-upstreams", retryCondemned)
		return
	}
	for {
		if f.ended() {
			return
		}
		choice := f.choose()
		if choice.ID == "" {
			f.refuseUnchosen(choice)
			return
		}
		next := f.tryOnce(choice)
		if next == answered || f.ended() {
			return
		}
		if !f.mayGoOn(next, f.outcome.Attempts[len(f.outcome.Attempts)-1]) {
			return
		}
	}
}

// tryOnce makes one attempt. Its end is noted also where it ends the caller's
// connection, which unwinds the whole request.
func (f *flight) tryOnce(choice balance.Choice) verdict {
	outcome := AttemptOutcome{Choice: choice, Result: balance.Abandoned}
	began := time.Now()
	defer func() {
		outcome.Took = time.Since(began)
		f.outcome.Attempts = append(f.outcome.Attempts, outcome)
		f.handler.options.Fleet.Ended(f.job, choice.ID, f.judge(choice, outcome))
	}()
	return f.attempt(choice, &outcome)
}

// judgeErred counts an error that no other upstream was asked about.
func (f *flight) judgeErred() {
	if f.job.Erred != "" {
		f.handler.options.Fleet.Judged(f.job.Erred, balance.Failed)
	}
}

// judge returns the result of an attempt as it is counted for the upstream.
//
// Load: a service that answers one request in seven with an error, whichever
// upstream is asked, and four of five of those again. Harm prevented: an upstream
// that loses answers isn't told apart from the others, as errors that are the
// requests' own are one outcome in ten. So an error counts for nothing until
// another upstream has been asked: the same from both is the request's own.
func (f *flight) judge(choice balance.Choice, outcome AttemptOutcome) balance.Result {
	if outcome.Erred && f.retryPaid {
		f.job.Erred = choice.ID
		return balance.Abandoned
	}
	if f.job.Erred == "" {
		return outcome.counted()
	}
	first := f.job.Erred
	f.job.Erred = ""
	if outcome.Erred {
		f.handler.options.Fleet.Judged(first, balance.Served)
		return balance.Served
	}
	f.handler.options.Fleet.Judged(first, balance.Failed)
	return outcome.counted()
}

// ended answers where the time is up or the caller has gone, and says so.
func (f *flight) ended() bool {
	switch {
	case f.request.Context().Err() != nil:
		f.outcome.CallerGone = true
		f.outcome.Reason = "caller-gone"
		if f.stream.started {
			f.abort("caller-gone")
		}
		return true
	case f.context.Err() != nil:
		f.timeUp()
		return true
	}
	return false
}

// mayGoOn decides whether another attempt follows one that brought no answer,
// and answers the caller if not.
//
// Load: a failed upstream's requests all at once, on all routers. Harm
// prevented: a second run of what may run once, and a storm of retries on the
// upstreams that are left. An attempt that never left costs nothing and is free.
func (f *flight) mayGoOn(last verdict, outcome AttemptOutcome) bool {
	if last == unknown {
		f.mayHaveRun = true
	}
	if !outcome.Sent {
		return f.mayTryElsewhere(outcome)
	}
	f.job.Tried = append(f.job.Tried, outcome.Choice.ID)
	switch {
	case last == unknown && !f.job.Route.MayRepeat():
		f.giveUp("outcome-unknown", 0)
	case len(f.job.Tried) >= max(f.job.Route.MaxAttempts, 1):
		f.giveUp("attempts-spent", retryWhenFull)
	case f.handler.options.Fleet.Condemned(f.job.Digest):
		f.giveUp("crashes-upstreams", retryCondemned)
	case !f.payRetry():
		f.giveUp("retries-spent", retryWhenFull)
	default:
		return true
	}
	return false
}

// payRetry spends a retry, unless the attempt that failed has done so.
func (f *flight) payRetry() bool {
	paid := f.retryPaid
	f.retryPaid = false
	return paid || f.handler.options.Fleet.MayRetry(f.job.Service)
}

// unreachableTries bounds the upstreams that may take no connection before a
// request is refused.
const unreachableTries = 4

// mayTryElsewhere goes on after an attempt that never left.
func (f *flight) mayTryElsewhere(outcome AttemptOutcome) bool {
	unreachable := 0
	for _, a := range f.outcome.Attempts {
		if !a.Sent {
			unreachable++
		}
	}
	if unreachable < unreachableTries {
		return true
	}
	f.giveUp("upstreams-unreachable", retryWithoutUpstream)
	return false
}

// service draws the service of a request by the route's weights. The draw comes
// from the request's name, so that it is the same on every router.
func (f *flight) service() protocol.Service {
	return drawService(f.job.Route.Split, string(f.job.ID))
}

// attempt sends the request to one upstream and brings its answer to the caller.
func (f *flight) attempt(choice balance.Choice, outcome *AttemptOutcome) verdict {
	header := f.request.Header.Clone()
	removeHopByHop(header)
	attempt := dialect.Attempt{Upstream: choice.ID, Left: time.Until(f.deadline), Priority: f.job.Priority, LastEvent: f.stream.lastID, CopyFrom: choice.CopyFrom}
	if f.customer != nil {
		attempt.Customer = f.customer.Name
	}
	f.handler.options.Dialect.WriteAttempt(header, attempt)
	span := f.handler.options.Tracer.StartAttempt(f.span, len(f.outcome.Attempts)+1, choice.ID, header)
	defer func() {
		span.End(tracing.Result{Status: outcome.Status, Reason: outcome.Cause, Failed: outcome.Result != balance.Served})
	}()
	request := exchange.Request{
		ID: f.call.ID, Method: f.request.Method, Target: f.request.RequestURI, Host: f.request.Host,
		Header: header, Body: f.body,
	}
	ctx, cancel := context.WithCancel(f.context)
	defer cancel()
	f.watchOver(choice, cancel)
	defer f.endWatch(outcome)
	f.timing = f.timeOf(choice)
	defer f.timing.ended()
	f.logSent(choice, attempt.Left)
	began := time.Now()
	answer, err := f.handler.options.Pool.Send(ctx, choice.Address, request, f.nameOf)
	if err != nil {
		return f.unanswered(err, choice, outcome)
	}
	defer answer.Close()
	outcome.Sent = true
	outcome.Status = answer.Status
	outcome.FirstAfter = time.Since(began)
	f.progress()
	return f.take(answer, choice, outcome)
}

// endWatch notes whether the answer was overdue, and whether the attempt was ended
// for its silence; then the next one is paid for already.
func (f *flight) endWatch(outcome *AttemptOutcome) {
	fired, late := f.watch.stop()
	outcome.Late = late
	if fired {
		f.retryPaid = true
		outcome.Cause = "silent for too long: " + outcome.Cause
	}
}

// nameOf reads the request's name that an answer repeats.
func (f *flight) nameOf(header http.Header) protocol.RequestID {
	return f.handler.options.Dialect.ReadAnswer(http.StatusOK, header).ID
}

// unanswered notes an attempt that brought no head of an answer.
func (f *flight) unanswered(err error, choice balance.Choice, outcome *AttemptOutcome) verdict {
	var failure *exchange.Failure
	if !errors.As(err, &failure) {
		panic("forward: invariant broken: an exchange fails with a Failure")
	}
	outcome.Sent = failure.Sent
	outcome.Reused = failure.Reused
	outcome.Cause = failure.Error()
	if f.context.Err() != nil {
		outcome.Result = balance.Abandoned
		f.mayHaveRun = f.mayHaveRun || failure.Sent
		return unknown
	}
	if !failure.Sent {
		outcome.Result = balance.Unreachable
		return notRun
	}
	outcome.Result = balance.Failed
	if !f.watch.isLate() {
		// An upstream that says nothing for a while hasn't crashed.
		f.handler.options.Fleet.Crashed(f.job.Digest, choice.ID)
	}
	return unknown
}

// take judges the head of an answer and passes the rest on.
func (f *flight) take(answer *exchange.Answer, choice balance.Choice, outcome *AttemptOutcome) verdict {
	said := f.handler.options.Dialect.ReadAnswer(answer.Status, answer.Header)
	switch {
	case said.NotRun || said.Misdirected:
		drain(answer)
		outcome.Result = balance.Refused
		if !said.Misdirected {
			f.timing.full()
		}
		return notRun
	case answer.Status < http.StatusMultipleChoices && !said.Signed:
		outcome.Result = balance.Failed
		outcome.Cause = "success without a signature"
		return unknown
	}
	if answer.Status < http.StatusMultipleChoices {
		f.handler.options.Fleet.Began(f.job, choice, outcome.FirstAfter)
	}
	switch {
	case f.job.Route.Stream && answer.Status < http.StatusMultipleChoices && isEventStream(answer.Header):
		return f.passStream(answer, choice, outcome)
	case f.stream.started:
		outcome.Result = balance.Failed
		outcome.Cause = "the upstream didn't resume the stream"
		return unknown
	}
	return f.passPlain(answer, choice, outcome)
}

// isPromise reports whether a status promises that the request didn't run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// drawService draws one share by weight.
func drawService(split []routing.Share, name string) protocol.Service {
	if len(split) == 1 {
		return split[0].Service
	}
	sum := 0
	for _, share := range split {
		sum += share.Weight
	}
	point := int(hashOf(name) % uint64(max(sum, 1)))
	for _, share := range split {
		point -= share.Weight
		if point < 0 {
			return share.Service
		}
	}
	return split[len(split)-1].Service
}

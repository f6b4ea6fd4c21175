package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/builds"
	"endiveplank/coordination/crashes"
	"endiveplank/coordination/routing"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/transport/bounded"
	"endiveplank/transport/exchange"
	"endiveplank/transport/limited"
	"endiveplank/transport/peerproxy"
	"endiveplank/transport/tracing"
)

// run makes attempts until the request is answered or no other attempt may follow.
func (f *forwarding) run() {
	fleet := f.handler.options.Fleet
	f.job.Service = f.chooseService()
	defer f.reportOpenError()
	fleet.RequestArrived(f.job.Service)
	if !f.findOrigin() {
		return
	}
	if left := fleet.QuarantinedFor(f.job); left > 0 {
		f.refuse(http.StatusServiceUnavailable, "crashes-upstreams", left)
		return
	}
	for {
		if f.isOver() {
			return
		}
		f.job.Attempts = len(f.outcome.Attempts)
		choice := f.choose()
		if choice.ID == "" {
			f.refuseNoUpstream(choice)
			return
		}
		if f.tryUpstream(choice) || f.isOver() {
			return
		}
		if !f.mayRetry(f.outcome.Attempts[len(f.outcome.Attempts)-1]) {
			return
		}
	}
}

// tryUpstream makes one attempt and returns whether the caller has its answer. The deferred
// function records its end also when the attempt ends the caller's connection by a panic,
// which unwinds the whole request.
func (f *forwarding) tryUpstream(choice balance.Choice) bool {
	outcome := AttemptOutcome{Choice: choice, Result: balance.Abandoned, Sent: true}
	began := time.Now()
	defer func() {
		outcome.Took = time.Since(began)
		f.outcome.Attempts = append(f.outcome.Attempts, outcome)
		f.handler.options.Fleet.AttemptEnded(f.job, choice, f.resultToReport(choice, outcome))
	}()
	return f.attempt(choice, &outcome)
}

// reportOpenError reports an upstream's error as the upstream's failure if no other
// attempt has followed it.
func (f *forwarding) reportOpenError() {
	if f.job.ErrorFrom != "" {
		f.handler.options.Fleet.DeferredResult(f.job.ErrorFrom, balance.Failed)
	}
}

// resultToReport returns the result of an attempt that is reported for the upstream.
//
// It guards against this failure: a service answers one request in seven with an error,
// on whichever upstream, and four of five of those requests get an error again when they
// are retried on another upstream. So errors that the request causes are about one
// outcome in ten. If they counted against the upstreams, outlier detection couldn't tell
// an upstream that loses answers from the others. An error that is followed by a retry is
// therefore reported only once another upstream has been tried: if both answer with an
// error, the request is the cause.
func (f *forwarding) resultToReport(choice balance.Choice, outcome AttemptOutcome) balance.Result {
	if outcome.ServerError && f.retryTaken {
		f.job.ErrorFrom = choice.ID
		return balance.Abandoned
	}
	if f.job.ErrorFrom == "" {
		return outcome.reportedResult()
	}
	first := f.job.ErrorFrom
	f.job.ErrorFrom = ""
	if outcome.ServerError {
		f.handler.options.Fleet.DeferredResult(first, balance.Served)
		return balance.Served
	}
	f.handler.options.Fleet.DeferredResult(first, balance.Failed)
	return outcome.reportedResult()
}

// isOver reports whether the caller has disconnected, the deadline has passed, or the router's planned
// end has come. It answers the caller in the last two cases.
func (f *forwarding) isOver() bool {
	switch {
	case f.request.Context().Err() != nil:
		f.outcome.CallerGone = true
		f.outcome.Reason = "caller-gone"
		if f.stream.started {
			f.abort("caller-gone")
		}
		return true
	case f.context.Err() != nil && f.hasEnded():
		f.answerEnd()
		return true
	case f.context.Err() != nil:
		f.answerTimeout()
		return true
	}
	return false
}

// mayRetry decides whether another attempt follows one that brought no answer. If
// not, it answers the caller.
//
// It guards against this failure: an upstream fails, and all its requests on all routers
// fail at once. Without these limits, a request that may run only once could run twice,
// and a storm of retries could overload the remaining upstreams. An attempt that was
// never sent put no load on an upstream, so it takes nothing from the retry budget.
func (f *forwarding) mayRetry(outcome AttemptOutcome) bool {
	if !outcome.Sent {
		return f.mayRetryUnsent(outcome)
	}
	f.job.Tried = append(f.job.Tried, outcome.Choice.ID)
	if outcome.Result == balance.Failed {
		f.job.Errored = append(f.job.Errored, outcome.Choice.ID)
	}
	quarantined := f.handler.options.Fleet.QuarantinedFor(f.job)
	switch {
	case outcome.mayHaveRun() && !f.job.Route.MayRepeat():
		f.giveUp("outcome-unknown", 0)
	case len(f.job.Tried) >= max(f.job.Route.MaxAttempts, 1):
		f.giveUpAfter(outcome, "attempts-spent")
	case quarantined > 0:
		f.giveUp("crashes-upstreams", quarantined)
	case !f.takeRetry():
		f.giveUpAfter(outcome, "retries-spent")
	default:
		return true
	}
	return false
}

// takeRetry takes a retry from the budget, unless the failed attempt has already done
// so.
func (f *forwarding) takeRetry() bool {
	taken := f.retryTaken
	f.retryTaken = false
	return taken || f.handler.options.Fleet.TakeRetry(f.job)
}

// maxUnreachable is how many attempts of a request may fail to connect before the
// request is refused.
const maxUnreachable = 4

// mayRetryUnsent decides whether another attempt follows one that was never sent.
func (f *forwarding) mayRetryUnsent(outcome AttemptOutcome) bool {
	if outcome.Choice.Proxy != "" {
		f.job.TriedProxies = append(f.job.TriedProxies, outcome.Choice.Proxy)
	}
	if direct, proxied := f.unsentAttempts(); direct < maxUnreachable && proxied < maxProxies {
		return true
	}
	f.giveUp("upstreams-unreachable", retryAfterNoUpstream)
	return false
}

// chooseService chooses the service of a request by the weights of the route's split.
// The choice depends on the request's ID alone, so that every router makes the same
// choice.
func (f *forwarding) chooseService() protocol.Service {
	return drawService(f.job.Route.Split, string(f.job.ID))
}

// findOrigin finds where the stream began that the caller takes up again, if it does. If that
// can't be known, it refuses the request.
//
// Two versions of an upstream's software may serve side by side, what they write doesn't fit
// together, and upstreams don't check it. So not knowing where a stream began permits nothing.
func (f *forwarding) findOrigin() bool {
	if !f.job.Route.Stream || f.call.LastEventID == "" {
		return true
	}
	began, known := f.handler.options.Fleet.StreamOrigin(f.context, f.job, f.call.Resumes)
	if !known {
		f.giveUp("origin-unknown", retryAfterNoUpstream)
		return false
	}
	f.job.Began, f.job.TakenUp = &began, true
	if slices.ContainsFunc(f.job.Route.Split, func(s routing.Share) bool { return s.Service == began.Service }) {
		f.job.Service = began.Service
	}
	return true
}

// noteBegan records that the stream begins at an upstream, unless it has begun.
func (f *forwarding) noteBegan(choice balance.Choice) {
	if f.job.Began != nil {
		return
	}
	f.job.Began = &builds.Pair{Service: f.job.Service, Build: choice.Build}
	f.handler.options.Fleet.StreamBegan(f.job, choice)
}

// attempt sends the request to one upstream and relays its answer to the caller. It returns
// whether the caller has its answer.
func (f *forwarding) attempt(choice balance.Choice, outcome *AttemptOutcome) bool {
	header := f.request.Header.Clone()
	exchange.RemoveHopByHop(header)
	attempt := dialect.Attempt{Upstream: choice.ID, Remaining: f.remaining(), Priority: f.job.Priority, LastEventID: f.stream.lastID, CopyFrom: choice.CopyFrom}
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
		MaySend: func() bool { return f.handler.options.Fleet.MaySend(choice) },
	}
	ctx, cancel := context.WithCancel(f.context)
	defer cancel()
	f.startWatchdog(choice, cancel)
	defer f.stopWatchdog(outcome)
	f.timing = f.startTiming(choice)
	defer func() { f.timing.ended(outcome.Sent) }()
	f.logSent(choice, attempt.Remaining)
	f.answeringSince = time.Time{}
	began := time.Now()
	answer, err := f.send(ctx, choice, request)
	if err != nil {
		f.handleFailure(err, choice, outcome)
		return false
	}
	defer answer.Close()
	if refusal := peerproxy.ReadRefusal(answer.Header); choice.Proxy != "" && refusal != "" {
		f.handleRefusal(refusal, choice, outcome)
		return false
	}
	f.noteReached(choice, answer)
	outcome.Reused = answer.Reused
	outcome.Status = answer.Status
	outcome.FirstAfter = time.Since(began)
	f.progress()
	return f.handleAnswer(answer, choice, outcome)
}

// remaining returns the time left until the caller's deadline.
func (f *forwarding) remaining() time.Duration { return time.Until(f.deadline) }

// noteReached records by which way the upstream's answer came.
func (f *forwarding) noteReached(choice balance.Choice, answer *exchange.Answer) {
	if choice.Proxy == "" {
		f.handler.options.Fleet.UpstreamReached(choice, !answer.Reused)
		return
	}
	f.handler.options.Fleet.ProxyEnded(choice.Proxy, true)
}

// stopWatchdog stops the watchdog and records whether the answer was overdue and
// whether the watchdog cancelled the attempt. If it did, it has already taken the retry
// for the next attempt from the budget.
func (f *forwarding) stopWatchdog(outcome *AttemptOutcome) {
	cancelled, late := f.watchdog.stop()
	outcome.Late = late
	if cancelled {
		f.retryTaken = true
		outcome.Cause = "silent for too long: " + outcome.Cause
	}
}

// answeredID returns the request ID that an answer repeats.
func (f *forwarding) answeredID(header http.Header) protocol.RequestID {
	return f.handler.options.Dialect.ReadAnswer(http.StatusOK, header).ID
}

// handleFailure records an attempt that failed before the head of an answer came.
func (f *forwarding) handleFailure(err error, choice balance.Choice, outcome *AttemptOutcome) {
	var failure *exchange.Failure
	if !errors.As(err, &failure) {
		panic("forward: invariant broken: an exchange fails with a Failure")
	}
	outcome.Sent = failure.Sent
	outcome.Reused = failure.Reused
	outcome.Cause = failure.Error()
	switch {
	case f.context.Err() != nil || errors.Is(err, exchange.ErrNotSent) || errors.Is(err, limited.ErrNoRoom):
		outcome.Result = balance.Abandoned
	case choice.Proxy != "":
		outcome.Result = balance.Abandoned
		f.handler.options.Fleet.ProxyEnded(choice.Proxy, false)
	case !failure.Sent:
		outcome.Result = balance.NoPath
	case errors.Is(err, bounded.ErrTooLong):
		outcome.Result = balance.Failed
	default:
		outcome.Result = balance.Broken
		if !f.watchdog.isLate() {
			// An upstream whose answer was only overdue hasn't crashed.
			f.handler.options.Fleet.UpstreamCrashed(f.brokenBy(choice))
		}
	}
}

// brokenBy describes the request to the fleet, after an upstream has broken it off.
func (f *forwarding) brokenBy(choice balance.Choice) crashes.Broken {
	broken := crashes.Broken{Digest: f.job.Digest, Upstream: choice.ID, StartedAt: choice.StartedAt}
	if f.answeringSince.IsZero() || time.Since(f.answeringSince) < crashes.JustBegun {
		broken.Parts = f.job.Prompt.SharedParts()
	}
	return broken
}

// handleAnswer decides by the head of an answer whether it counts, and relays it to
// the caller if so. It returns whether the caller has its answer.
func (f *forwarding) handleAnswer(answer *exchange.Answer, choice balance.Choice, outcome *AttemptOutcome) bool {
	head := f.handler.options.Dialect.ReadAnswer(answer.Status, answer.Header)
	outcome.RetryAfter = head.RetryAfter
	if !head.Misdirected {
		f.handler.options.Fleet.AnswerHead(f.job, choice, head, outcome.FirstAfter)
	}
	switch {
	case head.NotRun || head.Misdirected:
		outcome.AttestedNotRun = true
		drain(answer)
		outcome.Result = balance.Refused
		if !head.Misdirected {
			outcome.Rejected = true
			f.timing.refused()
		}
		return false
	case answer.Status < http.StatusMultipleChoices && !head.Signed:
		outcome.Result = balance.Failed
		outcome.Cause = fmt.Sprintf("status %d without the upstream's signature", answer.Status)
		return false
	}
	if answer.Status < http.StatusMultipleChoices {
		f.handler.options.Fleet.AnswerBegan(f.job, choice, outcome.FirstAfter)
	}
	switch {
	case f.job.Route.Stream && answer.Status < http.StatusMultipleChoices && answer.IsEventStream():
		return f.relayStream(answer, choice, outcome)
	case f.stream.started:
		outcome.Result = balance.Failed
		outcome.Cause = fmt.Sprintf("status %d instead of the rest of the stream", answer.Status)
		return false
	}
	return f.relayPlain(answer, choice, outcome)
}

// promisesNotRun reports whether callers take a status as a promise that the request
// didn't run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// drawService chooses one share of a split by weight, at the point that the hash of
// the name gives.
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

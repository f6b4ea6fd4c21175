package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/balance"
	"endiveplank/transport/limited"
)

// Retry-After values by the cause of the refusal.
const (
	// retryAfterNoTable: a router that still has no table after its wait started
	// together with the disk VMs, which elect a leader within a second. Most callers
	// retry only once, so the wait must cover the election.
	retryAfterNoTable = time.Second
	// retryAfterFull is the time that a plain service takes for a few requests.
	retryAfterFull = 250 * time.Millisecond
	// retryAfterNoUpstream: upstreams announce themselves about once a second, and
	// the router tries an unreachable one again sooner than that.
	retryAfterNoUpstream = time.Second
)

// reasonStopping: the router is about to end, as planned.
const reasonStopping = "stopping"

// refusalBody is the body of the answers that this router makes itself.
type refusalBody struct {
	Error  string `json:"error"`
	Reason string `json:"reason"`
	// Reserved says whether capacity is reserved for the request at the time that Retry-After gives.
	// It is nil if the service has no rate limit.
	Reserved *bool `json:"reserved,omitempty"`
}

// refuse answers the caller without an upstream's answer. after becomes the
// Retry-After header; 0 sends none.
func (f *forwarding) refuse(status int, reason string, after time.Duration) {
	f.outcome.Status = status
	f.outcome.Reason = reason
	f.outcome.LocalReply = true
	header := f.writer.Header()
	header.Set("Content-Type", "application/json")
	if after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	refusal := refusalBody{Error: http.StatusText(status), Reason: reason}
	if f.outcome.Offer != nil {
		refusal.Reserved = &f.outcome.Offer.Reserved
	}
	body, err := json.Marshal(refusal)
	if err != nil {
		panic("forward: invariant broken: a refusal always encodes: " + err.Error())
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	f.writer.WriteHeader(status)
	if _, err := f.writer.Write(body); err != nil {
		f.outcome.CallerGone = true
	}
}

// giveUp ends a request that no upstream has answered. It promises that the request
// didn't run (503) only if that is certain; else it answers 502. If a stream has
// started, it ends the caller's connection.
func (f *forwarding) giveUp(reason string, after time.Duration) {
	switch {
	case f.stream.started:
		f.abort(reason)
	case f.outcome.mayHaveRun():
		f.refuse(http.StatusBadGateway, reason, 0)
	default:
		f.refuse(http.StatusServiceUnavailable, reason, after)
	}
}

// giveUpForCapacity is giveUp for a request that finds no capacity. While its service has a rate
// limit in force, the caller gets the time at which there is capacity for it, instead of after.
func (f *forwarding) giveUpForCapacity(reason string, after time.Duration) {
	if f.stream.started || f.outcome.mayHaveRun() {
		f.giveUp(reason, after)
		return
	}
	limited.CloseUnread(f.request.Context())
	f.job.Remaining = f.remaining()
	if offer, limited := f.handler.options.Fleet.ScheduleRetry(f.job); limited {
		f.outcome.Offer = &offer
		after = offer.After
	}
	f.giveUp(reason, after)
}

// giveUpAfter gives up after an attempt that brought no answer.
func (f *forwarding) giveUpAfter(last AttemptOutcome, reason string) {
	if last.Rejected {
		f.giveUpForCapacity(reason, retryAfterFull)
		return
	}
	f.giveUp(reason, retryAfterFull)
}

// refuseNoUpstream answers a request for which Choose found no upstream.
//
// It guards against this failure: for ten seconds, callers send twice the work that the
// engines can do. Without a Retry-After, refused callers retry at once and are refused
// again, or retry so late that they can't be answered in time. A request that is retried
// after half of the route's objective, and finds capacity then, is still answered in
// time.
func (f *forwarding) refuseNoUpstream(choice balance.Choice) {
	if choice.Reason == balance.ReasonNoCapacity {
		f.outcome.Limit, f.outcome.Mean, f.outcome.RateLimited = choice.Limit, choice.Mean, choice.RateLimited
		f.job.Unreserved = choice.RateLimited != nil && choice.RateLimited.Cause == balance.CauseOutlier
		f.giveUpForCapacity(string(balance.ReasonNoCapacity), f.job.Route.Objective/2)
		return
	}
	if choice.Reason == balance.ReasonCold {
		f.giveUp(string(balance.ReasonCold), f.job.Route.Objective/2)
		return
	}
	if choice.Reason == balance.ReasonPaused {
		f.giveUp(string(balance.ReasonPaused), choice.PausedFor)
		return
	}
	reason := balance.ReasonNoUpstream
	if choice.Reason == balance.ReasonEvacuated || choice.Reason == balance.ReasonOtherBuild {
		reason = choice.Reason
	}
	f.giveUp(string(reason), retryAfterNoUpstream)
}

// answerTimeout answers a request whose deadline has passed.
func (f *forwarding) answerTimeout() {
	switch {
	case f.stream.started:
		f.abort("time-up")
	case f.outcome.mayHaveRun():
		f.refuse(http.StatusGatewayTimeout, "time-up", 0)
	default:
		f.refuse(http.StatusServiceUnavailable, "time-up", retryAfterFull)
	}
}

// abort ends the caller's connection in the middle of an answer, so that the caller
// can't take the answer for complete. It panics, which unwinds the whole request.
func (f *forwarding) abort(reason string) {
	f.outcome.Reason = reason
	f.outcome.Aborted = true
	f.noteCut()
	panic(http.ErrAbortHandler)
}

// digest hashes the method, the target, the customer's key and the body, so that a
// request that is sent again is recognized. The request ID is left out: a caller that
// sends a request again gives it a new one.
func (f *forwarding) digest() uint64 {
	d := xxhash.New()
	// Writes to a hash never fail.
	_, _ = d.WriteString(f.request.Method + " " + f.request.RequestURI + "\n" + f.call.Key + "\n")
	_, _ = d.Write(f.body)
	return d.Sum64()
}

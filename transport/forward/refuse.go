package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/balance"
)

// When to come back after a refusal.
const (
	// retryWithoutTable: a router that has no table after it has waited for one
	// started together with the disk VMs, which have a leader within a second.
	// Most callers come back once only, so it has to be long enough.
	retryWithoutTable = time.Second
	// retryWhenFull: some requests' time on a plain service.
	retryWhenFull = 250 * time.Millisecond
	// retryWithoutUpstream: upstreams announce themselves about once a second,
	// and one that was out of reach is tried again after less.
	retryWithoutUpstream = time.Second
	// retryCondemned: as long as a request that crashes upstreams is refused.
	retryCondemned = 30 * time.Second
)

// refusal is the body of this router's own answers.
type refusal struct {
	Error  string `json:"error"`
	Reason string `json:"reason"`
}

// refuse answers the caller without an upstream's answer. after is when to come
// back; 0 says nothing of it.
func (f *flight) refuse(status int, reason string, after time.Duration) {
	f.outcome.Status = status
	f.outcome.Reason = reason
	f.outcome.Own = true
	header := f.writer.Header()
	header.Set("Content-Type", "application/json")
	if after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	body, err := json.Marshal(refusal{Error: http.StatusText(status), Reason: reason})
	if err != nil {
		panic("forward: invariant broken: a refusal always encodes: " + err.Error())
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	f.writer.WriteHeader(status)
	if _, err := f.writer.Write(body); err != nil {
		f.outcome.CallerGone = true
	}
}

// giveUp answers a request that no upstream has answered. A promise that it
// didn't run is made only if that is certain.
func (f *flight) giveUp(reason string, after time.Duration) {
	switch {
	case f.stream.started:
		f.abort(reason)
	case f.mayHaveRun:
		f.refuse(http.StatusBadGateway, reason, 0)
	default:
		f.refuse(http.StatusServiceUnavailable, reason, after)
	}
}

// refuseUnchosen answers a request for which there is no upstream.
//
// Load: for ten seconds twice the work that the engines can do. Harm prevented:
// callers who are refused for it come back at once, and are refused again, or so late
// that they can't be answered in time. After half of the objective a request that
// finds room then is still in time.
func (f *flight) refuseUnchosen(choice balance.Choice) {
	if choice.Reason == balance.ReasonNoCapacity {
		f.outcome.Limit, f.outcome.Mean = choice.Limit, choice.Mean
		f.giveUp(string(balance.ReasonNoCapacity), f.job.Route.Objective/2)
		return
	}
	f.giveUp(string(balance.ReasonNoUpstream), retryWithoutUpstream)
}

// timeUp answers a request whose time has run out.
func (f *flight) timeUp() {
	switch {
	case f.stream.started:
		f.abort("time-up")
	case f.mayHaveRun:
		f.refuse(http.StatusGatewayTimeout, "time-up", 0)
	default:
		f.refuse(http.StatusServiceUnavailable, "time-up", retryWhenFull)
	}
}

// abort ends the caller's connection in the middle of an answer, so that it
// can't be taken for complete.
func (f *flight) abort(reason string) {
	f.outcome.Reason = reason
	f.outcome.Cut = true
	panic(http.ErrAbortHandler)
}

// digest tells requests of the same content, from the same customer, apart from
// others. A caller that sends one again gives it another name.
func (f *flight) digest() uint64 {
	d := xxhash.New()
	// A hash takes every write.
	_, _ = d.WriteString(f.request.Method + " " + f.request.RequestURI + "\n" + f.call.Key + "\n")
	_, _ = d.Write(f.body)
	return d.Sum64()
}

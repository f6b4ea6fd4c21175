package peerproxy

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/protocol"
)

// The headers of requests to a proxy and of its answers. Neither reaches upstreams or callers.
const (
	headerTarget  = "X-Endiveplank-Target"
	headerRefusal = "X-Endiveplank-Refusal"
)

// Target says where a request goes.
type Target struct {
	Upstream protocol.UpstreamID
	// StartedAt is the upstream's incarnation, as in its roster entry.
	StartedAt int64
	// Digest stands for the request's content, to recognise one that crashes upstreams.
	Digest uint64
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// From is the router that has the caller.
	From protocol.RouterID
}

// Write sets the target in the headers of a request.
func (t Target) Write(header http.Header) {
	header.Set(headerTarget, url.Values{
		"upstream": {string(t.Upstream)},
		"born":     {strconv.FormatInt(t.StartedAt, 10)},
		"digest":   {strconv.FormatUint(t.Digest, 16)},
		"left_ms":  {strconv.FormatInt(t.Remaining.Milliseconds(), 10)},
		"from":     {string(t.From)},
	}.Encode())
}

// errNoTarget means that a request names no target that can be read.
var errNoTarget = eris.New("peerproxy: the request has no target that can be read")

// takeTarget reads the target and removes it from the headers.
func takeTarget(header http.Header) (Target, error) {
	fields, err := url.ParseQuery(header.Get(headerTarget))
	header.Del(headerTarget)
	if err != nil || fields.Get("upstream") == "" {
		return Target{}, errNoTarget
	}
	born, bornErr := strconv.ParseInt(fields.Get("born"), 10, 64)
	digest, digestErr := strconv.ParseUint(fields.Get("digest"), 16, 64)
	left, leftErr := strconv.ParseInt(fields.Get("left_ms"), 10, 64)
	if bornErr != nil || digestErr != nil || leftErr != nil {
		return Target{}, errNoTarget
	}
	return Target{
		Upstream: protocol.UpstreamID(fields.Get("upstream")), StartedAt: born, Digest: digest,
		Remaining: time.Duration(left) * time.Millisecond, From: protocol.RouterID(fields.Get("from")),
	}, nil
}

// Refusal says why a proxy has no answer of the upstream.
type Refusal string

// The refusals. Nothing was sent, but for Lost.
const (
	// RefusalIsolated: the proxy has no path to upstreams either.
	RefusalIsolated Refusal = "isolated"
	// RefusalFull: the proxy has as many requests of other routers as it takes.
	RefusalFull Refusal = "full"
	// RefusalStopping: the proxy is about to stop.
	RefusalStopping Refusal = "stopping"
	// RefusalInvalid: the request has no target that can be read, or its body is too large.
	RefusalInvalid Refusal = "invalid"
	// RefusalUnwanted: the upstream must get no request from the proxy now, or the proxy
	// doesn't know it.
	RefusalUnwanted Refusal = "unwanted"
	// RefusalUnreachable: the proxy could open no connection to the upstream.
	RefusalUnreachable Refusal = "unreachable"
	// RefusalLost: the upstream's connection broke before it answered. The request may have run.
	RefusalLost Refusal = "lost"
)

// ReadRefusal returns the refusal in a proxy's answer, "" if the answer is the upstream's.
func ReadRefusal(header http.Header) Refusal { return Refusal(header.Get(headerRefusal)) }

// OfProxy reports whether a refusal says something about the proxy and not the upstream.
func (r Refusal) OfProxy() bool {
	return r == RefusalIsolated || r == RefusalFull || r == RefusalStopping || r == RefusalInvalid
}

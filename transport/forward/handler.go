package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/builds"
	"endiveplank/coordination/crashes"
	"endiveplank/coordination/routing"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/transport/exchange"
	"endiveplank/transport/limited"
	"endiveplank/transport/tracing"
)

// Fleet is the part of the router that knows the table and the upstreams, and
// decides about them. Its methods are called concurrently.
type Fleet interface {
	// Table returns the table in force, nil if none is known.
	Table() *routing.Index
	// WarmingUp reports whether the router has just started and still lacks the
	// table or most of the upstreams, which may arrive at any moment.
	WarmingUp() bool
	// Choose picks the upstream for an attempt. If there is one, the attempt
	// counts as in flight until AttemptEnded.
	Choose(ctx context.Context, job Job) balance.Choice
	// StreamOrigin returns at which build of which service a stream began that its caller
	// takes up again: the one that began with the caller's attempt resumes, "" if the caller
	// didn't name it. False means that this can't be known now.
	StreamOrigin(ctx context.Context, job Job, resumes protocol.RequestID) (builds.Pair, bool)
	// StreamBegan records that a stream begins with an answer of the chosen upstream.
	StreamBegan(job Job, choice balance.Choice)
	// ScheduleRetry returns when the caller of a request that is refused for lack of capacity
	// may send it again. False means that the service has no rate limit in force, so that no
	// times are given to its callers. The request must not have run.
	ScheduleRetry(job Job) (RetryOffer, bool)
	// AttemptEnded records the result of an attempt that is no longer in flight.
	AttemptEnded(job Job, choice balance.Choice, result balance.Result)
	// UpstreamReached records that an upstream answered over this router's own connection,
	// and whether that was opened for the attempt.
	UpstreamReached(choice balance.Choice, opened bool)
	// ProxyEnded records whether a router could send a request for this one.
	ProxyEnded(proxy protocol.RouterID, carried bool)
	// DeferredResult records the result of an attempt that ended as Abandoned
	// because its result wasn't known yet.
	DeferredResult(upstream protocol.UpstreamID, result balance.Result)
	// OverdueAfter returns the silence after which the answer to an attempt is
	// overdue, at most maxSilence.
	OverdueAfter(job Job, choice balance.Choice, maxSilence time.Duration) time.Duration
	// AnswerOverdue records that an attempt's answer hasn't begun after a silence
	// of this length.
	AnswerOverdue(job Job, choice balance.Choice, after time.Duration)
	// AnswerBegan records how long an attempt's answer took to begin.
	AnswerBegan(job Job, choice balance.Choice, took time.Duration)
	// AnswerTimed records whether an attempt's answer began in time. It is called
	// with false as soon as the answer is known to be late.
	AnswerTimed(job Job, choice balance.Choice, inTime bool)
	// AnswerHead records what the head of an answer, which took so long to begin, says about the
	// upstream that was chosen.
	AnswerHead(job Job, choice balance.Choice, head dialect.Answer, took time.Duration)
	// MaySend reports whether an attempt may still be sent to its upstream.
	MaySend(choice balance.Choice) bool
	// RequestArrived counts a request for a service, which adds to the service's
	// retry budget.
	RequestArrived(service protocol.Service)
	// TakeRetry takes a retry of a request from the retry budget of its service. False means
	// that the budget is spent.
	TakeRetry(job Job) bool
	// QuarantinedFor returns for how much longer a request must not be sent to any
	// upstream because its content, or a part of its prompt, has crashed several, 0 if it
	// may be sent.
	QuarantinedFor(job Job) time.Duration
	// UpstreamCrashed records that an upstream broke the connection off while it
	// had a request.
	UpstreamCrashed(broken crashes.Broken)
	// AnswerCompleted records that an upstream has answered a request completely.
	AnswerCompleted(job Job)
}

// Job describes a request to the Fleet.
type Job struct {
	ID       protocol.RequestID
	Route    *routing.Route
	Service  protocol.Service
	Priority int
	// Customer is the customer that the key belongs to, "" if the route is public
	// and the request has no known key.
	Customer protocol.CustomerID
	Prompt   *dialect.Prompt
	// Attempts is the number of attempts before this one, whether or not they were
	// sent.
	Attempts int
	// Tried holds the upstreams that the request was sent to.
	Tried []protocol.UpstreamID
	// TriedProxies holds the routers that couldn't send it for this one.
	TriedProxies []protocol.RouterID
	// Errored holds those of them that answered with an error.
	Errored []protocol.UpstreamID
	// ErrorFrom is the last of them if it answered with an error and it isn't known
	// yet whether the request or the upstream causes the error; else "".
	ErrorFrom protocol.UpstreamID
	// Began is the build at which the request's stream began, nil if it hasn't begun. The
	// stream goes on there alone. TakenUp says that it began with an earlier request of the
	// caller.
	Began   *builds.Pair
	TakenUp bool
	// Digest is the same for requests of the same content, and HasBody says that this includes a
	// body.
	Digest  uint64
	HasBody bool
	// Unreserved says that no capacity may be reserved for the request.
	Unreserved bool
	// Remaining is the time until the caller's deadline or the route's timeout, the earlier one.
	Remaining time.Duration
}

// RetryOffer is when a refused caller may send its request again.
type RetryOffer struct {
	After time.Duration
	// Reserved says that capacity is reserved for the request at that time.
	Reserved bool
}

// LastAttempt reports whether the next attempt is the last one that the request
// can have, so that its failure fails the request.
func (j *Job) LastAttempt() bool {
	return j.Route == nil || !j.Route.MayRepeat() || !j.attemptsLeft()
}

// attemptsLeft reports whether the route's maximum of attempts allows another one
// after the next.
func (j *Job) attemptsLeft() bool {
	return len(j.Tried)+1 < max(j.Route.MaxAttempts, 1)
}

// ShorterPrefixKeys returns the keys of all prefixes of the prompt that are shorter
// than the one that SharedPrefixKey returns, the longest first.
func (j *Job) ShorterPrefixKeys() []uint64 {
	if _, any := j.SharedPrefixKey(); !any {
		return nil
	}
	var keys []uint64
	for at := len(j.Prompt.Parts) - 3; at >= 0; at-- {
		keys = append(keys, j.Prompt.Parts[at].Key)
	}
	return keys
}

// SharedPrefixKey returns the key of the longest prefix that the prompt can share
// with other prompts: all parts but the last, which is unique to the request or its
// session. False means that no upstream's prefix cache can help: the route isn't
// sticky or the request declares no prompt parts.
func (j *Job) SharedPrefixKey() (uint64, bool) {
	if j.Route == nil || !j.Route.Sticky || j.Prompt == nil || len(j.Prompt.Parts) == 0 {
		return 0, false
	}
	parts := j.Prompt.Parts
	return parts[max(len(parts)-2, 0)].Key, true
}

// SharedPrefixTokens returns the length in tokens of the prefix that SharedPrefixKey returns, 0 if
// it isn't declared.
func (j *Job) SharedPrefixTokens() int {
	if _, any := j.SharedPrefixKey(); !any {
		return 0
	}
	tokens := 0
	for _, part := range j.Prompt.Parts[:max(len(j.Prompt.Parts)-1, 1)] {
		tokens += part.Tokens
	}
	return tokens
}

// Limits that apply where the table or the caller sets none, and the limit on the
// memory that bodies take.
const (
	// defaultMaxBodyBytes is the largest accepted body if the table sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// defaultTimeout applies to routes and callers that set no timeout.
	defaultTimeout = 30 * time.Second
)

// Options configures a Handler.
type Options struct {
	Fleet   Fleet
	Dialect dialect.Dialect
	// Pool has the connections to upstreams, and ProxyPool those to other routers that send
	// requests to upstreams for this one, Self.
	Pool      *exchange.Pool
	ProxyPool *exchange.Pool
	Self      protocol.RouterID
	Log       zerolog.Logger
	// Observe is called with the outcome of each request.
	Observe func(Outcome)
	// Tracer makes a span for each request and each attempt; nil disables tracing.
	Tracer *tracing.Tracer
}

// Handler is the http.Handler for callers.
type Handler struct {
	options Options
	active  atomic.Int64
	// endAt is when a planned stop ends, nil while none is in its last part. ended ends then, by end, and
	// unfinished counts the requests that this ended.
	endAt      atomic.Pointer[time.Time]
	ended      context.Context
	end        context.CancelFunc
	unfinished atomic.Int64
}

// New returns a handler.
func New(options Options) *Handler {
	h := &Handler{options: options}
	h.ended, h.end = context.WithCancel(context.Background())
	return h
}

// Active returns the number of requests in flight.
func (h *Handler) Active() int { return int(h.active.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	f := &forwarding{handler: h, writer: w, request: r, arrived: time.Now()}
	f.controller = http.NewResponseController(w)
	defer f.report()
	if !f.admit() || f.refuseIfLate() {
		return
	}
	deadline := f.arrived.Add(f.timeout)
	f.limitWriting(deadline)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	defer context.AfterFunc(h.ended, cancel)()
	f.context = ctx
	f.deadline = deadline
	f.run()
}

// writeGrace is how long after a request's deadline its caller may take to read the answer.
// An answer that is ready is delivered, also late.
const writeGrace = 3 * time.Second

// limitWriting makes writes to the caller fail some time after the deadline. A caller that
// reads nothing would otherwise hold the request's memory, and its place in the upstream's
// load, for as long as its connection lasts.
func (f *forwarding) limitWriting(deadline time.Time) {
	// It fails only if the connection has ended, or for a writer without deadlines.
	_ = f.controller.SetWriteDeadline(deadline.Add(writeGrace))
}

// forwarding is the state of one request while the Handler serves it.
type forwarding struct {
	handler    *Handler
	writer     http.ResponseWriter
	controller *http.ResponseController
	request    *http.Request
	arrived    time.Time

	call     dialect.Call
	job      Job
	customer *routing.Customer
	body     []byte
	timeout  time.Duration
	deadline time.Time
	context  context.Context

	// retryTaken means that the retry for the next attempt has already been taken
	// from the retry budget.
	retryTaken bool
	watchdog   *watchdog
	timing     timing
	// answeringSince is when the first event of the attempt came, zero if none has.
	answeringSince time.Time
	stream         streamState
	span           tracing.Span
	outcome        Outcome
}

// admit reads the request and finds its route and customer. If the request can't be
// forwarded, it answers the caller and returns false.
func (f *forwarding) admit() bool {
	call, err := f.handler.options.Dialect.ReadCall(f.request.Header)
	if err != nil {
		// The request is served all the same: what the dialect reads from the
		// headers only helps to serve it well, and the upstream may accept it.
		f.outcome.HeaderError = err.Error()
	}
	f.call = call
	f.span = f.handler.options.Tracer.StartRequest(call.ID, f.request.Header)
	f.job.ID = call.ID
	f.job.Prompt = call.Prompt
	f.timeout = requestTimeout(call.Remaining, 0)
	index := f.waitForTable()
	if index == nil {
		f.refuse(http.StatusServiceUnavailable, "no-table", retryAfterNoTable)
		return false
	}
	path, _, _ := strings.Cut(f.request.RequestURI, "?")
	route := index.Route(f.request.Host, path)
	f.outcome.TableVersion = index.Table().Version
	if route == nil {
		f.refuse(http.StatusNotFound, "no-route", 0)
		return false
	}
	f.job.Route = route
	f.outcome.Route = route.Name
	if !f.identify(index) {
		return false
	}
	f.timeout = requestTimeout(call.Remaining, route.Timeout)
	return !f.refuseIfLate() && f.readBody(index.Table().Limits)
}

// identify finds the customer by the request's key and sets the priority. It refuses
// requests without a known key, except on public routes.
func (f *forwarding) identify(index *routing.Index) bool {
	f.job.Priority = f.job.Route.Priority
	if !index.NeedsKeys() {
		return true
	}
	f.customer = index.Customer(f.call.Key)
	if f.customer == nil && !f.job.Route.Public {
		f.refuse(http.StatusUnauthorized, "unknown-key", 0)
		return false
	}
	if f.customer == nil {
		return true
	}
	f.outcome.Customer = f.customer.Name
	f.job.Customer = f.customer.Name
	if f.customer.HasPriority {
		f.job.Priority = f.customer.Priority
	}
	return true
}

// requestTimeout returns how long a request may take: the shorter of the time that
// the caller will wait and the route's timeout.
func requestTimeout(remaining, timeout time.Duration) time.Duration {
	if remaining <= 0 {
		remaining = defaultTimeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return min(remaining, timeout)
}

// limitReading ends the read of a body at the request's deadline. A caller that holds its body would
// otherwise hold its connection as well.
func (f *forwarding) limitReading() {
	if f.request.Body != http.NoBody {
		// It fails only if the connection has ended, or for a reader without deadlines.
		_ = f.controller.SetReadDeadline(f.arrived.Add(f.timeout))
	}
}

// readBody reads the complete body into memory, because a retry sends it again.
func (f *forwarding) readBody(limits routing.Limits) bool {
	maxBytes := int64(limits.MaxBodyBytes)
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if f.request.ContentLength > maxBytes {
		f.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return false
	}
	f.limitReading()
	body, err := io.ReadAll(http.MaxBytesReader(f.writer, f.request.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		f.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return false
	case errors.Is(err, limited.ErrNoRoom):
		f.refuse(http.StatusServiceUnavailable, "bodies-fill-memory", retryAfterFull)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.limitWriting(time.Now())
		f.refuse(http.StatusRequestTimeout, "body-overdue", 0)
		return false
	case err != nil:
		// The caller's connection ended before its body was complete.
		f.outcome.Reason = "caller-broke-off"
		panic(http.ErrAbortHandler)
	}
	f.body = body
	f.job.Digest, f.job.HasBody = f.digest(), len(f.body) > 0
	return true
}

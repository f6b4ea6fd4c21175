package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/routing"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/transport/exchange"
	"endiveplank/transport/tracing"
)

// Fleet is what the router knows and decides. It is called from many goroutines.
type Fleet interface {
	// Table returns the table in force, nil if none is known.
	Table() *routing.Index
	// Settling reports whether the router has just started and lacks the table
	// or most of the upstreams, which it may learn at any moment.
	Settling() bool
	// Choose picks the upstream of an attempt, and counts the attempt as under
	// way if there is one.
	Choose(ctx context.Context, job Job) balance.Choice
	// Ended notes how an attempt ended.
	Ended(job Job, upstream protocol.UpstreamID, result balance.Result)
	// Judged notes the result of an attempt that ended without one.
	Judged(upstream protocol.UpstreamID, result balance.Result)
	// Overdue returns after how much silence the answer to an attempt is overdue, no
	// more than most.
	Overdue(job Job, choice balance.Choice, most time.Duration) time.Duration
	// Silent notes that an attempt's answer is overdue, after a silence.
	Silent(job Job, choice balance.Choice, after time.Duration)
	// Began notes how long an attempt's answer took to begin.
	Began(job Job, choice balance.Choice, took time.Duration)
	// Timed notes whether an attempt's answer began in time, or that it is late.
	Timed(job Job, choice balance.Choice, inTime bool)
	// Arrived counts a request for a service, which earns retries.
	Arrived(service protocol.Service)
	// MayRetry spends a retry for a service, if there is one.
	MayRetry(service protocol.Service) bool
	// Condemned reports whether a request has crashed upstreams so often that
	// it isn't sent to another one.
	Condemned(digest uint64) bool
	// Crashed notes that a request's upstream broke off.
	Crashed(digest uint64, upstream protocol.UpstreamID)
}

// Job describes a request to the Fleet.
type Job struct {
	ID       protocol.RequestID
	Route    *routing.Route
	Service  protocol.Service
	Priority int
	// Customer is who the request is for, "" where the route is open to all.
	Customer protocol.CustomerID
	Prompt   *dialect.Prompt
	// Tried are the upstreams that the request was sent to.
	Tried []protocol.UpstreamID
	// Erred is the last of them, if it answered with an error, "" if not.
	Erred protocol.UpstreamID
	// Digest tells requests of the same content apart from others.
	Digest uint64
}

// Once reports whether a failure of the next attempt loses the request.
func (j *Job) Once() bool {
	return j.Route == nil || !j.Route.MayRepeat() || !j.attemptsLeft()
}

// attemptsLeft reports whether the request may be sent to another upstream after
// the next attempt.
func (j *Job) attemptsLeft() bool {
	return len(j.Tried)+1 < max(j.Route.MaxAttempts, 1)
}

// Beginnings returns the keys of the shorter beginnings that the prompt shares with
// others, the longest first.
func (j *Job) Beginnings() []uint64 {
	if _, any := j.PromptKey(); !any {
		return nil
	}
	var keys []uint64
	for at := len(j.Prompt.Parts) - 3; at >= 0; at-- {
		keys = append(keys, j.Prompt.Parts[at].Key)
	}
	return keys
}

// PromptKey returns the key of the longest beginning that the prompt shares with
// others: all parts but the last, which is its own. False where it has none that
// is worth looking for.
func (j *Job) PromptKey() (uint64, bool) {
	if j.Route == nil || !j.Route.Sticky || j.Prompt == nil || len(j.Prompt.Parts) == 0 {
		return 0, false
	}
	parts := j.Prompt.Parts
	return parts[max(len(parts)-2, 0)].Key, true
}

// Limits on what callers may send where the table sets none, and on what the
// process holds.
const (
	// defaultMaxBody is the largest body taken without a table's limit.
	defaultMaxBody = 4 << 20
	// heldBodies bounds the bytes of all callers' bodies together: a tenth of
	// the memory of the smallest VM in use.
	heldBodies = 24 << 20
	// defaultTimeout is for routes and callers that set no time.
	defaultTimeout = 30 * time.Second
)

// Options of a Handler.
type Options struct {
	Fleet   Fleet
	Dialect dialect.Dialect
	Pool    *exchange.Pool
	Log     zerolog.Logger
	// Observe is called with the outcome of each request.
	Observe func(Outcome)
	// Tracer makes a span for each request and attempt; nil for none.
	Tracer *tracing.Tracer
}

// Handler is the http.Handler for callers.
type Handler struct {
	options Options
	held    atomic.Int64
	active  atomic.Int64
}

// New returns a handler.
func New(options Options) *Handler {
	return &Handler{options: options}
}

// Active returns how many requests are under way.
func (h *Handler) Active() int { return int(h.active.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	f := &flight{handler: h, writer: w, request: r, arrived: time.Now()}
	f.control = http.NewResponseController(w)
	defer f.report()
	if !f.admit() {
		return
	}
	defer h.held.Add(-f.heldBytes)
	deadline := f.arrived.Add(f.patience)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	f.context = ctx
	f.deadline = deadline
	f.run()
}

// flight is one request on its way.
type flight struct {
	handler *Handler
	writer  http.ResponseWriter
	control *http.ResponseController
	request *http.Request
	arrived time.Time

	call      dialect.Call
	job       Job
	customer  *routing.Customer
	body      []byte
	heldBytes int64
	patience  time.Duration
	deadline  time.Time
	context   context.Context

	// mayHaveRun says that an attempt was sent whose run nobody ruled out.
	mayHaveRun bool
	// retryPaid says that the next attempt has been taken from the budget.
	retryPaid bool
	watch     *watch
	timing    timing
	stream    streamState
	span      tracing.Span
	outcome   Outcome
}

// admit reads the request and finds its route and customer. It answers the
// caller and returns false where the request can't go on.
func (f *flight) admit() bool {
	call, err := f.handler.options.Dialect.ReadCall(f.request.Header)
	if err != nil {
		// What it declares beside the request itself only helps to serve it
		// well. The upstream may still find it in order.
		f.outcome.Doubt = err.Error()
	}
	f.call = call
	f.span = f.handler.options.Tracer.StartRequest(call.ID, f.request.Header)
	f.job.ID = call.ID
	f.job.Prompt = call.Prompt
	f.patience = patience(call.Left, 0)
	index := f.awaitTable()
	if index == nil {
		f.refuse(http.StatusServiceUnavailable, "no-table", retryWithoutTable)
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
	f.patience = patience(call.Left, route.Timeout)
	return f.readBody(index.Table().Limits)
}

// identify finds the customer of a route that isn't public.
func (f *flight) identify(index *routing.Index) bool {
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

// patience is how long a request may take: what the caller has left, and what
// the operator allows on the route.
func patience(left, timeout time.Duration) time.Duration {
	if left <= 0 {
		left = defaultTimeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return min(left, timeout)
}

// readBody takes the whole body: it may have to be sent twice.
func (f *flight) readBody(limits routing.Limits) bool {
	most := int64(limits.MaxBodyBytes)
	if most <= 0 {
		most = defaultMaxBody
	}
	if f.request.ContentLength > most {
		f.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(f.writer, f.request.Body, most))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		f.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return false
	case err != nil:
		// The caller broke off in its own request.
		f.outcome.Reason = "caller-broke-off"
		panic(http.ErrAbortHandler)
	}
	f.body = body
	f.heldBytes = int64(len(body))
	if f.handler.held.Add(f.heldBytes) > heldBodies {
		f.handler.held.Add(-f.heldBytes)
		f.refuse(http.StatusServiceUnavailable, "bodies-fill-memory", retryWhenFull)
		return false
	}
	f.job.Digest = f.digest()
	return true
}

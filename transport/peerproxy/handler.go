package peerproxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/transport/bounded"
	"endiveplank/transport/exchange"
	"endiveplank/transport/limited"
	"endiveplank/transport/tracing"
)

const (
	// maxRequests bounds the requests of other routers in flight: a tenth of the memory of the
	// smallest VM in use.
	maxRequests = 256
	// maxBodyBytes bounds one body, and maxBufferedBytes all bodies in memory.
	maxBodyBytes     = 4 << 20
	maxBufferedBytes = 12 << 20
	// writeGrace is how long after the caller's deadline an answer may still be passed on.
	writeGrace = 3 * time.Second
	// chunkBytes is how much of an answer is passed on at once.
	chunkBytes = 4 << 10
)

// Fleet is the part of the proxy that knows the upstreams. Its methods are called concurrently.
type Fleet interface {
	// ProxyState returns why this router is no proxy at the moment, "" if it is one.
	ProxyState() Refusal
	// ProxyAddress returns the address of an upstream, or why the upstream gets no request.
	ProxyAddress(target Target) (address string, refusal Refusal)
	// ProxyMaySend reports whether an upstream may still get a request.
	ProxyMaySend(target Target) bool
	// ProxyConnected records whether a connection to an upstream could be opened.
	ProxyConnected(target Target, opened bool)
	// ProxyAnswered records what the head of an answer says about an upstream.
	ProxyAnswered(target Target, head dialect.Answer)
	// ProxyBroke records that an upstream's connection broke while it had a request. The
	// parts are those of the prompt that other requests may have too, if nothing of the
	// answer had come.
	ProxyBroke(target Target, parts []uint64)
}

// Options configures a Handler.
type Options struct {
	Fleet   Fleet
	Dialect dialect.Dialect
	// Pool has the connections to upstreams.
	Pool   *exchange.Pool
	Log    zerolog.Logger
	Tracer *tracing.Tracer
	// Observe is called with the refusal of each request, "" if the upstream answered.
	Observe func(Refusal)
}

// Handler is the http.Handler for other routers' requests.
type Handler struct {
	options       Options
	active        atomic.Int64
	bufferedBytes atomic.Int64
}

// New returns a Handler.
func New(options Options) *Handler { return &Handler{options: options} }

// Active returns the number of other routers' requests in flight.
func (h *Handler) Active() int { return int(h.active.Load()) }

// ServeHTTP implements http.Handler. A request without a target asks whether this router is a
// proxy at the moment.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	state := h.options.Fleet.ProxyState()
	if state == RefusalStopping {
		w.Header().Set("Connection", "close")
	}
	if r.Header.Get(headerTarget) == "" {
		answerProbe(w, state)
		return
	}
	p := &proxied{handler: h, writer: w, request: r, began: time.Now()}
	defer p.report()
	if state != "" {
		p.refuse(state)
		return
	}
	defer h.active.Add(-1)
	if h.active.Add(1) > maxRequests {
		p.refuse(RefusalFull)
		return
	}
	p.serve()
}

// answerProbe answers another router that asks whether this one is a proxy.
func answerProbe(w http.ResponseWriter, state Refusal) {
	if state == "" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set(headerRefusal, string(state))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// proxied is the state of one request while the Handler serves it.
type proxied struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	began   time.Time
	target  Target
	id      protocol.RequestID
	prompt  *dialect.Prompt
	status  int
	refusal Refusal
	cause   string
	aborted bool
}

// serve sends the request and passes the answer on.
func (p *proxied) serve() {
	target, err := takeTarget(p.request.Header)
	if err != nil {
		p.cause = err.Error()
		p.refuse(RefusalInvalid)
		return
	}
	p.target = target
	// The error only says that headers couldn't be read that help to serve a request well.
	call, _ := p.handler.options.Dialect.ReadCall(p.request.Header)
	p.id, p.prompt = call.ID, call.Prompt
	p.limitTime()
	body, ok := p.readBody()
	if !ok {
		return
	}
	defer p.handler.bufferedBytes.Add(-int64(len(body)))
	address, refusal := p.handler.options.Fleet.ProxyAddress(target)
	if refusal != "" {
		p.refuse(refusal)
		return
	}
	p.send(address, body)
}

// limitTime makes reads from and writes to the other router fail some time after the caller's
// deadline, so that a router that is gone doesn't hold the request for ever.
func (p *proxied) limitTime() {
	controller := http.NewResponseController(p.writer)
	until := p.began.Add(p.target.Remaining + writeGrace)
	// They fail only if the connection has ended.
	_ = controller.SetReadDeadline(until)
	_ = controller.SetWriteDeadline(until)
}

// readBody reads the complete body. False means that the request was refused.
func (p *proxied) readBody() ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(p.writer, p.request.Body, maxBodyBytes))
	if err != nil {
		p.cause = err.Error()
		p.refuse(RefusalInvalid)
		return nil, false
	}
	if p.handler.bufferedBytes.Add(int64(len(body))) > maxBufferedBytes {
		p.handler.bufferedBytes.Add(-int64(len(body)))
		p.refuse(RefusalFull)
		return nil, false
	}
	return body, true
}

// send sends the request to the upstream and passes the answer on.
func (p *proxied) send(address string, body []byte) {
	options := p.handler.options
	header := p.request.Header.Clone()
	exchange.RemoveHopByHop(header)
	parent := options.Tracer.StartRequest(p.id, header)
	span := options.Tracer.StartAttempt(parent, 1, p.target.Upstream, header)
	defer func() {
		result := tracing.Result{Status: p.status, Reason: p.cause, Failed: p.refusal != "" || p.aborted}
		span.End(result)
		parent.End(result)
	}()
	answer, err := options.Pool.Send(p.request.Context(), address, exchange.Request{
		ID: p.id, Method: p.request.Method, Target: p.request.RequestURI, Host: p.request.Host, Header: header, Body: body,
		MaySend: func() bool { return options.Fleet.ProxyMaySend(p.target) },
	}, func(header http.Header) protocol.RequestID {
		return options.Dialect.ReadAnswer(http.StatusOK, header).ID
	})
	if err != nil {
		p.handleFailure(err)
		return
	}
	defer answer.Close()
	if !answer.Reused {
		options.Fleet.ProxyConnected(p.target, true)
	}
	if head := options.Dialect.ReadAnswer(answer.Status, answer.Header); !head.Misdirected {
		options.Fleet.ProxyAnswered(p.target, head)
	}
	p.relay(answer)
}

// handleFailure answers a request for which no answer came.
func (p *proxied) handleFailure(err error) {
	var failure *exchange.Failure
	if !errors.As(err, &failure) {
		panic("peerproxy: invariant broken: an exchange fails with a Failure")
	}
	p.cause = err.Error()
	switch {
	case errors.Is(err, exchange.ErrNotSent):
		p.refuse(RefusalUnwanted)
	case !failure.Sent:
		if p.request.Context().Err() == nil {
			p.handler.options.Fleet.ProxyConnected(p.target, false)
		}
		p.refuse(RefusalUnreachable)
	default:
		p.noteBroken(err, p.prompt.SharedParts())
		p.refuse(RefusalLost)
	}
}

// noteBroken records that the upstream broke off, unless this router did: as the other router has
// gone, or as the answer was too long or found no memory.
func (p *proxied) noteBroken(err error, parts []uint64) {
	if p.request.Context().Err() == nil && !errors.Is(err, bounded.ErrTooLong) && !errors.Is(err, limited.ErrNoRoom) {
		p.handler.options.Fleet.ProxyBroke(p.target, parts)
	}
}

// refuse answers that there is no answer of the upstream, and why.
func (p *proxied) refuse(refusal Refusal) {
	p.refusal = refusal
	p.status = http.StatusBadGateway
	p.writer.Header().Set(headerRefusal, string(refusal))
	p.writer.WriteHeader(p.status)
}

// relay passes the upstream's answer on as it comes. If it breaks off, so does this one.
func (p *proxied) relay(answer *exchange.Answer) {
	p.status = answer.Status
	exchange.RemoveHopByHop(answer.Header)
	header := p.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Del(headerRefusal)
	if _, typed := header["Content-Type"]; !typed {
		// Otherwise net/http would guess a type from the body.
		header["Content-Type"] = nil
	}
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	p.writer.WriteHeader(answer.Status)
	controller := http.NewResponseController(p.writer)
	buffer := make([]byte, chunkBytes)
	passed := 0
	for {
		n, err := answer.Read(buffer)
		passed += n
		if n > 0 && !p.passOn(controller, buffer[:n]) {
			return
		}
		if errors.Is(err, io.EOF) {
			p.checkEnd(answer, passed)
			return
		}
		if err != nil {
			p.cause = err.Error()
			p.noteBroken(err, p.unansweredParts(passed))
			p.abort()
		}
	}
}

// checkEnd ends the connection if a stream with neither a length nor chunks has ended without an
// event. This router passes it on in chunks, by which the other one would take it for complete.
func (p *proxied) checkEnd(answer *exchange.Answer, passed int) {
	if !answer.Unframed || passed > 0 || !answer.IsEventStream() {
		return
	}
	p.cause = "the stream ended without an event"
	p.handler.options.Fleet.ProxyBroke(p.target, p.prompt.SharedParts())
	p.abort()
}

// unansweredParts returns the prompt's shared parts if no byte of the answer's body was passed on.
func (p *proxied) unansweredParts(passed int) []uint64 {
	if passed > 0 {
		return nil
	}
	return p.prompt.SharedParts()
}

// passOn writes a part of the answer at once, because it may be an event that the caller waits
// for. False means that the other router has gone.
func (p *proxied) passOn(controller *http.ResponseController, data []byte) bool {
	if _, err := p.writer.Write(data); err != nil {
		p.cause = err.Error()
		return false
	}
	if err := controller.Flush(); err != nil {
		p.cause = err.Error()
		return false
	}
	return true
}

// abort ends the connection in the middle of the answer, so that the other router can't take
// it for complete.
func (p *proxied) abort() {
	p.aborted = true
	panic(http.ErrAbortHandler)
}

// report logs the request. It passes on the panic by which abort ends the connection.
func (p *proxied) report() {
	aborted := recover()
	if p.handler.options.Observe != nil {
		p.handler.options.Observe(p.refusal)
	}
	line := p.handler.options.Log.Info().Str("event", "proxied").Str("request", string(p.id)).Str("from", string(p.target.From)).
		Str("upstream", string(p.target.Upstream)).Int("status", p.status).Float64("ms", time.Since(p.began).Seconds()*1000)
	if p.refusal != "" {
		line.Str("reason", string(p.refusal))
	}
	if p.cause != "" {
		line.Str("cause", p.cause)
	}
	line.Bool("cut", p.aborted).Send()
	if aborted != nil {
		panic(aborted)
	}
}

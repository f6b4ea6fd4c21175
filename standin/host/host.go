// Package host is the HTTP shell that the stand-ins share: a listener whose
// connections can be silenced or dropped, and the loop that announces an
// upstream to the routers.
//
// Silence is the fault in which one end has lost track of a connection: bytes
// stop, and nothing closes. The package knows two kinds of it. In the first,
// every request on every connection hangs. In the second, the connections open
// at that moment hang for good while new ones work, which is what a router
// meets when something between the two ends forgot them. Paths under /faults
// and the other control paths stay reachable, so that a test can end the fault.
package host

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// headerTimeout bounds how long a caller may take over its request header.
const headerTimeout = 10 * time.Second

// Host serves HTTP on one address and can play dead.
type Host struct {
	handler http.Handler
	address string

	mu         sync.Mutex
	server     *http.Server
	silent     bool
	generation int
	changed    chan struct{}
}

// generationKey is the context key of the connection's generation.
type generationKey struct{}

// Listen starts to serve handler on address (host:port, port 0 for any).
func Listen(address string, handler http.Handler) (*Host, error) {
	h := &Host{handler: handler, address: address, changed: make(chan struct{})}
	if err := h.Reopen(); err != nil {
		return nil, err
	}
	return h, nil
}

// Address returns the host:port that the host listens on.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// Reopen listens again, on the same address, after Drop.
func (h *Host) Reopen() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", h.address)
	}
	h.address = listener.Addr().String()
	h.server = &http.Server{
		Handler:           h.handler,
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       h.tag,
	}
	go func(server *http.Server) { _ = server.Serve(listener) }(h.server)
	return nil
}

// Drop closes the listener and every connection at once, as the end of a
// process does.
func (h *Host) Drop() {
	h.mu.Lock()
	server := h.server
	h.mu.Unlock()
	_ = server.Close()
}

// Shutdown stops accepting and waits for the requests in flight.
func (h *Host) Shutdown(ctx context.Context) error {
	h.mu.Lock()
	server := h.server
	h.mu.Unlock()
	return server.Shutdown(ctx)
}

// SetSilent makes every request hang, or lets them go on.
func (h *Host) SetSilent(silent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent = silent
	h.signal()
}

// ForgetOpen makes the connections that are open now hang for good. New ones
// work.
func (h *Host) ForgetOpen() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generation++
	h.signal()
}

// Pass returns nil once the request's connection is not silent, or the
// context's error when the other end closes first. A handler calls it before
// it reads and before each write.
func (h *Host) Pass(ctx context.Context) error {
	generation, _ := ctx.Value(generationKey{}).(int)
	for {
		h.mu.Lock()
		hang := h.silent || generation < h.generation
		changed := h.changed
		h.mu.Unlock()
		if !hang {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Gated returns handler behind Pass.
func (h *Host) Gated(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if h.Pass(r.Context()) == nil {
			handler(w, r)
		}
	}
}

// tag notes on a new connection how many times the host had forgotten its
// open connections before.
func (h *Host) tag(ctx context.Context, _ net.Conn) context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	return context.WithValue(ctx, generationKey{}, h.generation)
}

// signal wakes all that wait in Pass. The caller holds the mutex.
func (h *Host) signal() {
	close(h.changed)
	h.changed = make(chan struct{})
}

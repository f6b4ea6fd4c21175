// Package host has what the stand-ins share: Host is an HTTP server whose
// connections can be made silent or closed, Lifecycle simulates crashes and
// restarts, and Announcer announces an upstream to the routers.
//
// A silent connection carries no more bytes, but neither end closes it, as when
// one end or a device between the two has lost the connection's state. There are
// two variants. With SetSilent, every request on every connection hangs until the
// fault is lifted. With ForgetOpen, the connections that are open at that moment
// hang for good while new ones work. Only handlers that call WaitWhileSilent are
// affected: /faults and the other control paths stay reachable, so a test can end
// the fault.
package host

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// headerTimeout limits how long a client may take to send its request header.
const headerTimeout = 10 * time.Second

// Host serves HTTP on one address. It can make connections silent, and it can
// close and reopen its listener as a crashed process does.
type Host struct {
	handler http.Handler
	address string

	mu         sync.Mutex
	server     *http.Server
	silent     bool
	generation int           // how often ForgetOpen was called
	changed    chan struct{} // closed and replaced when silent or generation changes
}

// generationKey is the context key of the host's generation at the time when the
// connection was opened.
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

// Reopen listens on the same address again after Close.
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
		ConnContext:       h.connContext,
	}
	go func(server *http.Server) { _ = server.Serve(listener) }(h.server)
	return nil
}

// Close closes the listener and all connections immediately, as when a process
// dies.
func (h *Host) Close() {
	h.mu.Lock()
	server := h.server
	h.mu.Unlock()
	_ = server.Close()
}

// Shutdown stops accepting connections and waits for the requests in flight.
func (h *Host) Shutdown(ctx context.Context) error {
	h.mu.Lock()
	server := h.server
	h.mu.Unlock()
	return server.Shutdown(ctx)
}

// SetSilent makes every request hang, or lets the hanging requests continue.
func (h *Host) SetSilent(silent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent = silent
	h.wakeWaiters()
}

// ForgetOpen makes the connections that are open now hang for good. New
// connections work.
func (h *Host) ForgetOpen() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generation++
	h.wakeWaiters()
}

// WaitWhileSilent waits until the request's connection is no longer silent. It
// returns the context's error if the other end closes the connection first. A
// handler calls it before it reads and before each write. ctx must be the context
// of the request or derived from it.
func (h *Host) WaitWhileSilent(ctx context.Context) error {
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

// Gated returns a handler that waits while the connection is silent and then
// calls handler.
func (h *Host) Gated(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if h.WaitWhileSilent(r.Context()) == nil {
			handler(w, r)
		}
	}
}

// connContext records the current generation in a new connection's context, so
// that WaitWhileSilent finds the connections that are older than a ForgetOpen.
func (h *Host) connContext(ctx context.Context, _ net.Conn) context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	return context.WithValue(ctx, generationKey{}, h.generation)
}

// wakeWaiters wakes all handlers in WaitWhileSilent. The caller holds the mutex.
func (h *Host) wakeWaiters() {
	close(h.changed)
	h.changed = make(chan struct{})
}

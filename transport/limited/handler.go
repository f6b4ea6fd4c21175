package limited

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"endiveplank/coordination/intake"
)

const (
	// bodyTimeout is how long a body may take to come, if its handler sets no other time.
	bodyTimeout = 30 * time.Second
	// restTimeout is how long the rest of a body may take that is answered before it has come.
	restTimeout = 200 * time.Millisecond
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// handler charges each request to its connection.
func (b *Budgets) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		wait, taken := c.begin(r)
		if !taken {
			panic(http.ErrAbortHandler)
		}
		c.pause(wait)
		writer := &responseWriter{ResponseWriter: w, conn: c}
		defer c.finish(writer)
		request := *r
		if r.Body != http.NoBody {
			// It fails only if the connection has ended.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
			request.Body = &body{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(writer, &request)
	})
}

// begin charges the connection for a request whose head was read. It returns how long to wait, and
// false if the connection is being closed.
func (c *conn) begin(r *http.Request) (wait time.Duration, taken bool) {
	c.budgets.mu.Lock()
	defer c.budgets.mu.Unlock()
	if c.closing {
		return 0, false
	}
	c.inHead = false
	c.budgets.heads.Settle(&c.head)
	if r.Body == http.NoBody {
		c.stage = intake.Busy
	}
	return c.budgets.work.Request(c.budgets.now(), &c.worker), true
}

// bodyRead says that the request is complete.
func (c *conn) bodyRead() {
	c.budgets.mu.Lock()
	defer c.budgets.mu.Unlock()
	c.stage = intake.Busy
	c.budgets.bodies.Settle(&c.body)
}

// finish ends a request.
func (c *conn) finish(w *responseWriter) {
	c.budgets.mu.Lock()
	defer c.budgets.mu.Unlock()
	c.release()
	c.head, c.body, c.answer = intake.Holding{}, intake.Holding{}, intake.Holding{}
	c.inHead = true
	if !w.served {
		c.stage = intake.Incomplete
		return
	}
	c.stage, c.since = intake.Idle, c.budgets.now()
	c.budgets.work.Served(&c.worker)
}

// HoldAnswer says that a request's handler holds n bytes of an answer while the client takes it. If
// there is no room, the client that has taken the least of its answer gives way, or this one. It
// returns false then: the answer must be broken off.
func HoldAnswer(ctx context.Context, n int) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return !ok || c.budgets.take(c.budgets.answers, c, &c.answer, int64(n))
}

// ReleaseAnswer says that a request's handler holds nothing of an answer any more.
func ReleaseAnswer(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	c.budgets.mu.Lock()
	defer c.budgets.mu.Unlock()
	c.budgets.release(c.budgets.answers, &c.answer)
}

// body is the body of a request, which takes memory as it comes.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader. Errors: ErrNoRoom, and those of the connection.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if n > 0 && !b.conn.budgets.take(b.conn.budgets.bodies, b.conn, &b.conn.body, int64(n)) {
		return 0, ErrNoRoom
	}
	if errors.Is(err, io.EOF) {
		b.conn.bodyRead()
		// It fails only if the connection has ended.
		_ = b.conn.Conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// responseWriter notes whether a request is served.
type responseWriter struct {
	http.ResponseWriter
	conn        *conn
	wroteHeader bool
	served      bool
}

// Unwrap is for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter. A body that hasn't come yet is read on for a short time,
// so that the connection can be kept.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wroteHeader {
		w.wroteHeader = true
		w.served = status < http.StatusBadRequest
		w.conn.limitRest(w.ResponseWriter)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(data []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// limitRest bounds the time for the rest of a body.
func (c *conn) limitRest(w http.ResponseWriter) {
	c.budgets.mu.Lock()
	incomplete := c.stage != intake.Busy
	c.budgets.mu.Unlock()
	if incomplete {
		// It fails only if the connection has ended.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
	}
}

package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"endiveplank/platform"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
)

// chatPath is the path of requests for streams.
const chatPath = "/chat/"

// serviceOf returns the service that requests to a path go to.
func serviceOf(path string) protocol.Service {
	if path == chatPath {
		return chatService
	}
	return deskService
}

// callerPause is the mean time between two requests of one caller.
const callerPause = 15 * time.Millisecond

// The host and the key that callers send, and the deadline of their requests.
const (
	callerHost    = "caller.example"
	callerKey     = "key"
	callerTimeout = 3 * time.Second
)

// caller sends requests one after the other to a random router. It keeps its
// connection until the router closes it or a request fails.
type caller struct {
	harness *harness
	name    string
	path    string
	number  int
	router  *process
	conn    net.Conn
	reader  *bufio.Reader
	// opened is when the connection was opened.
	opened time.Time
	// until is when the caller stops, zero for at the end of the run.
	until time.Time
}

// startCallers starts n callers that send requests to a path.
func (h *harness) startCallers(n int, path string) {
	for i := range n {
		c := &caller{harness: h, name: fmt.Sprintf("%s-%d", strings.Trim(path, "/"), i), path: path}
		h.done.Go(c.run)
	}
}

func (c *caller) run() {
	defer c.disconnect()
	for {
		select {
		case <-c.harness.quit:
			return
		case <-time.After(time.Duration(c.harness.intN(2 * int(callerPause)))):
		}
		if !c.until.IsZero() && time.Now().After(c.until) {
			return
		}
		c.number++
		id := fmt.Sprintf("%s-%d", c.name, c.number)
		if c.path == chatPath {
			c.sendStream(id)
		} else {
			c.send(id)
		}
		if c.harness.favoured() != nil {
			c.disconnect()
		}
	}
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// connect opens a connection to a random router unless there is one. It returns
// false if that router isn't running or doesn't accept the connection.
func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	c.router = c.harness.routers[c.harness.intN(routerCount)]
	if favoured := c.harness.favoured(); favoured != nil && c.harness.intN(10) > 0 {
		c.router = favoured
	}
	if !c.router.isRunning() {
		return false
	}
	conn, err := c.harness.dial(c.router)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.opened = conn, bufio.NewReader(conn), time.Now()
	return true
}

// send sends a request and checks its answer.
func (c *caller) send(id string) {
	if !c.connect() {
		return
	}
	body := id + strings.Repeat(".", c.harness.intN(3000))
	request, err := http.NewRequest(http.MethodPost, "http://"+callerHost+c.path+"x", strings.NewReader(body))
	if err != nil {
		panic("soak: cannot build a request: " + err.Error())
	}
	platform.WriteCall(request.Header, dialect.Call{ID: protocol.RequestID(id), Key: callerKey, Remaining: callerTimeout})
	began := time.Now()
	stopping := c.routerStopping()
	_ = c.conn.SetDeadline(began.Add(5 * time.Second))
	c.harness.noteSender(id, c.path, c.router)
	if err := request.Write(c.conn); err != nil {
		c.disconnect()
		return
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		c.checkUnanswered(id, began, stopping)
		return
	}
	answer, err := io.ReadAll(response.Body)
	c.harness.noteRateLimit(response.StatusCode, answer)
	c.checkAnswer(id, response, answer, err)
	if err != nil || response.Close {
		c.disconnect()
	}
}

// routerStopping reports whether the test has stopped or paused the router.
func (c *caller) routerStopping() bool { return !c.router.isRunning() }

// checkUnanswered checks a request that got no answer. A router must answer every
// request that it has read, unless a fault prevents it.
func (c *caller) checkUnanswered(id string, began time.Time, stopping bool) {
	c.disconnect()
	c.harness.count("lost")
	c.harness.noteServed(c.router, c.path, false)
	if c.harness.isCalm() && c.router.isRunning() && !stopping && time.Since(began) < 4*time.Second {
		c.harness.violation("request %s to %s got no answer although no fault was active", id, c.router.settings.Name)
	}
}

// checkAnswer checks an answer: it must belong to the request, a refused request
// must not have run, and no request may be denied by its key or its path.
func (c *caller) checkAnswer(id string, response *http.Response, body []byte, err error) {
	c.harness.count(fmt.Sprint(response.StatusCode))
	c.harness.noteRead(response.StatusCode == http.StatusOK && err == nil)
	c.harness.noteServed(c.router, c.path, response.StatusCode == http.StatusOK && err == nil)
	signature := platform.Signature(response.Header)
	answer := platform.Dialect{}.ReadAnswer(response.StatusCode, response.Header)
	upstream, _, _ := strings.Cut(signature, ".")
	c.harness.noteAnswer(c.router, answer, protocol.UpstreamID(upstream))
	switch {
	case response.StatusCode == http.StatusOK && !strings.HasSuffix(signature, "."+id):
		c.harness.violation("request %s got an answer signed %q", id, signature)
	case response.StatusCode == http.StatusOK && c.path == chatPath:
		// The events were checked as they came.
	case response.StatusCode == http.StatusOK:
		c.checkBody(id, body, err)
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
		if c.harness.hasRun(id) {
			c.harness.violation("request %s was refused as not run but has run", id)
		}
	case response.StatusCode == http.StatusUnauthorized || response.StatusCode == http.StatusNotFound:
		c.harness.violation("request %s was denied with status %d", id, response.StatusCode)
	}
}

// checkBody checks that the body is the complete body for this request, or a prefix
// of it with an error that the caller sees.
func (c *caller) checkBody(id string, body []byte, err error) {
	want := bytes.Repeat([]byte(id+"\n"), 20)
	broken := err != nil && errors.Is(err, io.ErrUnexpectedEOF) || err != nil
	switch {
	case broken && !bytes.HasPrefix(want, body) && !c.harness.answeredEndlessly(id):
		c.harness.violation("request %s got wrong bytes before its answer broke off: %q", id, clip(body))
	case !broken && !bytes.Equal(want, body):
		c.harness.violation("request %s got a wrong answer: %q", id, clip(body))
	}
}

func clip(body []byte) []byte { return body[:min(len(body), 200)] }

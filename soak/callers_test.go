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

// callerPause is the mean time between two requests of one caller.
const callerPause = 15 * time.Millisecond

// What callers present and how long they wait.
const (
	callersHost     = "caller.example"
	callersKey      = "key"
	callersPatience = 3 * time.Second
)

// caller sends requests one after the other over connections that it keeps, and
// uses them until the process at the other end is gone.
type caller struct {
	world  *world
	name   string
	path   string
	number int
	router *process
	conn   net.Conn
	reader *bufio.Reader
	// opened is when the connection was made.
	opened time.Time
}

// call starts n callers of a path.
func (w *world) call(n int, path string) {
	for i := range n {
		c := &caller{world: w, name: fmt.Sprintf("%s-%d", strings.Trim(path, "/"), i), path: path}
		w.done.Go(c.run)
	}
}

func (c *caller) run() {
	defer c.hangUp()
	for {
		select {
		case <-c.world.quit:
			return
		case <-time.After(time.Duration(c.world.intN(2 * int(callerPause)))):
		}
		c.number++
		c.once(fmt.Sprintf("%s-%d", c.name, c.number))
	}
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// connect opens a connection to a router that is ready.
func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	c.router = c.world.fronts[c.world.intN(routers)]
	if !c.router.isRunning() {
		return false
	}
	conn, err := c.world.dial(c.router)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.opened = conn, bufio.NewReader(conn), time.Now()
	return true
}

// once sends a request and judges its answer.
func (c *caller) once(id string) {
	if !c.connect() {
		return
	}
	body := id + strings.Repeat(".", c.world.intN(3000))
	request, err := http.NewRequest(http.MethodPost, "http://"+callersHost+c.path+"x", strings.NewReader(body))
	if err != nil {
		panic("soak: a request that can't be made: " + err.Error())
	}
	platform.WriteCall(request.Header, dialect.Call{ID: protocol.RequestID(id), Key: callersKey, Remaining: callersPatience})
	began := time.Now()
	planned := c.plannedStop()
	_ = c.conn.SetDeadline(began.Add(5 * time.Second))
	if err := request.Write(c.conn); err != nil {
		c.hangUp()
		return
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		c.lost(id, began, planned)
		return
	}
	answer, err := io.ReadAll(response.Body)
	c.judge(id, response, answer, err)
	if err != nil || response.Close {
		c.hangUp()
	}
}

// plannedStop reports whether the router is about to stop as planned.
func (c *caller) plannedStop() bool { return !c.router.isRunning() }

// lost judges a request without an answer. A router that nobody has harmed
// answers what it has read.
func (c *caller) lost(id string, began time.Time, planned bool) {
	c.hangUp()
	c.world.count("lost")
	if c.world.isCalm() && c.router.isRunning() && !planned && time.Since(began) < 4*time.Second {
		c.world.broken("request %s to %s ended without an answer in calm", id, c.router.settings.Name)
	}
}

// judge checks an answer against the promises.
func (c *caller) judge(id string, response *http.Response, body []byte, err error) {
	c.world.count(fmt.Sprint(response.StatusCode))
	signature := platform.Signature(response.Header)
	switch {
	case response.StatusCode == http.StatusOK && !strings.HasSuffix(signature, "."+id):
		c.world.broken("request %s got an answer signed %q", id, signature)
	case response.StatusCode == http.StatusOK:
		c.checkBody(id, body, err)
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
		if c.world.hasRun(id) {
			c.world.broken("request %s was refused as not run, and has run", id)
		}
	case response.StatusCode == http.StatusUnauthorized || response.StatusCode == http.StatusNotFound:
		c.world.broken("request %s was denied with %d", id, response.StatusCode)
	}
}

// checkBody checks that the answer is the request's own and whole, or visibly
// broken.
func (c *caller) checkBody(id string, body []byte, err error) {
	want := bytes.Repeat([]byte(id+"\n"), 20)
	if strings.HasPrefix(c.path, "/chat/") {
		want = nil
		for n := 1; n <= eventsOfStream; n++ {
			want = fmt.Appendf(want, "id: %d\ndata: %s %d\n\n", n, id, n)
		}
	}
	broken := err != nil && errors.Is(err, io.ErrUnexpectedEOF) || err != nil
	switch {
	case broken && !bytes.HasPrefix(want, body):
		c.world.broken("request %s got other bytes before its answer broke: %q", id, clip(body))
	case !broken && !bytes.Equal(want, body):
		c.world.broken("request %s got another answer: %q", id, clip(body))
	}
}

func clip(body []byte) []byte { return body[:min(len(body), 200)] }

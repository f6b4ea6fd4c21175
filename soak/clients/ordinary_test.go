package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Ordinary callers send a request each callerPause in the mean, with callerDeadline, and once more on
// a new connection if it fails, as the users' pages say of their clients. Every newConnectionEach-th
// request opens a new connection.
const (
	ordinaryCallers   = 6
	callerPause       = 50 * time.Millisecond
	callerDeadline    = 1500 * time.Millisecond
	callerTries       = 2
	newConnectionEach = 4
)

// ordinary counts the requests of ordinary callers.
type ordinary struct {
	traffic
	quit chan struct{}
	done sync.WaitGroup

	mu     sync.Mutex
	sent   int
	served int
	took   []time.Duration
	// failures counts why attempts failed.
	failures map[string]int
}

// traffic is what ordinary callers send to a router.
type traffic struct {
	// at is the address of the callers' listener.
	at string
	// request returns a request with an ID, which has some time left.
	request func(id string, left time.Duration) *http.Request
	// isAnswer reports whether a body is the answer.
	isAnswer func(body string) bool
}

// startOrdinary starts ordinary callers.
func startOrdinary(sent traffic) *ordinary {
	o := &ordinary{traffic: sent, quit: make(chan struct{}), failures: map[string]int{}}
	for n := range ordinaryCallers {
		c := &caller{ordinary: o, name: fmt.Sprintf("o%d", n)}
		o.done.Go(c.run)
	}
	return o
}

// stop ends the callers and returns the share of their requests that was served, and how long the
// slowest percent but one of these took.
func (o *ordinary) stop() (share float64, slow time.Duration) {
	close(o.quit)
	o.done.Wait()
	slices.Sort(o.took)
	if len(o.took) > 0 {
		slow = o.took[len(o.took)*99/100]
	}
	return float64(o.served) / float64(max(o.sent, 1)), slow
}

// caller is one ordinary caller.
type caller struct {
	ordinary *ordinary
	name     string
	number   int
	conn     net.Conn
	reader   *bufio.Reader
}

func (c *caller) run() {
	defer c.disconnect()
	for {
		select {
		case <-c.ordinary.quit:
			return
		case <-time.After(callerPause):
		}
		c.number++
		if c.number%newConnectionEach == 0 {
			c.disconnect()
		}
		began := time.Now()
		served := c.request(began.Add(callerDeadline))
		c.ordinary.mu.Lock()
		c.ordinary.sent++
		if served {
			c.ordinary.served++
			c.ordinary.took = append(c.ordinary.took, time.Since(began))
		}
		c.ordinary.mu.Unlock()
	}
}

// request sends a request until it is served, the tries are used up or the deadline has passed.
func (c *caller) request(deadline time.Time) bool {
	for try := range callerTries {
		failure := c.attempt(fmt.Sprintf("%s-%d-%d", c.name, c.number, try), deadline)
		if failure == "" {
			return true
		}
		c.disconnect()
		c.ordinary.mu.Lock()
		c.ordinary.failures[failure]++
		c.ordinary.mu.Unlock()
		if time.Now().After(deadline) {
			return false
		}
	}
	return false
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// attempt sends the request once. It returns why it failed, "" if it was served.
func (c *caller) attempt(id string, deadline time.Time) string {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.ordinary.at, min(time.Second, time.Until(deadline)))
		if err != nil {
			return "dial"
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	request := c.ordinary.request(id, time.Until(deadline))
	_ = c.conn.SetDeadline(deadline)
	if err := request.Write(c.conn); err != nil {
		return "write"
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return "no answer"
		}
		return "closed"
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	switch {
	case err != nil:
		return "broken answer"
	case response.StatusCode != http.StatusOK:
		return fmt.Sprint(response.StatusCode)
	case !c.ordinary.isAnswer(string(body)):
		return "wrong answer"
	case response.Close:
		c.disconnect()
	}
	return ""
}

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// clientCount clients send a request each clientPause.
	clientCount = 24
	clientPause = 500 * time.Millisecond
	// clientKinds: one client in so many asks for streams.
	clientKinds = 2
	// orderDeadline is how long a client waits for an order in all, streamDeadline for a stream.
	orderDeadline  = 1500 * time.Millisecond
	streamDeadline = 12 * time.Second
	// streamGap is after how long without an event a client abandons a stream: eight times the
	// longest pause that the sheet allows.
	streamGap = 2400 * time.Millisecond
)

// answer is what a client got for one attempt.
type answer struct {
	attempt string
	order   string
	// status is 0 if the connection ended without an answer, or the client gave up.
	status int
}

// clients send orders and ask for streams, which may run once at most. Half of them ask for streams.
type clients struct {
	fleet *fleet
	done  sync.WaitGroup
	quit  chan struct{}

	mu      sync.Mutex
	answers []answer
}

// startClients starts the clients.
func startClients(f *fleet) *clients {
	c := &clients{fleet: f, quit: make(chan struct{})}
	for number := range clientCount {
		c.done.Add(1)
		go c.run(number)
	}
	return c
}

// stop ends the clients and waits for their last answers.
func (c *clients) stop() []answer {
	close(c.quit)
	c.done.Wait()
	return c.answers
}

// run sends one order after the other over a kept connection.
func (c *clients) run(number int) {
	defer c.done.Done()
	kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	home := c.fleet.routers[number%routerCount]
	time.Sleep(time.Duration(rand.Int64N(int64(clientPause))))
	for count := 1; ; count++ {
		if number%clientKinds == 0 {
			c.request(kept, home, streamPath, fmt.Sprintf("stream-%d-%d", number, count), streamDeadline)
		} else {
			c.request(kept, home, orderPath, fmt.Sprintf("order-%d-%d", number, count), orderDeadline)
		}
		select {
		case <-c.quit:
			return
		case <-time.After(clientPause):
		}
	}
}

// request sends a request, and once more if the first attempt was answered with the promise that it
// hasn't run and never will.
func (c *clients) request(kept *http.Client, home *machine, path, order string, deadline time.Duration) {
	began := time.Now()
	status, after := c.send(kept, home, path, order, deadline)
	left := deadline - time.Since(began)
	if !isPromise(status) || left <= 0 {
		return
	}
	// Clients honour Retry-After up to a third of the time that they have left.
	time.Sleep(min(after, left/3))
	other := c.fleet.routers[rand.IntN(routerCount)]
	again := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	c.send(again, other, path, order, deadline-time.Since(began))
}

// isPromise reports whether a status promises that the request hasn't run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// send makes one attempt and returns the status and Retry-After of its answer.
func (c *clients) send(with *http.Client, to *machine, path, order string, left time.Duration) (status int, after time.Duration) {
	attempt := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	if path == streamPath {
		// Sound streams are far shorter than the gap, so one timer for the whole stream does.
		gap := time.AfterFunc(streamGap, cancel)
		defer gap.Stop()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.at(c.fleet.ports.frontend)+path+"2f", strings.NewReader(order))
	if err != nil {
		panic(err)
	}
	request.Host = hostName
	// net/http sends a request again by itself only if it may be repeated; a POST is not.
	request.GetBody = nil
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token "+apiKey)
	c.fleet.play.note("client sends attempt %s of %s to %s (Deadline-Ms %d)", attempt, order, to.name, left.Milliseconds())
	response, err := with.Do(request)
	if err == nil {
		status = response.StatusCode
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		after = time.Duration(seconds * float64(time.Second))
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		c.fleet.play.note("client gets %d for attempt %s of %s (Retry-After %q, %d bytes, error %v)", status, attempt, order, response.Header.Get("Retry-After"), len(body), err)
		if err != nil {
			status = 0
		}
	} else {
		c.fleet.play.note("client gets no answer for attempt %s of %s: %v", attempt, order, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, answer{attempt, order, status})
	return status, after
}

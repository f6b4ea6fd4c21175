package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/standin/relay"
)

// eventsOfStream is how many events a stream has, and eventPause the time
// between two.
const (
	eventsOfStream = 8
	eventPause     = 15 * time.Millisecond
	beatInterval   = 250 * time.Millisecond
)

// upstream is a stand-in for a back end that speaks the platform's protocol.
type upstream struct {
	world   *world
	id      string
	service string
	server  *http.Server
	way     *relay.Relay
	born    int64

	mu       sync.Mutex
	sequence uint64
	draining time.Time
	ended    bool
	sick     bool
	random   *rand.Rand
	quit     chan struct{}
}

// startUpstream starts a back end that announces itself.
func (w *world) startUpstream(service string) *upstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(w.t, err)
	way, err := relay.Start("127.0.0.1:0", listener.Addr().String())
	assert.NilError(w.t, err)
	w.mu.Lock()
	w.nextUpstream++
	u := &upstream{
		world: w, id: fmt.Sprintf("u%d", w.nextUpstream), service: service, way: way, born: time.Now().UnixMilli(),
		random: rand.New(rand.NewPCG(w.seed, uint64(w.nextUpstream))), quit: make(chan struct{}),
	}
	w.upstreams = append(w.upstreams, u)
	w.mu.Unlock()
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	go func() { _ = u.server.Serve(listener) }() // it ends with the upstream
	go u.beat()
	return u
}

// beat announces the upstream until it has left.
func (u *upstream) beat() {
	for {
		u.announce()
		select {
		case <-u.quit:
			return
		case <-time.After(beatInterval):
		}
	}
}

// announce tells one disk VM, another when it doesn't answer. It reports whether
// one has.
func (u *upstream) announce() bool {
	u.mu.Lock()
	u.sequence++
	state := "ready"
	if !u.draining.IsZero() {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": u.service, "address": u.way.Address(), "zone": "here", "version": "v1", "slots": 8,
		"state": state, "cold_remaining_ms": 0, "sequence": u.sequence, "born": u.born,
	})
	u.mu.Unlock()
	assert.NilError(u.world.t, err)
	return u.world.tellControl(http.MethodPut, "/instances/"+u.id, body)
}

// drain lets the upstream leave as planned: it says so, serves on for a while,
// and ends.
func (u *upstream) drain() {
	u.mu.Lock()
	u.draining = time.Now()
	u.mu.Unlock()
	for range 20 {
		if u.announce() {
			break
		}
	}
	u.mu.Lock()
	u.draining = time.Now()
	u.mu.Unlock()
	time.Sleep(leaveWithin + 500*time.Millisecond)
	u.world.tellControl(http.MethodDelete, "/instances/"+u.id, nil)
	u.end()
}

// end stops the upstream without a word.
func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return
	}
	u.ended = true
	close(u.quit)
	_ = u.server.Close()
	u.way.Close()
}

// serve runs a request.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	tooLate := !u.draining.IsZero() && time.Since(u.draining) > leaveWithin+drainSlack
	trouble := u.sick && u.random.IntN(3) == 0
	kind := u.random.IntN(4)
	u.mu.Unlock()
	if tooLate {
		u.world.broken("request %s reached %s %s after it said that it leaves", r.Header.Get("Attempt-Id"), u.id, time.Since(u.draining))
	}
	if r.Header.Get("Expected-Instance") != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	header := w.Header()
	header.Set("Attempt-Id", id)
	if trouble && kind == 0 {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.world.ran(id, r, body)
	header.Set("Server-Signature", u.id+"."+id)
	if trouble && kind == 1 {
		panic(http.ErrAbortHandler)
	}
	if trouble && kind == 2 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if u.service == chatService {
		u.stream(w, r, id, trouble)
		return
	}
	_, _ = w.Write(bytes.Repeat([]byte(id+"\n"), 20)) // a caller may have gone
}

// stream sends events from the one behind the last that the caller has.
func (u *upstream) stream(w http.ResponseWriter, r *http.Request, id string, trouble bool) {
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first + 1; n <= eventsOfStream; n++ {
		if trouble && n == first+3 {
			_, _ = io.WriteString(w, "id: 9")
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

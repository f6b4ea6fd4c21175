package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
	"endiveplank/platform"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
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
	id      protocol.UpstreamID
	service protocol.Service
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
func (w *world) startUpstream(service protocol.Service) *upstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(w.t, err)
	way, err := relay.Start("127.0.0.1:0", listener.Addr().String())
	assert.NilError(w.t, err)
	w.mu.Lock()
	w.nextUpstream++
	u := &upstream{
		world: w, id: protocol.UpstreamID(fmt.Sprintf("u%d", w.nextUpstream)), service: service, way: way, born: time.Now().UnixMilli(),
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
	entry := roster.Entry{
		ID: u.id, Service: u.service, Address: u.way.Address(), DataCentre: "here", Build: "v1", Slots: 8,
		State: roster.Ready, Sequence: u.sequence, StartedAt: u.born,
	}
	if !u.draining.IsZero() {
		entry.State = roster.Draining
	}
	body, err := platform.EncodeAnnouncement(entry)
	u.mu.Unlock()
	assert.NilError(u.world.t, err)
	return u.world.tellControl(http.MethodPut, platform.UpstreamPath(u.id), body)
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
	u.world.tellControl(http.MethodDelete, platform.UpstreamPath(u.id), nil)
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
	request, attempt := platform.ReadAttempt(r.Header)
	id := string(request)
	if tooLate {
		u.world.broken("request %s reached %s %s after it said that it leaves", id, u.id, time.Since(u.draining))
	}
	if attempt.Upstream != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if trouble && kind == 0 {
		platform.WriteAnswer(w.Header(), dialect.Answer{ID: request, NotRun: true}, "")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.world.ran(id, r, body)
	if u.failsAsAsked(r, id) {
		return
	}
	platform.WriteAnswer(w.Header(), dialect.Answer{ID: request}, string(u.id)+"."+id)
	if trouble && kind == 1 {
		panic(http.ErrAbortHandler)
	}
	if trouble && kind == 2 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if u.service == chatService {
		u.stream(w, r, id, attempt.LastEventID, trouble)
		return
	}
	_, _ = w.Write(bytes.Repeat([]byte(id+"\n"), 20)) // a caller may have gone
}

// What a caller may ask of the upstream that runs its request, as the end of the
// path.
const (
	pathBreaks    = "breaks"
	pathHangsOnce = "hangs-once"
)

// failsAsAsked breaks off or hangs, if the path asks for it.
func (u *upstream) failsAsAsked(r *http.Request, id string) bool {
	switch {
	case strings.HasSuffix(r.URL.Path, pathBreaks):
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(r.URL.Path, pathHangsOnce) && u.world.timesRun(id) == 1:
		<-r.Context().Done()
		return true
	}
	return false
}

// stream sends events from the one behind the last that the caller has.
func (u *upstream) stream(w http.ResponseWriter, r *http.Request, id, lastEvent string, trouble bool) {
	first, _ := strconv.Atoi(lastEvent) // none is 0
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

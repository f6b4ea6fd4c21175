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

// eventsPerStream is the number of events in a stream, eventPause the time between
// two events, and announceInterval the time between two announcements.
const (
	eventsPerStream  = 8
	eventPause       = 15 * time.Millisecond
	announceInterval = 250 * time.Millisecond
)

// upstream is a stand-in for an upstream that speaks the platform's protocol.
type upstream struct {
	harness    *harness
	id         protocol.UpstreamID
	service    protocol.Service
	dataCentre protocol.DataCentre
	build      string
	server     *http.Server
	proxy      *relay.Relay
	startedAt  int64

	mu       sync.Mutex
	sequence uint64
	draining time.Time // when the upstream started to leave, or zero
	ended    bool
	faulty   bool // about a third of the requests fail
	bad      bool // some answers stop midway or never end
	silent   bool // it announces itself no more
	busy     bool // all requests are refused with a Retry-After
	leaving  bool // answers say that the upstream leaves, its announcements don't
	refusals []*refusal
	fragile  *fragility // nil if the upstream isn't fragile
	slots    *slots     // nil if the upstream isn't slow
	random   *rand.Rand
	quit     chan struct{}
}

// startUpstream starts an upstream that announces itself to the disk VMs.
func (h *harness) startUpstream(service protocol.Service) *upstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(h.t, err)
	proxy, err := relay.StartIdentified("127.0.0.1:0", listener.Addr().String(), h.nameOf)
	assert.NilError(h.t, err)
	build := h.buildFor(service)
	h.mu.Lock()
	h.nextUpstream++
	u := &upstream{
		harness: h, build: build, id: protocol.UpstreamID(fmt.Sprintf("u%d", h.nextUpstream)), service: service, dataCentre: dataCentreOf(h.nextUpstream), proxy: proxy, startedAt: time.Now().UnixMilli(),
		random: rand.New(rand.NewPCG(h.seed, uint64(h.nextUpstream))), quit: make(chan struct{}),
	}
	h.upstreams = append(h.upstreams, u)
	h.mu.Unlock()
	h.applyPaths(u)
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	go func() { _ = u.server.Serve(listener) }() // Serve returns when stop closes the server
	go u.announceLoop()
	return u
}

// announceLoop announces the upstream until it stops.
func (u *upstream) announceLoop() {
	for {
		if !u.isSilent() {
			u.announce()
		}
		select {
		case <-u.quit:
			return
		case <-time.After(announceInterval):
		}
	}
}

func (u *upstream) isSilent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.silent
}

// announce sends an announcement to one disk VM, or to another one if it doesn't
// accept it. It reports whether one accepted it.
func (u *upstream) announce() bool {
	u.mu.Lock()
	u.sequence++
	entry := roster.Entry{
		ID: u.id, Service: u.service, Address: u.proxy.Address(), DataCentre: u.dataCentre, Build: u.build, Slots: deskSlots,
		State: roster.Ready, Sequence: u.sequence, StartedAt: u.startedAt,
	}
	if !u.draining.IsZero() {
		entry.State = roster.Draining
	}
	body, err := platform.EncodeAnnouncement(entry)
	u.mu.Unlock()
	assert.NilError(u.harness.t, err)
	return u.harness.callDiskVM(http.MethodPut, platform.UpstreamPath(u.id), body)
}

// drain makes the upstream leave gracefully: it announces that it is draining, serves
// requests for leaveWithin and half a second more, leaves the roster, and stops.
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
	u.harness.callDiskVM(http.MethodDelete, platform.UpstreamPath(u.id), nil)
	u.stop()
}

// stop stops the upstream without a leave message, as when it crashes.
func (u *upstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return
	}
	u.ended = true
	close(u.quit)
	_ = u.server.Close()
	u.proxy.Close()
}

// serve runs a request, with the failures of a faulty upstream if it is one.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	tooLate := !u.draining.IsZero() && time.Since(u.draining) > leaveWithin+drainSlack
	fail := u.faulty && u.random.IntN(3) == 0
	// The failures are a refusal (0), a closed connection (1), status 500 (2) and, in
	// a stream only, an answer that breaks off (3).
	failure := u.random.IntN(4)
	busy, leaving := u.busy, u.leaving || !u.draining.IsZero()
	u.mu.Unlock()
	request, attempt := platform.ReadAttempt(r.Header)
	id := string(request)
	if tooLate {
		u.harness.violation("request %s reached %s %s after it announced that it leaves", id, u.id, time.Since(u.draining))
	}
	if attempt.Upstream != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.checkUnwanted(id)
	u.harness.noteArrival(u.service, id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if busy {
		platform.WriteAnswer(w.Header(), u.refuseBusy(id), "")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fail && failure == 0 {
		platform.WriteAnswer(w.Header(), dialect.Answer{ID: request, NotRun: true}, "")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	leave := u.enterFragile(w, request)
	if leave == nil {
		return
	}
	defer leave()
	if !u.enterSlot(w, request) {
		return
	}
	u.harness.checkNotEvacuated(u, id)
	u.harness.recordRun(id, r, body)
	if u.failOnRequest(r, id) {
		return
	}
	if bad, drawn := u.drawBadAnswer(); drawn {
		u.sendBadly(w, id, bad)
		return
	}
	crashes := u.crashes(r, id)
	platform.WriteAnswer(w.Header(), dialect.Answer{ID: request, Leaving: leaving, Fragile: u.fragileCount()}, string(u.id)+"."+id)
	if crashes {
		u.crash(w)
	}
	if fail && failure == 1 {
		panic(http.ErrAbortHandler)
	}
	if fail && failure == 2 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if u.service == chatService {
		u.stream(w, r, id, attempt.LastEventID, fail)
		return
	}
	_, _ = w.Write(bytes.Repeat([]byte(id+"\n"), 20)) // the error is ignored: the caller may have disconnected
}

// The ends of paths by which a caller requests a failure of the upstream: it closes
// the connection, or it hangs at the first attempt.
const (
	pathBreaks    = "breaks"
	pathHangsOnce = "hangs-once"
)

// failOnRequest closes the connection or hangs if the path requests it. It returns
// true if the request has hung until its connection was closed.
func (u *upstream) failOnRequest(r *http.Request, id string) bool {
	switch {
	case strings.HasSuffix(r.URL.Path, pathBreaks):
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(r.URL.Path, pathHangsOnce) && u.harness.timesRun(id) == 1:
		<-r.Context().Done()
		return true
	}
	return false
}

// stream sends the events after lastEvent, which is the last one that the caller has.
// If fail is set, it breaks off within the third event.
func (u *upstream) stream(w http.ResponseWriter, r *http.Request, id, lastEvent string, fail bool) {
	first, _ := strconv.Atoi(lastEvent) // 0 if there is none
	w.Header().Set("Content-Type", "text/event-stream")
	events := u.newEventWriter(w)
	defer events.close()
	for n := first + 1; n <= eventsPerStream; n++ {
		if fail && n == first+3 {
			_, _ = io.WriteString(events, "id: 9")
			events.breakOff()
			return
		}
		if _, err := fmt.Fprintf(events, "id: %d\ndata: %s %d %s\n\n", n, id, n, u.build); err != nil {
			return
		}
		events.flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

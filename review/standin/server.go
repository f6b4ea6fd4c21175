package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// serverSlots is how many requests a server works on at a time.
	serverSlots = 6
	// workTime is how long a request takes, answerBytes how long its answer is.
	workTime    = 15 * time.Millisecond
	answerBytes = 800
	// eventCount is how many events a stream has, eventPause the time between two.
	eventCount = 8
	eventPause = 20 * time.Millisecond
)

// run is one request that a server began to work on.
type run struct {
	attempt string
	order   string
	at      time.Time
}

// server is a stand-in for a server of one of the services, as PROTOCOL.md describes it.
type server struct {
	play    *play
	fleet   *fleet
	service string
	id      string
	ip      string
	number  int
	slots   chan struct{}
	http    *http.Server
	quit    chan struct{}
	// fails says whether the server fails to finish the answer to a request. Nil stands for never.
	fails func() bool

	sequence atomic.Int64
	left     atomic.Bool

	mu   sync.Mutex
	runs []run
}

// startServers starts the servers of both services: the first serverCount are the order desk's, the
// others the model servers'.
func startServers(f *fleet) []*server {
	var servers []*server
	for number := range 2 * serverCount {
		service := deskName
		if number >= serverCount {
			service = poolName
		}
		servers = append(servers, startServer(f, service, number))
	}
	return servers
}

// startServer starts a server and its heartbeats.
func startServer(f *fleet, service string, number int) *server {
	s := &server{
		play: f.play, fleet: f, service: service, number: number, id: fmt.Sprintf("i-%d-%d", number, time.Now().UnixNano()),
		ip: fmt.Sprintf("127.0.0.%d", 31+number), slots: make(chan struct{}, serverSlots), quit: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", s.address())
	f.play.require(err, "start a server")
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	go s.sendHeartbeats()
	f.play.note("server %s of %s starts at %s", s.id, service, s.address())
	return s
}

func (s *server) address() string { return fmt.Sprintf("%s:%d", s.ip, s.fleet.ports.server) }

// sendHeartbeats announces the server until it leaves.
func (s *server) sendHeartbeats() {
	for !s.left.Load() {
		s.announce()
		select {
		case <-s.quit:
			return
		case <-time.After(heartbeat):
		}
	}
}

// announce sends one heartbeat, to the next node if one doesn't acknowledge it.
func (s *server) announce() {
	body, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address(), "zone": zones[s.number%len(zones)], "version": "v1", "slots": serverSlots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": s.sequence.Add(1),
	})
	if err != nil {
		panic(err)
	}
	for i := range diskVMCount {
		m := s.fleet.diskVMs[(s.number+i)%diskVMCount]
		status, err := call(http.MethodPut, "http://"+m.at(s.fleet.ports.control)+"/instances/"+s.id, body)
		if err == nil && status/100 == 2 {
			return
		}
	}
}

// leave says once to one machine that the server leaves, and returns whether that was acknowledged.
func (s *server) leave(m *machine) bool {
	s.left.Store(true)
	status, err := call(http.MethodDelete, "http://"+m.at(s.fleet.ports.control)+"/instances/"+s.id, nil)
	return err == nil && status/100 == 2
}

// stop ends the server.
func (s *server) stop() {
	close(s.quit)
	_ = s.http.Close()
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	order := strings.TrimSpace(string(body))
	s.mu.Lock()
	s.runs = append(s.runs, run{attempt, order, time.Now()})
	s.mu.Unlock()
	s.play.note("server %s runs attempt %s of %s (Deadline-Ms %s)", s.id, attempt, order, r.Header.Get("Deadline-Ms"))
	time.Sleep(workTime)
	w.Header().Set("Server-Signature", s.id+"."+attempt)
	fails := s.fails != nil && s.fails()
	if s.service == poolName {
		s.stream(w, r, attempt, fails)
		return
	}
	s.answer(w, r, attempt, fails)
}

// answer sends the answer, or the head and half of the body if the server fails.
func (s *server) answer(w http.ResponseWriter, r *http.Request, attempt string, fails bool) {
	text := strings.Repeat(attempt+" ", answerBytes/(len(attempt)+1)+1)[:answerBytes]
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	w.WriteHeader(http.StatusOK)
	if !fails {
		_, _ = io.WriteString(w, text)
		return
	}
	s.play.note("server %s sends attempt %s the head and half of its answer, and no more", s.id, attempt)
	_, _ = io.WriteString(w, text[:answerBytes/2])
	s.stopMidway(w, r)
}

// stream sends a stream of events, or stops in the middle of its first one if the server fails.
func (s *server) stream(w http.ResponseWriter, r *http.Request, attempt string, fails bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for number := 1; number <= eventCount; number++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, attempt)
		if fails {
			s.play.note("server %s stops in the middle of the first event of attempt %s", s.id, attempt)
			_, _ = io.WriteString(w, event[:len(event)/2])
			s.stopMidway(w, r)
		}
		_, _ = io.WriteString(w, event)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

// stopMidway sends what was written and nothing more, until the connection is closed.
func (s *server) stopMidway(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).Flush()
	select {
	case <-r.Context().Done():
	case <-s.quit:
	}
	panic(http.ErrAbortHandler)
}

// runsAfter returns what the server began to work on after a time.
func (s *server) runsAfter(at time.Time) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []run
	for _, r := range s.runs {
		if r.at.After(at) {
			found = append(found, r)
		}
	}
	return found
}

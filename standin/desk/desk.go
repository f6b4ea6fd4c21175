// Package desk is a stand-in for an order desk: an upstream whose requests are
// orders, which may run at most once.
//
// POST on a path that ends in /orders runs an order. The desk doesn't detect a
// duplicate. It records every run, so that GET /audit shows an order that ran
// twice or not at all. The answer depends only on the key and the body, so a
// caller can check that it got its own answer.
//
// Server serves the desk over HTTP. Its Faults are the failures that leave a
// router unsure whether an order ran: a crash before or after the run, an answer
// that is lost after the run, a slow run, and a connection that goes silent
// without being closed.
package desk

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/standin/host"
)

// OrdersSuffix is the end of every path that accepts orders.
const OrdersSuffix = "/orders"

// The capacity and the concurrency limit that a desk announces.
const (
	deskCapacity      = 1000
	deskMaxConcurrent = 64
)

// Settings are the settings of one desk.
type Settings struct {
	ID         protocol.UpstreamID
	Service    protocol.Service
	DataCentre protocol.DataCentre
	// Listen is the host:port to serve on.
	Listen string
	// Announce holds the addresses at which routers take announcements, host:port.
	Announce []string
	// Journal is the file that keeps the runs across restarts. If it is empty,
	// runs are kept in memory only.
	Journal string
	// Seed seeds the random source of the faults that have a probability.
	Seed   uint64
	Faults Faults
	// OnCrash is called when a fault crashes the desk. If it is nil, the desk
	// closes its listener and connections instead and restarts after RestartAfter,
	// or never if that is zero.
	OnCrash      func()
	RestartAfter time.Duration
}

// Faults are the failures that a desk can simulate. POST /faults takes any
// subset of the fields as JSON, and GET /faults returns all of them.
type Faults struct {
	// SlowMs delays each run, in milliseconds.
	SlowMs int `json:"slow_ms"`
	// LoseAnswer is the probability that an order runs and its connection is
	// closed without an answer.
	LoseAnswer float64 `json:"lose_answer"`
	// CrashBefore and CrashAfter are the probabilities of a crash before and
	// after a run.
	CrashBefore float64 `json:"crash_before"`
	CrashAfter  float64 `json:"crash_after"`
	// Silent makes every request hang without closing the connection.
	Silent bool `json:"silent"`
	// SilentAfter makes every request hang without an answer after its order has
	// run.
	SilentAfter bool `json:"silent_after"`
	// ForgetOpen makes the connections that are open at this moment hang for good.
	// It is an action, not a state, and reads back as false.
	ForgetOpen bool `json:"forget_open,omitempty"`
	// Mute stops the announcements.
	Mute bool `json:"mute"`
	// Leaving announces that the desk accepts no more orders.
	Leaving bool `json:"leaving"`
}

// Answer is the body of a desk's answer to an order.
type Answer struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
	Status string `json:"status"`
}

// AnswerFor returns the answer to an order. Every run of the order gives the same
// answer.
func AnswerFor(key string, body []byte) Answer {
	digest := fmt.Sprintf("%016x", xxhash.Sum64(body))
	return Answer{Key: key, Digest: digest, Status: "accepted"}
}

// Server serves a desk over HTTP.
type Server struct {
	settings  Settings
	host      *host.Host
	lifecycle *host.Lifecycle
	ready     chan struct{} // closed once host is set
	stop      context.CancelFunc
	stopped   sync.WaitGroup

	mu      sync.Mutex
	faults  Faults
	ledger  *ledger
	rng     *rand.Rand
	running int
}

// Start serves a desk and announces it to the routers until Close.
func Start(settings Settings) (*Server, error) {
	ledger, err := openLedger(settings.Journal)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		settings: settings,
		ready:    make(chan struct{}),
		stop:     stop,
		faults:   settings.Faults,
		ledger:   ledger,
		rng:      rand.New(rand.NewPCG(settings.Seed, 0)),
	}
	h, err := host.Listen(settings.Listen, s.routes())
	if err != nil {
		stop()
		ledger.close()
		return nil, err
	}
	s.host = h
	s.lifecycle = host.NewLifecycle(h, settings.OnCrash, settings.RestartAfter)
	h.SetSilent(settings.Faults.Silent)
	close(s.ready)
	s.stopped.Add(1)
	go s.announce(ctx)
	return s, nil
}

// Address returns the host:port that the desk serves on.
func (s *Server) Address() string { return s.host.Address() }

// Close stops the desk immediately, as when its process dies.
func (s *Server) Close() {
	s.stop()
	s.host.Close()
	s.stopped.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.close()
}

// Shutdown stops the desk gracefully: it announces that the desk is leaving, waits
// for the orders in flight until ctx ends, and sends the leave message.
func (s *Server) Shutdown(ctx context.Context) {
	faults := s.Faults()
	faults.Leaving = true
	s.SetFaults(faults)
	announcer := host.Announcer{Routers: s.settings.Announce, BuildAnnouncement: s.announcement}
	announcer.DrainAndLeave(ctx, func(ctx context.Context) { _ = s.host.Shutdown(ctx) })
	s.Close()
}

// Audit returns all runs so far.
func (s *Server) Audit() Audit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.audit(string(s.settings.ID))
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) {
	if faults.ForgetOpen {
		s.host.ForgetOpen()
	}
	faults.ForgetOpen = false
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	s.host.SetSilent(faults.Silent)
}

// announce announces the desk to the routers until ctx ends.
func (s *Server) announce(ctx context.Context) {
	defer s.stopped.Done()
	announcer := host.Announcer{Routers: s.settings.Announce, BuildAnnouncement: s.announcement}
	announcer.Run(ctx)
}

// announcement builds the next announcement. It returns false while the desk is
// muted or down.
func (s *Server) announcement() (upstreamapi.Announcement, bool) {
	incarnation, sequence, up := s.lifecycle.NextSequence()
	s.mu.Lock()
	defer s.mu.Unlock()
	return upstreamapi.Announcement{
		ID:            s.settings.ID,
		Incarnation:   incarnation,
		Sequence:      sequence,
		Kind:          upstreamapi.KindService,
		Address:       s.host.Address(),
		DataCentre:    s.settings.DataCentre,
		Service:       s.settings.Service,
		Capacity:      deskCapacity,
		MaxConcurrent: deskMaxConcurrent,
		Leaving:       s.faults.Leaving,
		Load:          upstreamapi.Load{Running: s.running},
	}, up && !s.faults.Mute
}

// routes returns the handler of the desk's paths. The control paths stay reachable
// while the desk is silent.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) {
		<-s.ready
		s.host.Gated(s.servePost)(w, r)
	})
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, s.Audit())
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		faults := s.Faults()
		if !host.ReadJSON(w, r, &faults) {
			return
		}
		s.SetFaults(faults)
		host.WriteJSON(w, http.StatusOK, s.Faults())
	})
	return mux
}

// servePost runs orders and refuses POST on all other paths.
func (s *Server) servePost(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, host.MaxBody))
	if err != nil {
		return
	}
	if !strings.HasSuffix(r.URL.Path, OrdersSuffix) {
		host.WriteError(w, http.StatusNotFound, "no-such-path", "orders are taken at "+OrdersSuffix)
		return
	}
	key := r.Header.Get(protocol.IdempotencyKeyHeader)
	if key == "" {
		w.Header().Set(protocol.RunOutcomeHeader, string(protocol.NotRun))
		host.WriteError(w, http.StatusBadRequest, "no-key", "an order needs an "+protocol.IdempotencyKeyHeader)
		return
	}
	s.runOrder(w, r, key, body)
}

// runOrder runs one order with the faults that are in force when it starts.
func (s *Server) runOrder(w http.ResponseWriter, r *http.Request, key string, body []byte) {
	faults := s.beginRun()
	defer s.endRun()
	if s.occurs(faults.CrashBefore) {
		s.lifecycle.Crash(func() {})
		return
	}
	time.Sleep(time.Duration(faults.SlowMs) * time.Millisecond)
	answer := AnswerFor(key, body)
	run := Run{Key: key, Digest: answer.Digest, Request: r.Header.Get(protocol.RequestIDHeader)}
	if err := s.recordRun(run); err != nil {
		host.WriteError(w, http.StatusInternalServerError, "journal", err.Error())
		return
	}
	switch {
	case s.occurs(faults.CrashAfter):
		s.lifecycle.Crash(func() {})
	case s.occurs(faults.LoseAnswer):
		// This panic makes net/http close the connection without an answer.
		panic(http.ErrAbortHandler)
	case faults.SilentAfter:
		<-r.Context().Done()
	case s.host.WaitWhileSilent(r.Context()) == nil:
		host.WriteJSON(w, http.StatusOK, answer)
	}
}

// beginRun counts an order as running and returns the faults in force.
func (s *Server) beginRun() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	return s.faults
}

func (s *Server) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) recordRun(run Run) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.add(run)
}

// occurs decides at random whether a fault of the given probability occurs.
func (s *Server) occurs(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return probability > 0 && s.rng.Float64() < probability
}

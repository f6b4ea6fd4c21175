// Package desk is a small order desk: a plain service whose orders may not be
// repeated.
//
// POST on a path that ends in /orders runs an order. The desk does not
// recognise a repetition; it records every run, so that GET /audit shows an
// order that ran twice or not at all. The answer depends on the key and the
// body alone, so a caller can check that it got its own.
//
// Its faults cover the moments at which a router can lose track of an order:
// a crash before the run, a crash after it, an answer that is lost after the
// run, a slow run, and silence without closing.
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

// OrdersSuffix ends the paths that take orders.
const OrdersSuffix = "/orders"

// Capacity and concurrency that a desk announces.
const (
	deskCapacity      = 1000
	deskMaxConcurrent = 64
)

// Settings describe one server of the desk.
type Settings struct {
	ID         protocol.UpstreamID
	Service    protocol.Service
	DataCentre protocol.DataCentre
	// Listen is the host:port to serve on.
	Listen string
	// Announce holds the routers' upstream addresses, host:port.
	Announce []string
	// Journal is the file that keeps runs over a restart; empty for none.
	Journal string
	// Seed drives the faults that strike with a probability.
	Seed   uint64
	Faults Faults
	// OnCrash and RestartAfter work as those of an engine.
	OnCrash      func()
	RestartAfter time.Duration
}

// Faults are what a desk can be made to do wrong. POST /faults takes any
// subset of the fields as JSON and GET /faults returns them all.
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
	// Silent hangs every request without closing.
	Silent bool `json:"silent"`
	// SilentAfter runs orders and then hangs without an answer.
	SilentAfter bool `json:"silent_after"`
	// ForgetOpen hangs the connections open at this moment for good. It reads
	// back as false.
	ForgetOpen bool `json:"forget_open,omitempty"`
	// Mute stops the announcements.
	Mute bool `json:"mute"`
	// Leaving announces that the desk takes no more work.
	Leaving bool `json:"leaving"`
}

// Answer is the body of a desk's answer to an order.
type Answer struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
	Status string `json:"status"`
}

// AnswerFor returns the answer to an order, the same at every run of it.
func AnswerFor(key string, body []byte) Answer {
	digest := fmt.Sprintf("%016x", xxhash.Sum64(body))
	return Answer{Key: key, Digest: digest, Status: "accepted"}
}

// Server is a desk behind HTTP.
type Server struct {
	settings Settings
	host     *host.Host
	life     *host.Life
	ready    chan struct{} // closed once host is set
	stop     context.CancelFunc
	stopped  sync.WaitGroup

	mu      sync.Mutex
	faults  Faults
	ledger  *ledger
	rng     *rand.Rand
	running int
}

// Start serves a desk and announces it until Close.
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
	s.life = host.NewLife(h, settings.OnCrash, settings.RestartAfter)
	h.SetSilent(settings.Faults.Silent)
	close(s.ready)
	s.stopped.Add(1)
	go s.announce(ctx)
	return s, nil
}

// Address returns the host:port that the desk serves on.
func (s *Server) Address() string { return s.host.Address() }

// Close ends the desk at once, as the end of a process does.
func (s *Server) Close() {
	s.stop()
	s.host.Drop()
	s.stopped.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.close()
}

// Shutdown ends the desk gracefully: it announces that it is leaving, waits
// for the orders in flight until ctx ends, and says goodbye.
func (s *Server) Shutdown(ctx context.Context) {
	faults := s.Faults()
	faults.Leaving = true
	s.SetFaults(faults)
	announcer := host.Announcer{Targets: s.settings.Announce, Build: s.announcement}
	announcer.Depart(ctx, func(ctx context.Context) { _ = s.host.Shutdown(ctx) })
	s.Close()
}

// Audit returns every run so far.
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

// SetFaults puts faults in force.
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

// announce tells the routers about the desk until ctx ends.
func (s *Server) announce(ctx context.Context) {
	defer s.stopped.Done()
	announcer := host.Announcer{Targets: s.settings.Announce, Build: s.announcement}
	announcer.Run(ctx)
}

// announcement builds the next announcement; ok is false while the desk is
// mute or down.
func (s *Server) announcement() (upstreamapi.Announcement, bool) {
	incarnation, sequence, up := s.life.Stamp()
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

// routes maps the desk's paths.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) {
		<-s.ready
		s.host.Gated(s.post)(w, r)
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

// post serves orders and refuses everything else.
func (s *Server) post(w http.ResponseWriter, r *http.Request) {
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
	s.run(w, r, key, body)
}

// run runs one order under the faults in force.
func (s *Server) run(w http.ResponseWriter, r *http.Request, key string, body []byte) {
	faults := s.enter()
	defer s.leave()
	if s.strikes(faults.CrashBefore) {
		s.life.Crash(func() {})
		return
	}
	time.Sleep(time.Duration(faults.SlowMs) * time.Millisecond)
	answer := AnswerFor(key, body)
	run := Run{Key: key, Digest: answer.Digest, Request: r.Header.Get(protocol.RequestIDHeader)}
	if err := s.record(run); err != nil {
		host.WriteError(w, http.StatusInternalServerError, "journal", err.Error())
		return
	}
	switch {
	case s.strikes(faults.CrashAfter):
		s.life.Crash(func() {})
	case s.strikes(faults.LoseAnswer):
		// The idiom of net/http to close the connection without an answer.
		panic(http.ErrAbortHandler)
	case faults.SilentAfter:
		<-r.Context().Done()
	case s.host.Pass(r.Context()) == nil:
		host.WriteJSON(w, http.StatusOK, answer)
	}
}

func (s *Server) enter() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	return s.faults
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) record(run Run) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.add(run)
}

// strikes draws whether a fault of the given probability happens.
func (s *Server) strikes(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return probability > 0 && s.rng.Float64() < probability
}

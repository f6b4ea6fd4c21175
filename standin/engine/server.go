package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/standin/host"
)

// Server is an engine behind HTTP.
type Server struct {
	settings Settings
	host     *host.Host
	life     *host.Life
	ready    chan struct{} // closed once host is set
	epoch    time.Time
	wake     chan struct{}   // tells the driver that the core has changed
	ctx      context.Context // ends with Close
	stop     context.CancelFunc
	stopped  sync.WaitGroup

	mu      sync.Mutex
	core    *Core
	faults  Faults
	streams map[JobID]*stream
}

// Start serves an engine and announces it until Close.
func Start(settings Settings) (*Server, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		settings: settings,
		ready:    make(chan struct{}),
		epoch:    time.Now(),
		wake:     make(chan struct{}, 1),
		ctx:      ctx,
		stop:     stop,
		faults:   settings.Faults,
	}
	s.reset()
	h, err := host.Listen(settings.Listen, s.routes())
	if err != nil {
		stop()
		return nil, err
	}
	s.host = h
	s.life = host.NewLife(h, settings.OnCrash, settings.RestartAfter)
	h.SetSilent(settings.Faults.Silent)
	close(s.ready)
	s.stopped.Add(2)
	go s.drive(ctx)
	go s.announce(ctx)
	return s, nil
}

// Address returns the host:port that the engine serves on.
func (s *Server) Address() string { return s.host.Address() }

// Close ends the engine at once, as the end of a process does.
func (s *Server) Close() {
	s.stop()
	s.host.Drop()
	s.stopped.Wait()
}

// Shutdown ends the engine gracefully: it announces that it is leaving, waits
// for the requests in flight until ctx ends, and says goodbye.
func (s *Server) Shutdown(ctx context.Context) {
	faults := s.Faults()
	faults.Leaving = true
	s.SetFaults(faults)
	announcer := host.Announcer{Targets: s.settings.Announce, Build: s.announcement}
	announcer.Depart(ctx, s.drain)
	s.Close()
}

// drain waits until no request is in flight.
func (s *Server) drain(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.inFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// drainPoll is how often a graceful end looks whether the work has ended.
const drainPoll = 20 * time.Millisecond

func (s *Server) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// now is the time since the server's start, on the monotonic clock.
func (s *Server) now() time.Duration { return time.Since(s.epoch) }

// reset makes a new core, as a new process has one.
func (s *Server) reset() {
	var counters Counters
	if s.core != nil {
		counters = s.core.counters
	}
	rng := rand.New(rand.NewPCG(s.settings.Seed, 0))
	s.core = NewCore(s.settings.Model, s.faults, s.settings.Models, s.settings.Role, rng)
	s.core.sharedStore = s.settings.WeightStore != ""
	s.core.counters = counters
	s.streams = make(map[JobID]*stream)
}

// drive ends the core's iterations when they are due.
func (s *Server) drive(ctx context.Context) {
	defer s.stopped.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		at, ok := s.step()
		if ok {
			timer.Reset(at - s.now())
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
		}
	}
}

// step advances the core and hands its events to the streams. It returns when
// the next iteration ends.
func (s *Server) step() (time.Duration, bool) {
	s.mu.Lock()
	crashed := false
	for _, event := range s.core.Advance(s.now()) {
		if event.Kind == EngineCrashed {
			crashed = true
			continue
		}
		if target := s.streams[event.Job]; target != nil {
			target.progress(event)
		}
	}
	at, ok := s.core.Next()
	s.mu.Unlock()
	if crashed {
		s.crash()
		return 0, false
	}
	return at, ok
}

// crash ends the process, or drops everything and may come back later.
func (s *Server) crash() {
	s.life.Crash(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reset()
	})
}

// nudge makes the driver look at the core again.
func (s *Server) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// announce tells the routers about the engine until ctx ends.
func (s *Server) announce(ctx context.Context) {
	defer s.stopped.Done()
	announcer := host.Announcer{Targets: s.settings.Announce, Build: s.announcement}
	announcer.Run(ctx)
}

// announcement builds the next announcement; ok is false while the engine is
// mute or down.
func (s *Server) announcement() (upstreamapi.Announcement, bool) {
	incarnation, sequence, up := s.life.Stamp()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Mute || !up {
		return upstreamapi.Announcement{}, false
	}
	now := s.now()
	return upstreamapi.Announcement{
		ID:            s.settings.ID,
		Incarnation:   incarnation,
		Sequence:      sequence,
		Kind:          upstreamapi.KindEngine,
		Address:       s.host.Address(),
		DataCentre:    s.settings.DataCentre,
		Models:        s.core.control.readyModels(now),
		Role:          s.core.control.role,
		Capacity:      s.settings.Model.Capacity(),
		MaxConcurrent: s.settings.Model.MaxBatch,
		ChecksFence:   !s.faults.IgnoreFence,
		Leaving:       s.faults.Leaving,
		Load:          s.core.LaggedLoad(now),
		Cache:         s.core.TakeEvents(now),
	}, true
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults puts faults in force.
func (s *Server) SetFaults(faults Faults) {
	crash, forget := faults.Crash, faults.ForgetOpen
	faults.Crash, faults.ForgetOpen = false, false
	s.mu.Lock()
	s.faults = faults
	s.core.SetFaults(s.now(), faults)
	s.mu.Unlock()
	s.host.SetSilent(faults.Silent)
	if forget {
		s.host.ForgetOpen()
	}
	if crash {
		s.crash()
		return
	}
	s.nudge()
}

// Stats is the answer to GET /stats.
type Stats struct {
	ID       protocol.UpstreamID `json:"id"`
	Load     upstreamapi.Load    `json:"load"`
	Counters Counters            `json:"counters"`
	// CacheTokens is what the cache holds now.
	CacheTokens int `json:"cache_tokens"`
}

// Stats returns the engine's load and totals at this moment, without lag.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		ID:          s.settings.ID,
		Load:        s.core.Load(),
		Counters:    s.core.Counters(),
		CacheTokens: s.core.cache.used,
	}
}

// routes maps the engine's paths. Those that tests steer by stay reachable
// while the engine is silent.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	gated := func(pattern string, handler http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			<-s.ready
			s.host.Gated(handler)(w, r)
		})
	}
	gated("POST "+upstreamapi.CompletionsPath, s.complete)
	gated("POST "+upstreamapi.CancelPath, s.cancel)
	gated("POST "+upstreamapi.ExportPath, s.export)
	gated("POST "+upstreamapi.ImportPath, s.importCache)
	gated("POST "+upstreamapi.OrderPath, s.order)
	gated("GET "+upstreamapi.StatePath, s.state)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, s.Stats())
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

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

// Server serves an engine over HTTP.
type Server struct {
	settings  Settings
	host      *host.Host
	lifecycle *host.Lifecycle
	ready     chan struct{} // closed once host is set
	epoch     time.Time
	wake      chan struct{}   // wakes the driver when the core has changed
	ctx       context.Context // ends with Close
	stop      context.CancelFunc
	stopped   sync.WaitGroup

	mu      sync.Mutex
	core    *Core
	faults  Faults
	streams map[JobID]*stream
}

// Start serves an engine and announces it to the routers until Close.
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
	s.lifecycle = host.NewLifecycle(h, settings.OnCrash, settings.RestartAfter)
	h.SetSilent(settings.Faults.Silent)
	close(s.ready)
	s.stopped.Add(2)
	go s.drive(ctx)
	go s.announce(ctx)
	return s, nil
}

// Address returns the host:port that the engine serves on.
func (s *Server) Address() string { return s.host.Address() }

// Close stops the engine immediately, as when its process dies.
func (s *Server) Close() {
	s.stop()
	s.host.Close()
	s.stopped.Wait()
}

// Shutdown stops the engine gracefully: it announces that the engine is leaving,
// waits for the requests in flight until ctx ends, and sends the leave message.
func (s *Server) Shutdown(ctx context.Context) {
	faults := s.Faults()
	faults.Leaving = true
	s.SetFaults(faults)
	announcer := host.Announcer{Routers: s.settings.Announce, BuildAnnouncement: s.announcement}
	announcer.DrainAndLeave(ctx, s.drain)
	s.Close()
}

// drain waits until no request is in flight or ctx ends.
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

// drainPoll is how often drain checks whether requests are still in flight.
const drainPoll = 20 * time.Millisecond

func (s *Server) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// now returns the time since the server's start, on the monotonic clock.
func (s *Server) now() time.Duration { return time.Since(s.epoch) }

// reset replaces the core by a new one, as a new process has it. Only the counters
// and the faults are kept. The caller holds the mutex, except in Start.
func (s *Server) reset() {
	var counters Counters
	if s.core != nil {
		counters = s.core.counters
	}
	rng := rand.New(rand.NewPCG(s.settings.Seed, 0))
	s.core = NewCore(s.settings.Model, s.faults, s.settings.Models, s.settings.Role, rng)
	s.core.usesWeightStore = s.settings.WeightStore != ""
	s.core.counters = counters
	s.streams = make(map[JobID]*stream)
}

// drive completes the core's iterations when they are due, until ctx ends.
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

// step advances the core and passes its events to the streams. It returns when the
// next iteration ends, and false if there is none.
func (s *Server) step() (time.Duration, bool) {
	s.mu.Lock()
	crashed := false
	for _, event := range s.core.Advance(s.now()) {
		if event.Kind == EngineCrashed {
			crashed = true
			continue
		}
		if target := s.streams[event.Job]; target != nil {
			target.update(event)
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

// crash simulates a crash of the engine's process, as Settings.OnCrash describes.
func (s *Server) crash() {
	s.lifecycle.Crash(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reset()
	})
}

// wakeDriver makes the driver check the core again.
func (s *Server) wakeDriver() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// announce announces the engine to the routers until ctx ends.
func (s *Server) announce(ctx context.Context) {
	defer s.stopped.Done()
	announcer := host.Announcer{Routers: s.settings.Announce, BuildAnnouncement: s.announcement}
	announcer.Run(ctx)
}

// announcement builds the next announcement. It returns false while the engine is
// muted or down.
func (s *Server) announcement() (upstreamapi.Announcement, bool) {
	incarnation, sequence, up := s.lifecycle.NextSequence()
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
		Models:        s.core.orderState.readyModels(now),
		Role:          s.core.orderState.role,
		Build:         s.settings.Build,
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

// SetFaults replaces the faults in force.
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
	s.wakeDriver()
}

// Stats is the reply to GET /stats.
type Stats struct {
	ID       protocol.UpstreamID `json:"id"`
	Load     upstreamapi.Load    `json:"load"`
	Counters Counters            `json:"counters"`
	// CacheTokens is the number of tokens in the cache.
	CacheTokens int `json:"cache_tokens"`
}

// Stats returns the engine's current load and totals, without lag.
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

// routes returns the handler of the engine's paths. The paths by which tests control
// the engine stay reachable while it is silent.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	gated := func(pattern string, handler http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			<-s.ready
			s.host.Gated(handler)(w, r)
		})
	}
	gated("POST "+upstreamapi.CompletionsPath, s.serveCompletions)
	gated("POST "+upstreamapi.CancelPath, s.serveCancel)
	gated("POST "+upstreamapi.ExportPath, s.serveExport)
	gated("POST "+upstreamapi.ImportPath, s.serveImport)
	gated("POST "+upstreamapi.OrderPath, s.serveOrder)
	gated("GET "+upstreamapi.StatePath, s.serveState)
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

package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// headerTimeout bounds a caller's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may be unused. Callers use
	// connections again that have been unused for a while, and a closed one
	// costs them a request, so it is far above what tables set.
	idleTimeout = 2 * time.Minute
	// announcementIdle is how long an upstream's connection may be unused: ten
	// times the interval between two announcements.
	announcementIdle = 12 * time.Second
	// maxHeaderBytes bounds a caller's header.
	maxHeaderBytes = 64 << 10
	// cutBefore is how long before the end of the grace what is still under
	// way is cut, so that the process ends by itself.
	cutBefore = 400 * time.Millisecond
)

// servers are the router's HTTP servers.
type servers struct {
	callers       *http.Server
	readiness     *http.Server
	announcements *http.Server
	metrics       *http.Server
}

// serve starts to listen.
func (r *Router) serve() error {
	listen := r.options.Settings.Listen
	r.servers.callers = &http.Server{
		Handler: http.HandlerFunc(r.answerCaller), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	r.servers.readiness = &http.Server{Handler: http.HandlerFunc(r.answerReadiness), ReadHeaderTimeout: headerTimeout}
	if err := r.start(r.servers.callers, listen.Callers); err != nil {
		return err
	}
	if err := r.start(r.servers.readiness, listen.Readiness); err != nil {
		return err
	}
	if listen.Announcements != "" {
		handler := r.options.AnnouncementHandler(r.takeAnnouncement)
		r.servers.announcements = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: announcementIdle}
		if err := r.start(r.servers.announcements, listen.Announcements); err != nil {
			return err
		}
	}
	if listen.Metrics == "" {
		return nil
	}
	r.servers.metrics = &http.Server{Handler: http.HandlerFunc(r.answerMetrics), ReadHeaderTimeout: headerTimeout}
	return r.start(r.servers.metrics, listen.Metrics)
}

// start runs one server.
func (r *Router) start(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen at %s", address)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			r.log.Error().Str("event", "server-ended").Str("address", address).Err(err).Send()
		}
	}()
	return nil
}

// answerCaller takes a caller's request. While the router stops, each answer ends
// its connection, so that callers open the next one elsewhere.
//
// Failure: idle connections are closed when the stop begins, and a caller's next
// request is on its way over one of them. It shows as a connection that ends
// without an answer, with nothing else wrong. The guard holds because connections
// are closed only behind an answer until the balancer has taken the router out.
func (r *Router) answerCaller(w http.ResponseWriter, request *http.Request) {
	if r.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	r.handler.ServeHTTP(w, request)
}

// answerReadiness tells the balancer whether to send callers here.
func (r *Router) answerReadiness(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	ready := r.ready()
	r.mu.Unlock()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// closeTracer sends the spans that wait, until a time.
func (r *Router) closeTracer(until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if err := r.options.Tracer.Close(ctx); err != nil {
		r.log.Warn().Str("event", "spans-lost").Err(err).Send()
	}
}

// Stop ends the router as planned: it says that it isn't ready, goes on until
// the balancer has seen that, and ends when the last answer is out, or shortly
// before the end of the grace. It reports whether all answers went out.
func (r *Router) Stop() bool {
	began := time.Now()
	r.leaving.Store(true)
	r.mu.Lock()
	r.follower.SetAnnounceAddress("")
	stop := r.settings.Stop
	r.mu.Unlock()
	r.log.Info().Str("event", "stopping").Int("active", r.handler.Active()).Send()
	time.Sleep(stop.Unready())
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(stop.Grace()-cutBefore))
	defer cancel()
	err := r.servers.callers.Shutdown(ctx)
	if err != nil {
		r.log.Error().Str("event", "answers-cut").Int("active", r.handler.Active()).Err(err).Send()
	}
	close(r.quit)
	r.done.Wait()
	r.fabric.Close()
	r.pool.Close()
	r.closeTracer(began.Add(stop.Grace()))
	r.log.Info().Str("event", "stopped").Dur("took_ms", time.Since(began)).Send()
	return err == nil
}

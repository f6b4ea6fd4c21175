package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/transport/admissionview"
	"endiveplank/transport/bounded"
	"endiveplank/transport/limited"
)

const (
	// headerTimeout is the most time that a caller may take to send its header.
	headerTimeout = 5 * time.Second
	// writeTimeout is how long a client may take to read a short answer. Answers of upstreams have
	// the time that is left to their requests.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may be idle. Callers reuse
	// connections that have been idle for a while, and reusing one that the router
	// has just closed costs them a request. It is therefore far above the timeouts
	// that tables set.
	idleTimeout = 2 * time.Minute
	// announcementIdleTimeout is how long an upstream's connection may be idle: ten
	// times the interval between two announcements.
	announcementIdleTimeout = 12 * time.Second
	// maxHeaderBytes bounds the size of a caller's header.
	maxHeaderBytes = 64 << 10
	// maxProxyHeadBytes bounds the headers of requests and answers between routers, which have
	// fields of their own besides those of the caller or the upstream.
	maxProxyHeadBytes = 2 * max(maxHeaderBytes, bounded.MaxHeadBytes)
	// shutdownMargin is how long before the end of the grace period the router cuts
	// the requests that are still in flight, so that the process ends by itself
	// before it is killed.
	shutdownMargin = 400 * time.Millisecond
	// answerMargin is how long before that the requests in flight are answered.
	answerMargin = 200 * time.Millisecond
)

// servers are the router's HTTP servers.
type servers struct {
	callers       *http.Server
	readiness     *http.Server
	announcements *http.Server
	// routers takes the requests that other routers send to upstreams through this one.
	routers *http.Server
	metrics *http.Server
}

// Shares of the process's file descriptors that the connections of each listener may have. Requests
// of callers and of other routers need another one each for their upstreams.
const (
	callerDescriptorShare       = 0.5
	announcementDescriptorShare = 0.1
	routerDescriptorShare       = 0.1
	peerDescriptorShare         = 0.2
	probeDescriptorShare        = 0.01
)

// serve starts the HTTP servers. It returns an error if an address can't be listened
// at.
func (r *Router) serve() error {
	listen := r.options.Settings.Listen
	r.servers.callers = &http.Server{
		Handler: http.HandlerFunc(r.serveCaller), ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	callers, err := r.startServer(r.servers.callers, listen.Callers, callerDescriptorShare, r.listenForCallers)
	if err != nil {
		return err
	}
	r.callers.listener = callers
	r.servers.readiness = newServer(http.HandlerFunc(r.serveReadiness))
	if _, err := r.startServer(r.servers.readiness, listen.Readiness, probeDescriptorShare, nil); err != nil {
		return err
	}
	if listen.Announcements != "" {
		r.servers.announcements = newServer(r.options.AnnouncementHandler(r.handleAnnouncement, r.countRefusedAnnouncement))
		r.servers.announcements.IdleTimeout = announcementIdleTimeout
		if _, err := r.startServer(r.servers.announcements, listen.Announcements, announcementDescriptorShare, nil); err != nil {
			return err
		}
	}
	if r.routersListen != "" {
		r.servers.routers = &http.Server{Handler: r.proxied, ReadHeaderTimeout: headerTimeout, IdleTimeout: headerTimeout, MaxHeaderBytes: maxProxyHeadBytes}
		if _, err := r.startServer(r.servers.routers, r.routersListen, routerDescriptorShare, nil); err != nil {
			return err
		}
	}
	if listen.Metrics == "" {
		return nil
	}
	r.servers.metrics = newServer(r.metricsHandler())
	_, err = r.startServer(r.servers.metrics, listen.Metrics, probeDescriptorShare, nil)
	return err
}

// newServer returns a server whose answers are short.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// metricsHandler serves the metrics at any path but admissionview.Path.
func (r *Router) metricsHandler() http.Handler {
	paths := http.NewServeMux()
	paths.HandleFunc("/", r.serveMetrics)
	paths.HandleFunc(admissionview.Path, r.serveAdmission)
	return paths
}

// startServer listens at an address, whose connections may have a share of the file descriptors, and
// serves it in the background. wrap wraps the listener, nil for no wrapper.
func (r *Router) startServer(server *http.Server, address string, share float64, wrap func(net.Listener) net.Listener) (*limited.Listener, error) {
	listener, err := limited.Open(address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", address)
	}
	if wrap != nil {
		listener = wrap(listener)
	}
	bounded := r.limits.Listen(listener, server, share)
	go func() {
		if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			r.log.Error().Str("event", "server-ended").Str("address", address).Err(err).Send()
		}
	}()
	return bounded, nil
}

// serveCaller handles a caller's request. While the router is stopping, it closes each
// connection after the answer, so that callers open the next one to another router.
//
// It guards against this failure: the router closes idle connections as soon as the stop
// begins, while a caller's next request is on its way over one of them. The caller then
// sees its connection end without an answer though nothing failed. Until the load balancer
// has removed the router, connections are therefore closed only after an answer.
func (r *Router) serveCaller(w http.ResponseWriter, request *http.Request) {
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	r.handler.ServeHTTP(w, request)
}

// serveReadiness tells the load balancer whether to send callers to this router.
func (r *Router) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	ready := r.ready()
	r.mu.Unlock()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// closeTracer sends the spans that are still queued, until the deadline.
func (r *Router) closeTracer(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := r.options.Tracer.Close(ctx); err != nil {
		r.log.Warn().Str("event", "spans-lost").Err(err).Send()
	}
}

// stopProxying waits for the answers to other routers' requests.
func (r *Router) stopProxying(ctx context.Context) error {
	if r.servers.routers == nil {
		return nil
	}
	return r.servers.routers.Shutdown(ctx)
}

// Stop shuts the router down gracefully. The router reports that it isn't ready, serves
// callers until the load balancer has noticed, from then on those whose deadline is before its
// end, and ends once the last answer is sent, or shortly before the end of the grace period, when it
// answers the requests that are left. Stop reports whether all answers of upstreams were sent.
func (r *Router) Stop() bool {
	began := time.Now()
	r.stopping.Store(true)
	r.mu.Lock()
	r.follower.SetAnnounceAddress("")
	stop := r.settings.Stop
	r.mu.Unlock()
	r.log.Info().Str("event", "stopping").Int("active", r.handler.Active()).Send()
	time.Sleep(stop.Unready())
	end := began.Add(stop.Grace() - shutdownMargin)
	r.handler.EndAt(end.Add(-answerMargin))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := r.servers.callers.Shutdown(ctx)
	if proxiedErr := r.stopProxying(ctx); err == nil {
		err = proxiedErr
	}
	unfinished := r.handler.Unfinished()
	if err != nil || unfinished > 0 {
		r.log.Error().Str("event", "answers-cut").Int("active", r.handler.Active()).Int("proxied", r.proxied.Active()).
			Int("unfinished", unfinished).Err(err).Send()
	}
	close(r.quit)
	r.done.Wait()
	r.fabric.Close()
	r.pool.Close()
	r.proxyPool.Close()
	r.closeServers()
	r.closeTracer(began.Add(stop.Grace()))
	r.log.Info().Str("event", "stopped").Dur("took_ms", time.Since(began)).Send()
	return err == nil && unfinished == 0
}

// closeServers closes what still listens after the last answer.
func (r *Router) closeServers() {
	for _, server := range []*http.Server{r.servers.readiness, r.servers.announcements, r.servers.metrics} {
		if server == nil {
			continue
		}
		if err := server.Close(); err != nil {
			r.log.Warn().Str("event", "server-not-closed").Err(err).Send()
		}
	}
}

package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/crashes"
	"endiveplank/coordination/reach"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/transport/exchange"
	"endiveplank/transport/forward"
	"endiveplank/transport/peerproxy"
)

const (
	// proxyIdle is how long an idle connection to a proxy is kept. It is shorter than the time
	// for which a stopping router still takes requests, so that no request goes over a
	// connection that the proxy is about to close.
	proxyIdle = 300 * time.Millisecond
	// maxTriedProxies is how many routers may be unable to send a request before it is tried over
	// this router's own connections, if none is known to be able. All routers may take the crash
	// of a few upstreams at once for the loss of their paths.
	maxTriedProxies = 2
	// proxyNeededFor is how long after a request that needed a proxy the router looks for more.
	proxyNeededFor = 2 * time.Second
	// proxyProbeTimeout bounds the wait for a router's answer whether it can be a proxy.
	proxyProbeTimeout = 500 * time.Millisecond
)

// setProxy sets the proxy of a choice that needs one. The choice stays without one if no router
// is known that can be it; the request is then tried over this router's own connections. The
// lock is held.
func (r *Router) setProxy(now time.Duration, choice *balance.Choice, tried []protocol.RouterID) {
	if !choice.NeedsProxy || r.routersListen == "" {
		return
	}
	r.proxyNeededAt = now
	if len(tried) >= maxTriedProxies && !r.proxies.AnyProven(now) {
		return
	}
	if id, found := r.proxies.Choose(now, r.random, tried); found {
		choice.Proxy, choice.ProxyAddress = id, r.proxyAddress(id)
	}
}

// proxyAddress returns where another router takes requests of this one: at the port that all
// routers of a fleet use for that.
func (r *Router) proxyAddress(id protocol.RouterID) string {
	host, _, hostErr := net.SplitHostPort(string(id))
	_, port, portErr := net.SplitHostPort(r.routersListen)
	if hostErr != nil || portErr != nil {
		panic("router: invariant broken: settings were checked and routers are named by their addresses")
	}
	return net.JoinHostPort(host, port)
}

// UpstreamReached implements forward.Fleet.
func (r *Router) UpstreamReached(choice balance.Choice, opened bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.paths.Answered(now, choice.ID)
	if opened {
		r.setConnected(now, choice.ID)
	}
	r.applyConfirmed(now)
}

// ProxyEnded implements forward.Fleet.
func (r *Router) ProxyEnded(proxy protocol.RouterID, carried bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if carried {
		r.proxies.Proven(r.now(), proxy)
		return
	}
	r.proxies.Unsuitable(r.now(), proxy)
}

// setConnected records that a connection to an upstream was opened. The lock is held.
func (r *Router) setConnected(now time.Duration, id protocol.UpstreamID) {
	wasReachable, wasIsolated := r.paths.IsReachable(id), r.paths.IsIsolated()
	r.paths.Connected(now, id)
	r.balancer.SetReachable(id, true)
	if !wasReachable && !wasIsolated {
		r.log.Info().Str("event", "upstream-reachable").Str("upstream", string(id)).Send()
	}
	r.applyIsolation()
	if r.isolated {
		r.probe(now)
	}
}

// setUnconnected records that no connection to an upstream could be opened. The lock is held.
func (r *Router) setUnconnected(now time.Duration, id protocol.UpstreamID, service protocol.Service) {
	wasReachable, wasIsolated := r.paths.IsReachable(id), r.paths.IsIsolated()
	r.paths.ConnectFailed(now, id)
	r.balancer.SetReachable(id, false)
	if wasReachable && !wasIsolated {
		servedAgo := now - r.balancer.LastServed(id)
		r.log.Warn().Str("event", "upstream-unreachable").Str("upstream", string(id)).Int64("served_ago_ms", servedAgo.Milliseconds()).Send()
	}
	r.applyIsolation()
	if !r.paths.IsIsolated() {
		r.slowStart.NoteUnreachable(now, id, service)
	}
	if r.paths.Suspects() {
		r.probe(now)
	}
}

// applyIsolation passes on that this router has lost its paths to all upstreams, or has one
// again. Idle connections may be dead without showing it, and upstreams' announcements don't
// reach this router either. The lock is held.
func (r *Router) applyIsolation() {
	isolated := r.paths.IsIsolated()
	if isolated == r.isolated {
		return
	}
	r.isolated = isolated
	r.balancer.SetIsolated(isolated)
	if !isolated {
		r.log.Info().Str("event", "isolation-ended").Int("unreachable", r.paths.Unreachable()).Send()
		r.follower.SetAnnounceAddress(r.settings.Listen.Announcements)
		return
	}
	r.log.Warn().Str("event", "isolated").Int("unreachable", r.paths.Unreachable()).Int("routers", len(r.others)).
		Msg("no connection to any upstream, requests go through other routers")
	r.follower.SetAnnounceAddress("")
	r.pool.CloseAllIdle()
	r.probe(r.now())
}

// tellUnreachable tells other routers of upstreams that take no connection from this one, which
// reaches others. The lock is held.
func (r *Router) tellUnreachable(now time.Duration) {
	for _, id := range r.paths.TakeFound(now) {
		r.fabric.SendEach(r.someOthers(), reach.Unreachable{Upstream: id})
	}
}

// applyUnreachable takes another router's word that an upstream may be unreachable, and probes it.
// The lock is held.
func (r *Router) applyUnreachable(now time.Duration, from protocol.RouterID, m reach.Unreachable) {
	entry, known := r.balancer.Entry(m.Upstream)
	if !known || entry.State != roster.Ready || !r.paths.Told(now, m.Upstream) {
		return
	}
	r.balancer.SetReachable(m.Upstream, false)
	r.log.Info().Str("event", "upstream-doubted").Str("upstream", string(m.Upstream)).Str("from", string(from)).Send()
	r.probe(now)
}

// probe opens connections to upstreams of which it isn't known whether this router reaches
// them, and asks other routers whether they can be proxies. The lock is held.
func (r *Router) probe(now time.Duration) {
	r.paths.Tick(now)
	r.applyIsolation()
	for _, id := range r.paths.Probes(now, r.random, r.sampleUpstream) {
		entry, known := r.balancer.Entry(id)
		if !known || entry.State != roster.Ready {
			r.paths.Forget(id)
			continue
		}
		go r.probeUpstream(entry)
	}
	if r.routersListen == "" || !r.paths.IsIsolated() && now-r.proxyNeededAt > proxyNeededFor {
		return
	}
	for _, id := range r.proxies.Probes(now, r.random) {
		go r.probeProxy(id, r.proxyAddress(id))
	}
}

// sampleUpstream returns a random upstream that accepts requests, "" if there is none. The lock
// is held.
func (r *Router) sampleUpstream(random *rand.Rand) protocol.UpstreamID {
	return r.balancer.Sample(random)
}

// probeUpstream opens a connection to an upstream.
func (r *Router) probeUpstream(entry roster.Entry) {
	err := r.pool.Probe(context.Background(), entry.Address)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if current, known := r.balancer.Entry(entry.ID); !known || current.Address != entry.Address {
		r.paths.Forget(entry.ID)
		return
	}
	if err != nil {
		r.setUnconnected(now, entry.ID, entry.Service)
		return
	}
	r.setConnected(now, entry.ID)
	r.applyConfirmed(now)
}

// probeProxy asks another router whether it can be a proxy.
func (r *Router) probeProxy(id protocol.RouterID, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), proxyProbeTimeout)
	defer cancel()
	request := exchange.Request{Method: http.MethodGet, Target: "/", Host: address, Header: http.Header{}}
	answer, err := r.proxyPool.Send(ctx, address, request, func(http.Header) protocol.RequestID { return "" })
	if err != nil {
		r.ProxyEnded(id, false)
		return
	}
	defer answer.Close()
	r.ProxyEnded(id, answer.Status == http.StatusNoContent)
}

// forgetPaths drops what is known of the paths to upstreams that have another address or are
// gone. The lock is held.
func (r *Router) forgetPaths(changed []roster.Entry) {
	for _, e := range changed {
		r.paths.Forget(e.ID)
		r.balancer.SetReachable(e.ID, true)
	}
}

// ProxyState implements peerproxy.Fleet.
func (r *Router) ProxyState() peerproxy.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stopping.Load():
		return peerproxy.RefusalStopping
	case r.paths.IsIsolated() || !r.balancer.AnyReady():
		return peerproxy.RefusalIsolated
	}
	return ""
}

// ProxyAddress implements peerproxy.Fleet.
func (r *Router) ProxyAddress(target peerproxy.Target) (string, peerproxy.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, known := r.balancer.Entry(target.Upstream)
	switch {
	case !known || entry.State != roster.Ready || entry.StartedAt != target.StartedAt:
		return "", peerproxy.RefusalUnwanted
	case slices.Contains(r.evacuated, entry.DataCentre) || r.balancer.IsPaused(r.now(), entry.ID, entry.StartedAt):
		return "", peerproxy.RefusalUnwanted
	case !r.paths.IsReachable(entry.ID):
		return "", peerproxy.RefusalUnreachable
	}
	return entry.Address, ""
}

// ProxyMaySend implements peerproxy.Fleet.
func (r *Router) ProxyMaySend(target peerproxy.Target) bool {
	_, refusal := r.ProxyAddress(target)
	return refusal == ""
}

// ProxyConnected implements peerproxy.Fleet.
func (r *Router) ProxyConnected(target peerproxy.Target, opened bool) {
	if opened {
		r.UpstreamReached(balance.Choice{ID: target.Upstream}, true)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry, known := r.balancer.Entry(target.Upstream); known {
		r.setUnconnected(r.now(), entry.ID, entry.Service)
	}
}

// ProxyAnswered implements peerproxy.Fleet.
func (r *Router) ProxyAnswered(target peerproxy.Target, head dialect.Answer) {
	if entry, known := r.upstreamEntry(target.Upstream); known {
		// How long answers to other routers' requests usually take isn't known here.
		r.AnswerHead(forward.Job{}, balance.Choice{ID: entry.ID, Address: entry.Address, StartedAt: target.StartedAt}, head, 0)
	}
}

// upstreamEntry returns an upstream's entry.
func (r *Router) upstreamEntry(id protocol.UpstreamID) (roster.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.Entry(id)
}

// ProxyBroke implements peerproxy.Fleet.
func (r *Router) ProxyBroke(target peerproxy.Target, parts []uint64) {
	r.UpstreamCrashed(crashes.Broken{Digest: target.Digest, Upstream: target.Upstream, StartedAt: target.StartedAt, Parts: parts})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths.Hold(r.now(), reach.Failure{Upstream: target.Upstream})
}

package forward

import (
	"context"

	"endiveplank/coordination/balance"
	"endiveplank/transport/exchange"
	"endiveplank/transport/peerproxy"
)

// maxProxies is how many routers are tried as the proxy of a request before it is refused.
const maxProxies = 4

// send sends an attempt over this router's own connections, or through the chosen proxy.
func (f *forwarding) send(ctx context.Context, choice balance.Choice, request exchange.Request) (*exchange.Answer, error) {
	if choice.Proxy == "" {
		return f.handler.options.Pool.Send(ctx, choice.Address, request, f.answeredID)
	}
	target := peerproxy.Target{
		Upstream: choice.ID, StartedAt: choice.StartedAt, Digest: f.job.Digest, Remaining: f.remaining(), From: f.handler.options.Self,
	}
	target.Write(request.Header)
	return f.handler.options.ProxyPool.Send(ctx, choice.ProxyAddress, request, f.answeredID)
}

// handleRefusal records an attempt that the proxy refused.
func (f *forwarding) handleRefusal(refusal peerproxy.Refusal, choice balance.Choice, outcome *AttemptOutcome) {
	outcome.Cause = "proxy: " + string(refusal)
	outcome.Sent = refusal == peerproxy.RefusalLost
	f.handler.options.Fleet.ProxyEnded(choice.Proxy, !refusal.OfProxy())
	switch refusal {
	case peerproxy.RefusalUnreachable:
		outcome.Result = balance.Unreachable
	case peerproxy.RefusalUnwanted:
		outcome.Result = balance.Refused
	default:
		// The proxy has reported what it says about the upstream.
		outcome.Result = balance.Abandoned
	}
}

// unsentAttempts returns how many attempts sent nothing: over this router's own connections,
// and through proxies.
func (f *forwarding) unsentAttempts() (direct, proxied int) {
	for _, a := range f.outcome.Attempts {
		switch {
		case a.Sent:
		case a.Choice.Proxy == "":
			direct++
		default:
			proxied++
		}
	}
	return direct, proxied
}

package reach

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

// Unreachable tells other routers that an upstream takes no connection from this one. They don't
// go by that, but find out themselves: it may be that only this router can't reach it.
type Unreachable struct {
	Upstream protocol.UpstreamID `msgpack:"u"`
}

// tellAfter is how long after a router found an upstream unreachable it tells others. By then it
// knows whether it is isolated.
const tellAfter = 60 * time.Millisecond

// maxFound bounds the upstreams that others are told of at a time.
const maxFound = 64

// foundUpstream is an upstream that this router found unreachable by itself.
type foundUpstream struct {
	id protocol.UpstreamID
	at time.Duration
}

// Told takes another router's word that an upstream may be unreachable: it counts as unreachable
// until a probe, due at once, has shown whether it is. A sound one is probed within
// milliseconds. One that is gone, which takes no part in that, costs this router no request.
func (p *Paths) Told(now time.Duration, id protocol.UpstreamID) (suspected bool) {
	if p.isolated || p.unreachable[id] != nil {
		return false
	}
	p.unreachable[id] = &unreachable{retryAt: now}
	p.retries.Push(now, id)
	return true
}

// TakeFound removes and returns the upstreams that other routers are to be told of: those that
// this router found unreachable by itself while it reaches others.
func (p *Paths) TakeFound(now time.Duration) []protocol.UpstreamID {
	if p.suspected {
		return nil
	}
	var ids []protocol.UpstreamID
	p.found = slices.DeleteFunc(p.found, func(found foundUpstream) bool {
		if now-found.at < tellAfter {
			return false
		}
		if !p.IsReachable(found.id) {
			ids = append(ids, found.id)
		}
		return true
	})
	return ids
}

// noteFound records that this router found an upstream unreachable by itself.
func (p *Paths) noteFound(now time.Duration, id protocol.UpstreamID) {
	if !p.isolated && len(p.found) < maxFound {
		p.found = append(p.found, foundUpstream{id: id, at: now})
	}
}

package control

import (
	"time"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// incarnation identifies what an upstream remembers: it has lost its cache when one of these
// changes.
type incarnation struct {
	startedAt int64
	coldCount uint64
}

// restarts finds the upstreams that have lost their caches, by the changes of the roster.
type restarts struct {
	known    map[protocol.UpstreamID]incarnation
	revision uint64
}

// noteRestarts drops what is recorded about the caches of upstreams that have restarted or
// become cold since the last call.
func (p *Publisher) noteRestarts(now time.Duration) {
	if p.restarts.revision == p.roster.Revision() {
		return
	}
	changed, complete := p.roster.ChangedSince(p.restarts.revision)
	if !complete {
		changed = p.roster.Entries()
	}
	p.restarts.revision = p.roster.Revision()
	for _, e := range changed {
		before, known := p.restarts.known[e.ID]
		if e.State == roster.Gone {
			delete(p.restarts.known, e.ID)
			continue
		}
		next := incarnation{startedAt: e.StartedAt, coldCount: e.ColdCount}
		p.restarts.known[e.ID] = next
		if known && next != before {
			p.holders.NoteRestart(now, e.ID)
		}
	}
}

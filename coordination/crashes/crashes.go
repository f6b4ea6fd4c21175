// Package crashes finds requests that crash the upstreams which run them, on
// routers that send to upstreams themselves.
//
// Every router notes which requests were under way when an upstream broke off,
// and tells the others. A request of the same content that did so several times
// is refused for a while. Package quarantine does more, trying suspects alone,
// for owners that hold all of an upstream's work; here nobody does.
//
// Failures guarded: a request takes the fleet down upstream by upstream, while
// its caller sends it again under other names, through other routers (it is
// known by its content); a neighbour that was under way at one crash is refused
// for it (it takes several, and each neighbour's content is its own).
package crashes

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/protocol"
)

// Settings of a Record.
type Settings struct {
	// Condemn is how many crashes condemn a request.
	Condemn int
	// Memory is how long a crash counts, and how long after its last crash a
	// request stays condemned.
	Memory time.Duration
	// Most bounds the requests remembered.
	Most int
}

// DefaultSettings returns the defaults: a caller's one retry, with two upstreams
// for each attempt, breaks off four times at the worst when the network does it
// and not the request, and by then its caller is done with it. An upstream is
// back seconds after a crash, so a minute sees the request come again.
func DefaultSettings() Settings {
	return Settings{Condemn: 3, Memory: 60 * time.Second, Most: 4096}
}

// Crash says that an upstream broke off while it had a request.
type Crash struct {
	Digest   uint64              `msgpack:"d"`
	Upstream protocol.UpstreamID `msgpack:"u"`
	// Attempt tells two crashes apart, and one that is told twice.
	Attempt uint64 `msgpack:"a"`
}

// suspect is a request that was under way at crashes.
type suspect struct {
	attempts []uint64
	last     time.Duration
}

// Record holds what is known of requests. It is not safe for concurrent use.
type Record struct {
	settings Settings
	suspects map[uint64]*suspect
}

// New returns an empty record.
func New(settings Settings) *Record {
	return &Record{settings: settings, suspects: map[uint64]*suspect{}}
}

// Note takes a crash, of this router's or told by another. It reports whether
// the request is condemned by it.
func (r *Record) Note(now time.Duration, c Crash) bool {
	s := r.suspects[c.Digest]
	if s == nil {
		r.makeRoom(now)
		s = &suspect{}
		r.suspects[c.Digest] = s
	}
	if now-s.last > r.settings.Memory {
		s.attempts = nil
	}
	if slices.Contains(s.attempts, c.Attempt) {
		return false
	}
	s.last = now
	if len(s.attempts) >= r.settings.Condemn {
		return false
	}
	s.attempts = append(s.attempts, c.Attempt)
	return len(s.attempts) == r.settings.Condemn
}

// Condemned reports whether a request is refused.
func (r *Record) Condemned(now time.Duration, digest uint64) bool {
	s := r.suspects[digest]
	return s != nil && len(s.attempts) >= r.settings.Condemn && now-s.last <= r.settings.Memory
}

// makeRoom drops what is forgotten, and the oldest if that isn't enough.
func (r *Record) makeRoom(now time.Duration) {
	if len(r.suspects) < r.settings.Most {
		return
	}
	for digest, s := range r.suspects {
		if now-s.last > r.settings.Memory {
			delete(r.suspects, digest)
		}
	}
	if len(r.suspects) < r.settings.Most {
		return
	}
	r.dropOldest()
}

// dropOldest drops an eighth, so that the search for the oldest is rare.
func (r *Record) dropOldest() {
	type aged struct {
		digest uint64
		last   time.Duration
	}
	all := make([]aged, 0, len(r.suspects))
	for digest, s := range r.suspects {
		all = append(all, aged{digest, s.last})
	}
	slices.SortFunc(all, func(x, y aged) int { return cmp.Compare(x.last, y.last) })
	for _, old := range all[:1+len(all)/8] {
		delete(r.suspects, old.digest)
	}
}

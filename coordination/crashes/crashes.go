package crashes

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/protocol"
)

// Settings of a Record.
type Settings struct {
	// QuarantineAfter is how many crashes quarantine a request.
	QuarantineAfter int
	// Window is how long the crashes of a request count after the last one, and so how
	// long the request stays quarantined.
	Window time.Duration
	// MaxRequests bounds the requests remembered.
	MaxRequests int
}

// DefaultSettings returns the defaults. A caller that retries once, with two upstreams
// for each attempt, has at most four broken connections if the network and not the
// request causes them, and by then the caller is done with it. An upstream is back
// seconds after a crash, so the request is sent again well within a Window of a minute.
func DefaultSettings() Settings {
	return Settings{QuarantineAfter: 3, Window: 60 * time.Second, MaxRequests: 4096}
}

// Broken is a request whose connection an upstream broke.
type Broken struct {
	// Digest is the same for requests of the same content.
	Digest   uint64
	Upstream protocol.UpstreamID
	// StartedAt identifies the upstream's incarnation, 0 if it doesn't say.
	StartedAt int64
	// Parts are the keys of the prompt's parts that other requests may have too, if the
	// upstream had not answered yet or had only just begun to.
	Parts []uint64
}

// Crash tells other routers and disk VMs that an upstream's connection broke while it had a
// request, and that the path to it works.
type Crash struct {
	// Digest is the same for requests of the same content.
	Digest   uint64              `msgpack:"d"`
	Upstream protocol.UpstreamID `msgpack:"u"`
	// Attempt is a random number that distinguishes two crashes, and identifies one that
	// is reported twice.
	Attempt uint64 `msgpack:"a"`
	// StartedAt is that of Broken.
	StartedAt int64 `msgpack:"s,omitempty"`
	// Parts are those of Broken, if the upstream takes no connections any more.
	Parts []uint64 `msgpack:"p,omitempty"`
}

// suspect is a request that was in flight at crashes.
type suspect struct {
	// attempts holds the Crash.Attempt of each counted crash, at most
	// Settings.QuarantineAfter of them. last is when the latest crash was reported.
	attempts []uint64
	last     time.Duration
}

// Record counts the crashes of each request. It is not safe for concurrent use.
type Record struct {
	settings Settings
	suspects map[uint64]*suspect
}

// New returns an empty record.
func New(settings Settings) *Record {
	return &Record{settings: settings, suspects: map[uint64]*suspect{}}
}

// Note counts a crash that this router saw or another one reported. It reports whether
// the crash quarantines the request.
func (r *Record) Note(now time.Duration, c Crash) bool {
	s := r.suspects[c.Digest]
	if s == nil {
		r.evict(now)
		s = &suspect{}
		r.suspects[c.Digest] = s
	}
	if now-s.last > r.settings.Window {
		s.attempts = nil
	}
	if slices.Contains(s.attempts, c.Attempt) {
		return false
	}
	s.last = now
	if len(s.attempts) >= r.settings.QuarantineAfter {
		return false
	}
	s.attempts = append(s.attempts, c.Attempt)
	return len(s.attempts) == r.settings.QuarantineAfter
}

// QuarantinedFor returns how much longer a request is refused, 0 if it isn't.
func (r *Record) QuarantinedFor(now time.Duration, digest uint64) time.Duration {
	s := r.suspects[digest]
	if s == nil || len(s.attempts) < r.settings.QuarantineAfter {
		return 0
	}
	return max(s.last+r.settings.Window-now, 0)
}

// evict drops expired requests if the record is full, and the oldest if that isn't
// enough.
func (r *Record) evict(now time.Duration) {
	if len(r.suspects) < r.settings.MaxRequests {
		return
	}
	for digest, s := range r.suspects {
		if now-s.last > r.settings.Window {
			delete(r.suspects, digest)
		}
	}
	if len(r.suspects) < r.settings.MaxRequests {
		return
	}
	r.dropOldest()
}

// dropOldest drops an eighth of the requests, so that the search for the oldest is rare.
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

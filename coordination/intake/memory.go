package intake

import (
	"cmp"
	"slices"
	"time"
)

// maxFreeShare is the share of the free bytes that one request may hold. The more is held, the
// smaller a request has to be to get any, so that large requests never take the room that small
// ones need.
const maxFreeShare = 0.5

// Memory divides a number of bytes among requests.
type Memory struct {
	limit, used int64
	holdings    map[*Holding]struct{}
}

// Holding is what one request holds.
type Holding struct {
	bytes int64
	since time.Duration
	// settled says that the request is complete, so that it doesn't give way any more.
	settled bool
	// evicted says that the request had to give way.
	evicted bool
}

// NewMemory returns a budget of limit bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, holdings: map[*Holding]struct{}{}}
}

// Used returns how many bytes are held.
func (m *Memory) Used() int64 { return m.used }

// Take lets a request hold n further bytes. It returns false if it may not, and the requests that
// give way for it: the driver closes their connections. Nobody gives way if that isn't enough.
func (m *Memory) Take(now time.Duration, h *Holding, n int64) (granted bool, evicted []*Holding) {
	if h.evicted {
		return false, nil
	}
	if _, known := m.holdings[h]; !known {
		h.since = now
		m.holdings[h] = struct{}{}
	}
	evicted, granted = m.makeRoom(now, h, n)
	if !granted {
		return false, nil
	}
	for _, victim := range evicted {
		m.evict(victim)
	}
	h.bytes += n
	m.used += n
	return true, evicted
}

// makeRoom returns the requests that have to give way so that h may hold n further bytes: those that
// have held the most bytes for the longest time, if that is more than h has then. It returns false if
// there isn't enough room without them.
func (m *Memory) makeRoom(now time.Duration, h *Holding, n int64) (victims []*Holding, enough bool) {
	used := m.used
	if m.fits(used, h, n) {
		return nil, true
	}
	candidates := m.heldLonger(now, h, n)
	for i, victim := range candidates {
		used -= victim.bytes
		if m.fits(used, h, n) {
			return candidates[:i+1], true
		}
	}
	return nil, false
}

// fits reports whether a request may hold n further bytes while used bytes are held. Alone it may hold
// all.
func (m *Memory) fits(used int64, h *Holding, n int64) bool {
	free := m.limit - (used - h.bytes)
	if free == m.limit {
		return h.bytes+n <= free
	}
	return float64(h.bytes+n) <= maxFreeShare*float64(free)
}

// heldLonger returns the requests that aren't complete and have held more bytes for a longer time than
// h with n further bytes, the greatest holder first.
func (m *Memory) heldLonger(now time.Duration, h *Holding, n int64) []*Holding {
	own := float64(h.bytes+n) * (now - h.since).Seconds()
	var longer []*Holding
	for other := range m.holdings {
		if other != h && !other.settled && other.byteSeconds(now) > own {
			longer = append(longer, other)
		}
	}
	slices.SortFunc(longer, func(a, b *Holding) int {
		return cmp.Compare(b.byteSeconds(now), a.byteSeconds(now))
	})
	return longer
}

// byteSeconds returns for how long the request has held how many bytes.
func (h *Holding) byteSeconds(now time.Duration) float64 {
	return float64(h.bytes) * (now - h.since).Seconds()
}

// evict takes all bytes from a request.
func (m *Memory) evict(h *Holding) {
	m.Release(h)
	h.evicted = true
}

// Settle says that a request is complete: it holds its bytes until Release.
func (m *Memory) Settle(h *Holding) { h.settled = true }

// Unsettle says that a request waits for its client again, from now on.
func (m *Memory) Unsettle(now time.Duration, h *Holding) { h.settled, h.since = false, now }

// Release ends what a request holds.
func (m *Memory) Release(h *Holding) {
	m.used -= h.bytes
	h.bytes = 0
	delete(m.holdings, h)
}

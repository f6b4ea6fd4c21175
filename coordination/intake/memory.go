package intake

import "time"

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
// give way for it: the driver closes their connections.
func (m *Memory) Take(now time.Duration, h *Holding, n int64) (granted bool, evicted []*Holding) {
	if h.evicted {
		return false, nil
	}
	if _, known := m.holdings[h]; !known {
		h.since = now
		m.holdings[h] = struct{}{}
	}
	for !m.fits(h, n) {
		victim := m.victim(now, h, n)
		if victim == nil {
			return false, evicted
		}
		m.evict(victim)
		evicted = append(evicted, victim)
	}
	h.bytes += n
	m.used += n
	return true, evicted
}

// fits reports whether a request may hold n further bytes. Alone it may hold all.
func (m *Memory) fits(h *Holding, n int64) bool {
	free := m.limit - (m.used - h.bytes)
	if free == m.limit {
		return h.bytes+n <= free
	}
	return float64(h.bytes+n) <= maxFreeShare*float64(free)
}

// victim returns the request that has held the most bytes for the longest time, if that is more than
// h has with n further bytes.
func (m *Memory) victim(now time.Duration, h *Holding, n int64) *Holding {
	var victim *Holding
	most := float64(h.bytes+n) * (now - h.since).Seconds()
	for other := range m.holdings {
		if other == h || other.settled {
			continue
		}
		if held := float64(other.bytes) * (now - other.since).Seconds(); held > most {
			victim, most = other, held
		}
	}
	return victim
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

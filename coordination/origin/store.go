package origin

import (
	"time"

	"endiveplank/coordination/builds"
)

const (
	// keepFor is how long after its beginning a stream may be taken up again.
	keepFor = 2 * time.Minute
	// maxStreams bounds the streams that a router remembers, its own and those that it is a
	// replica for.
	maxStreams = 32_768
)

// store remembers where streams began, the oldest of them for the shortest time.
type store struct {
	streams map[StreamID]entry
	// order are the streams in the order in which they were added, from first on.
	order []aged
	first int
}

// entry is where a stream began.
type entry struct {
	began builds.Pair
	// own says that it began at this router, which sends it to replicas.
	own bool
}

type aged struct {
	stream StreamID
	at     time.Duration
}

func newStore() store { return store{streams: map[StreamID]entry{}} }

// add remembers a stream. Where it began never changes, so the first entry stays.
func (s *store) add(now time.Duration, stream StreamID, e entry) {
	s.expire(now)
	if _, known := s.streams[stream]; known {
		return
	}
	if len(s.streams) >= maxStreams {
		s.dropOldest()
	}
	s.streams[stream] = e
	s.order = append(s.order, aged{stream, now})
}

// expire forgets the streams that began too long ago.
func (s *store) expire(now time.Duration) {
	for s.first < len(s.order) && now-s.order[s.first].at > keepFor {
		s.dropOldest()
	}
}

// dropOldest forgets the stream that was added first.
func (s *store) dropOldest() {
	delete(s.streams, s.order[s.first].stream)
	s.first++
	if s.first > len(s.order)/2 {
		s.order = append(s.order[:0], s.order[s.first:]...)
		s.first = 0
	}
}

// remembered returns the streams, the oldest first.
func (s *store) remembered() []aged { return s.order[s.first:] }

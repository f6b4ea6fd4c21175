package builds

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// keepFor is how long a build counts after it was last listed: longer than a stream lasts,
	// over all attempts of its caller.
	keepFor = 5 * time.Minute
	// maxPairs bounds the builds in a Set. One that is full can't tell all of them.
	maxPairs = 512
	// settleTime is how long after its start a process that has no saved set may still lack
	// builds that others list: lists are compared every second.
	settleTime = 5 * time.Second
)

// Pair is a build of a service.
type Pair struct {
	Service protocol.Service `msgpack:"s"`
	Build   string           `msgpack:"b"`
}

func comparePairs(a, b Pair) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Build, b.Build))
}

// Set holds the builds that a process has listed lately. It is not safe for concurrent use.
type Set struct {
	pairs map[Pair]*listing
	// overflowed says that it couldn't take a build.
	overflowed bool
	// settledAt is when it holds what the other processes' lists have.
	settledAt time.Duration
}

// listing is when a build was last listed and whether a disk has it.
type listing struct {
	at    time.Duration
	saved bool
}

// NewSet returns an empty set of a process that has just started.
func NewSet() *Set { return &Set{pairs: map[Pair]*listing{}, settledAt: settleTime} }

// Note records that upstreams of a build are listed. It reports whether the set has changed.
func (s *Set) Note(now time.Duration, p Pair) (added bool) {
	if known := s.pairs[p]; known != nil {
		known.at = now
		return false
	}
	if len(s.pairs) >= maxPairs {
		s.overflowed = true
		return false
	}
	s.pairs[p] = &listing{at: now}
	return true
}

// Expire removes the builds that haven't been listed for a long time.
func (s *Set) Expire(now time.Duration) {
	for p, known := range s.pairs {
		if now-known.at > keepFor {
			delete(s.pairs, p)
			s.overflowed = false
		}
	}
}

// Pairs returns all builds, sorted.
func (s *Set) Pairs() []Pair {
	pairs := make([]Pair, 0, len(s.pairs))
	for p := range s.pairs {
		pairs = append(pairs, p)
	}
	slices.SortFunc(pairs, comparePairs)
	return pairs
}

// Restore adds what was saved before a restart. The process then knows what it has told before.
func (s *Set) Restore(now time.Duration, pairs []Pair) {
	for _, p := range pairs {
		s.Note(now, p)
	}
	s.MarkSaved(pairs)
	s.settledAt = now
}

// MarkSaved records that builds are on this process's disk.
func (s *Set) MarkSaved(pairs []Pair) {
	for _, p := range pairs {
		if known := s.pairs[p]; known != nil {
			known.saved = true
		}
	}
}

// AllSaved reports whether all builds are on this process's disk.
func (s *Set) AllSaved() bool {
	for _, known := range s.pairs {
		if !known.saved {
			return false
		}
	}
	return true
}

// Size returns how many builds there are.
func (s *Set) Size() int { return len(s.pairs) }

// Reply answers a router's Read with the builds that are on disk.
func (s *Set) Reply(now time.Duration, read Read) Reply {
	reply := Reply{Call: read.Call, Settled: now >= s.settledAt && !s.overflowed}
	for _, p := range s.Pairs() {
		if s.pairs[p].saved {
			reply.Pairs = append(reply.Pairs, p)
		}
	}
	return reply
}

// of returns how many builds a service has, and any of them.
func (s *Set) of(service protocol.Service) (count int, any string) {
	for p := range s.pairs {
		if p.Service == service {
			count++
			any = p.Build
		}
	}
	return count, any
}

// IsMixed reports whether a service has had more than one build lately.
func (s *Set) IsMixed(service protocol.Service) bool {
	count, _ := s.of(service)
	return count > 1
}

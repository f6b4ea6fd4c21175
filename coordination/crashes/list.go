package crashes

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what a Quarantine is about.
type Kind uint8

const (
	// Content is the content of a request.
	Content Kind = iota + 1
	// Part is a part of prompts.
	Part
)

// String returns the word used in logs.
func (k Kind) String() string {
	switch k {
	case Content:
		return "content"
	case Part:
		return "part"
	}
	return "unknown"
}

const (
	// contentDuration is how long a content is quarantined.
	contentDuration = 60 * time.Second
	// partDuration is how long a part is quarantined for the first time. Each further time
	// it is partDurationFactor times as long, maxPartDuration at most.
	partDuration       = 10 * time.Minute
	partDurationFactor = 8
	maxPartDuration    = 24 * time.Hour
	// keepPart is how long the quarantine of a part is remembered after it has ended. A part
	// that crashes an upstream within that time is quarantined again at once.
	keepPart = 24 * time.Hour
	// keepContent is the same for a content, which starts anew.
	keepContent = time.Minute
	// maxQuarantines bounds a List, and the message that carries it.
	maxQuarantines = 256
)

// Quarantine says that requests with a content, or with a part of a prompt, are refused.
type Quarantine struct {
	Kind Kind   `msgpack:"k"`
	Key  uint64 `msgpack:"q"`
	// Times is how often it was quarantined.
	Times int `msgpack:"n"`
	// Left is how much longer it was quarantined when this was sent; negative if that has
	// ended so long ago. Clocks of different VMs aren't compared.
	Left time.Duration `msgpack:"l"`
}

// subject is what a quarantine is about.
type subject struct {
	kind Kind
	key  uint64
}

// held is a quarantine in a List.
type held struct {
	times int
	until time.Duration
}

// List holds what is or was quarantined. Copies can be merged in any order. It is not safe
// for concurrent use.
type List struct {
	quarantines map[subject]held
	digest      uint64
}

// NewList returns an empty list.
func NewList() *List { return &List{quarantines: map[subject]held{}} }

// Add quarantines a content or part, once more if it was before.
func (l *List) Add(now time.Duration, kind Kind, key uint64) Quarantine {
	at := subject{kind, key}
	times := l.quarantines[at].times + 1
	left := duration(kind, times)
	l.set(at, held{times: times, until: now + left})
	l.evict()
	return Quarantine{Kind: kind, Key: key, Times: times, Left: left}
}

// duration returns for how long something is quarantined for the given time.
func duration(kind Kind, times int) time.Duration {
	if kind == Content {
		return contentDuration
	}
	left := partDuration
	for range times - 1 {
		left = min(left*partDurationFactor, maxPartDuration)
	}
	return left
}

// keepFor returns how long a quarantine is remembered after it has ended.
func keepFor(kind Kind) time.Duration {
	if kind == Content {
		return keepContent
	}
	return keepPart
}

// Merge takes over quarantines of another list. It returns those that this one lacked.
func (l *List) Merge(now time.Duration, other []Quarantine) (added []Quarantine) {
	for _, q := range other {
		at := subject{q.Kind, q.Key}
		if q.Times <= l.quarantines[at].times || q.Left <= -keepFor(q.Kind) {
			continue
		}
		l.set(at, held{times: q.Times, until: now + min(q.Left, maxPartDuration)})
		added = append(added, q)
	}
	l.evict()
	return added
}

// Left returns for how much longer something is quarantined, 0 if it isn't.
func (l *List) Left(now time.Duration, kind Kind, key uint64) time.Duration {
	return max(l.quarantines[subject{kind, key}].until-now, 0)
}

// Lapsed reports whether something was quarantined and isn't any more.
func (l *List) Lapsed(now time.Duration, kind Kind, key uint64) bool {
	q, known := l.quarantines[subject{kind, key}]
	return known && q.until <= now
}

// Len returns how many quarantines the list holds, those that have ended included.
func (l *List) Len() int { return len(l.quarantines) }

// Digest identifies the list's content but for the times. It is 0 for an empty list.
func (l *List) Digest() uint64 { return l.digest }

// EmptyDigest is the digest of a List without quarantines.
const EmptyDigest = 0

// Quarantines returns the list, sorted by subject.
func (l *List) Quarantines(now time.Duration) []Quarantine {
	all := make([]Quarantine, 0, len(l.quarantines))
	for at, q := range l.quarantines {
		all = append(all, Quarantine{Kind: at.kind, Key: at.key, Times: q.times, Left: q.until - now})
	}
	slices.SortFunc(all, func(a, b Quarantine) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key)) })
	return all
}

// Expire drops what ended long ago.
func (l *List) Expire(now time.Duration) {
	for at, q := range l.quarantines {
		if now-q.until >= keepFor(at.kind) {
			l.remove(at)
		}
	}
}

// evict drops the quarantines that end first, or ended first, if there are too many.
func (l *List) evict() {
	for len(l.quarantines) > maxQuarantines {
		var first subject
		found := false
		for at, q := range l.quarantines {
			if !found || q.until < l.quarantines[first].until {
				first, found = at, true
			}
		}
		l.remove(first)
	}
}

func (l *List) set(at subject, q held) {
	l.remove(at)
	l.quarantines[at] = q
	l.digest ^= hashOf(at, q.times)
}

func (l *List) remove(at subject) {
	if q, known := l.quarantines[at]; known {
		l.digest ^= hashOf(at, q.times)
		delete(l.quarantines, at)
	}
}

func hashOf(at subject, times int) uint64 {
	var b [17]byte
	b[0] = byte(at.kind)
	binary.LittleEndian.PutUint64(b[1:], at.key)
	binary.LittleEndian.PutUint64(b[9:], uint64(times))
	return xxhash.Sum64(b[:])
}

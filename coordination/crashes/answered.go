package crashes

import (
	"time"
)

// Suspects asks routers which of these parts of prompts they have seen answered.
type Suspects struct {
	// Number identifies the question among the sender's, and is repeated in answers. It is 0 if the
	// sender needs no answer that names no part.
	Number uint64   `msgpack:"n,omitempty"`
	Parts  []uint64 `msgpack:"p"`
}

// Sound tells a disk VM which parts were in prompts that were answered completely.
type Sound struct {
	Number uint64      `msgpack:"n,omitempty"`
	Parts  []SoundPart `msgpack:"p"`
}

// SoundPart is a part and how long ago, in milliseconds, a prompt with it was last answered.
type SoundPart struct {
	Key   uint64 `msgpack:"k"`
	AgoMS int64  `msgpack:"a"`
}

// maxAnswered bounds the parts that an Answered remembers.
const maxAnswered = 2048

// Answered remembers when prompts with a part were last answered completely. It is not safe for
// concurrent use.
type Answered struct {
	last map[uint64]time.Duration
}

// NewAnswered returns an empty record.
func NewAnswered() *Answered { return &Answered{last: map[uint64]time.Duration{}} }

// Note records that a prompt with these parts was answered completely.
func (a *Answered) Note(now time.Duration, parts []uint64) {
	for _, part := range parts {
		a.last[part] = now
	}
	if len(a.last) > maxAnswered {
		a.dropOlder(now)
	}
}

// dropOlder drops the older half, by the mean age.
func (a *Answered) dropOlder(now time.Duration) {
	var sum time.Duration
	for _, last := range a.last {
		sum += now - last
	}
	mean := sum / time.Duration(len(a.last))
	for part, last := range a.last {
		if now-last >= mean {
			delete(a.last, part)
		}
	}
}

// Reply answers Suspects. False means that no answer is needed: none of the parts was answered here.
func (a *Answered) Reply(now time.Duration, s Suspects) (Sound, bool) {
	reply := Sound{Number: s.Number}
	for _, part := range s.Parts {
		if last, known := a.last[part]; known {
			reply.Parts = append(reply.Parts, SoundPart{Key: part, AgoMS: (now - last).Milliseconds()})
		}
	}
	return reply, s.Number != 0 || len(reply.Parts) > 0
}

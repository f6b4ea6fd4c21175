package crashes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// world is a fleet of routers before engines, of which requests with the part culprit crash those
// that run them. A disk VM gets the routers' reports.
type world struct {
	random   *rand.Rand
	now      time.Duration
	list     *List
	detector *Detector
	routers  []*Answered
	// unanswered are the parts of the requests that each engine hasn't answered yet, and starts
	// how often it has started.
	unanswered []map[uint64]int
	starts     []int64
	crashes    int
	attempts   uint64
	found      []Quarantine
	// silent says that no answer of a router arrives.
	silent bool
}

const (
	culprit  uint64 = 1
	firstKey uint64 = 100
)

func newWorld(seed uint64, routers, engines int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 9)), list: NewList(), starts: make([]int64, engines)}
	w.detector = NewDetector(w.list, seed)
	for range routers {
		w.routers = append(w.routers, NewAnswered())
	}
	for range engines {
		w.unanswered = append(w.unanswered, map[uint64]int{})
	}
	return w
}

// parts draws the shared parts of a prompt: one of a few first parts and one of many others.
func (w *world) parts(others int) []uint64 {
	return []uint64{firstKey + w.random.Uint64N(4), 2*firstKey + w.random.Uint64N(uint64(others))}
}

// tick lets the disk VM decide. Routers answer its questions, of which some are lost.
func (w *world) tick() {
	w.now += 50 * time.Millisecond
	ask, found := w.detector.Tick(w.now)
	w.found = append(w.found, found...)
	if ask == nil {
		return
	}
	w.detector.NoteAsked(*ask, len(w.routers))
	for i, r := range w.routers {
		if w.silent || w.random.IntN(20) == 0 {
			continue
		}
		if sound, any := r.Reply(w.now, *ask); any {
			w.detector.HandleSound(w.now, protocol.RouterID(fmt.Sprint("r", i)), sound)
		}
	}
}

// serve lets a router send a sound request that is answered.
func (w *world) serve(others int) {
	w.routers[w.random.IntN(len(w.routers))].Note(w.now, w.parts(others))
}

// crash ends an engine that hasn't answered some requests, among them one with these parts.
func (w *world) crash(engine int, bystanders, others int, parts ...uint64) {
	w.crashes++
	w.starts[engine]++
	reports := [][]uint64{}
	if len(parts) > 0 {
		reports = append(reports, parts)
	}
	for range bystanders {
		reports = append(reports, w.parts(others))
	}
	for _, report := range reports {
		w.attempts++
		w.detector.Report(w.now, Crash{
			Digest: w.attempts, Attempt: w.attempts, Upstream: protocol.UpstreamID(fmt.Sprint("u", engine)), StartedAt: w.starts[engine], Parts: report,
		})
	}
}

func (w *world) quarantined(key uint64) bool { return w.list.Left(w.now, Part, key) > 0 }

// Guards: requests with one part crash engine after engine, while unanswered requests with other
// parts are lost with them, also where all with the part share their other parts; and parts of
// sound requests are quarantined in its place.
func TestThePartThatCrashesEnginesIsFoundAndNoOther(t *testing.T) {
	for _, c := range []struct {
		name               string
		routers, engines   int
		perTick, others    int
		between            time.Duration
		sameParts, started bool
	}{
		{"nine routers, a crash a second", 9, 12, 2, 40, time.Second, false, false},
		{"the same other parts each time", 9, 12, 2, 40, time.Second, true, false},
		{"four crashes a second", 9, 12, 2, 40, 250 * time.Millisecond, false, false},
		{"two crashes a minute", 9, 12, 2, 40, 30 * time.Second, true, false},
		{"as the fleet starts", 9, 12, 2, 40, time.Second, false, true},
		{"984 routers", 984, 9795, 50, 1000, 700 * time.Millisecond, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				w := newWorld(seed, c.routers, c.engines)
				for range 200 {
					if !c.started {
						for range c.perTick {
							w.serve(c.others)
						}
					}
					w.tick()
				}
				shared := w.parts(c.others)
				next := w.now
				for !w.quarantined(culprit) {
					assert.Assert(t, w.crashes < 8, "seed %d: the part isn't found after %d crashes", seed, w.crashes)
					for range c.perTick {
						w.serve(c.others)
					}
					if w.now >= next {
						next += c.between
						if !c.sameParts {
							shared = w.parts(c.others)
						}
						w.crash(w.random.IntN(c.engines), w.random.IntN(4), c.others, shared[0], culprit, shared[1])
					}
					w.tick()
				}
				assert.Assert(t, w.crashes <= 5, "seed %d: %d crashes", seed, w.crashes)
				assert.Equal(t, w.list.Len(), 1, "seed %d: %v", seed, w.found)
			}
		})
	}
}

// Guards: engines that lose power, all at once or in groups, or that crash for reasons of their own,
// get parts of sound requests quarantined.
func TestEnginesThatCrashForOtherReasonsQuarantineNoPart(t *testing.T) {
	for seed := range uint64(40) {
		w := newWorld(seed, 9, 12)
		for step := range 2000 {
			for range 2 {
				w.serve(40)
			}
			switch {
			case step%400 == 399:
				for engine := range 12 {
					w.crash(engine, 1+w.random.IntN(5), 40)
				}
			case step%100 == 50:
				for range 3 {
					w.crash(w.random.IntN(12), 1+w.random.IntN(5), 40)
				}
			case step > 1000 && step%20 == 0:
				w.crash(w.random.IntN(12), 1+w.random.IntN(3), 40)
			}
			w.tick()
		}
		assert.Equal(t, w.list.Len(), 0, "seed %d: %v", seed, w.found)
	}
}

// Guards: a disk VM whose questions or whose routers' answers are held up takes that for an answer,
// and quarantines the first part of all prompts beside the one that crashes engines.
func TestSilenceOfRoutersIsNoAnswer(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 9, 12)
		w.silent = true
		for w.crashes < 8 {
			w.crash(w.random.IntN(12), 2, 40, firstKey, culprit)
			for range 20 {
				w.serve(40)
				w.serve(40)
				w.tick()
			}
			assert.Equal(t, w.list.Len(), 0, "seed %d: %v after %d crashes", seed, w.found, w.crashes)
		}
		w.silent = false
		for range 40 {
			w.serve(40)
			w.tick()
		}
		assert.Assert(t, w.quarantined(culprit), "seed %d", seed)
		assert.Equal(t, w.list.Len(), 1, "seed %d: %v", seed, w.found)
	}
}

// Guards: a part that nobody has ever seen answered always comes with the one that crashes engines,
// and neither is found as they can't be told apart.
func TestPartsThatCantBeToldApartAreQuarantinedAfterFourCrashes(t *testing.T) {
	w := newWorld(6, 9, 12)
	const unknown uint64 = 3
	for !w.quarantined(culprit) {
		w.crash(w.random.IntN(12), 2, 40, firstKey, unknown, culprit)
		for range 20 {
			w.serve(40)
			w.tick()
		}
		assert.Assert(t, w.crashes <= 4, "%d crashes", w.crashes)
	}
	assert.Assert(t, w.quarantined(unknown))
	assert.Equal(t, w.list.Len(), 2, "%v", w.found)
}

// Guards: a part that was answered before crashes engines from some time on, and counts as sound for
// ever.
func TestAPartThatWasAnsweredBeforeIsFoundAfterFiveCrashes(t *testing.T) {
	w := newWorld(1, 9, 12)
	for range 100 {
		w.serve(40)
		w.routers[0].Note(w.now, []uint64{culprit})
		w.tick()
	}
	for !w.quarantined(culprit) {
		w.crash(w.random.IntN(12), 2, 40, firstKey, culprit)
		for range 20 {
			w.serve(40)
			w.tick()
		}
		assert.Assert(t, w.crashes <= 5, "%d crashes", w.crashes)
	}
	assert.Equal(t, w.list.Len(), 1)
}

// Guards: two parts crash engines in the same minute, and only one is found.
func TestTwoPartsThatCrashEnginesAreBothFound(t *testing.T) {
	const second uint64 = 2
	w := newWorld(3, 9, 12)
	for i := 0; !w.quarantined(culprit) || !w.quarantined(second); i++ {
		w.crash(w.random.IntN(12), 1, 40, firstKey, []uint64{culprit, second}[i%2])
		for range 10 {
			w.serve(40)
			w.tick()
		}
		assert.Assert(t, w.crashes <= 10, "%d crashes", w.crashes)
	}
	assert.Equal(t, w.list.Len(), 2, "%v", w.found)
}

// Guards: a quarantine ends, and the part crashes as many engines as the first time.
func TestAPartIsQuarantinedAgainAfterOneCrash(t *testing.T) {
	w := newWorld(4, 9, 12)
	first := w.list.Add(w.now, Part, culprit)
	w.now += first.Left
	w.serve(40)
	assert.Assert(t, !w.quarantined(culprit))
	w.crash(0, 0, 40, firstKey, culprit)
	for range 10 {
		w.tick()
	}
	assert.Assert(t, w.quarantined(culprit))
	assert.Assert(t, w.list.Left(w.now, Part, culprit) > partDurationFactor*first.Left-time.Second)
	assert.Assert(t, !w.quarantined(firstKey))
}

// Guards: a sound part was quarantined once, and is again whenever an engine crashes that has it.
func TestAPartThatWasAnsweredSinceItsQuarantineIsNotQuarantinedAfterOneCrash(t *testing.T) {
	w := newWorld(4, 9, 12)
	first := w.list.Add(w.now, Part, culprit)
	w.now += first.Left
	w.routers[3].Note(w.now, []uint64{culprit})
	w.routers[5].Note(w.now, []uint64{culprit})
	w.now += time.Second
	w.crash(0, 0, 40, firstKey, culprit)
	for range 20 {
		w.tick()
	}
	assert.Assert(t, !w.quarantined(culprit))
}

// Guards: what the detector remembers grows with the crashes, or with the parts of their requests.
func TestDetectorMemoryIsBounded(t *testing.T) {
	w := newWorld(5, 2, 1000)
	for range 1000 {
		w.crash(w.random.IntN(1000), 300, 1_000_000)
		w.now += crashesAtOnce
		w.tick()
	}
	assert.Assert(t, len(w.detector.crashes) <= maxCrashes)
	for _, c := range w.detector.crashes {
		assert.Assert(t, len(c.parts) <= MaxCrashParts)
	}
	assert.Assert(t, len(w.detector.asked) <= maxCrashes*MaxCrashParts && len(w.detector.sound) <= maxCrashes*MaxCrashParts)
	a := NewAnswered()
	for i := range uint64(100_000) {
		a.Note(time.Duration(i), []uint64{i})
	}
	assert.Assert(t, len(a.last) <= maxAnswered+1)
}

// Guards: processes that have different quarantines don't end up with the same ones, or send them to
// each other for ever.
func TestListsBecomeEqualInWhicheverOrderTheyAreMerged(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		lists := []*List{NewList(), NewList(), NewList()}
		for range 40 {
			l := lists[random.IntN(3)]
			l.Add(0, Kind(1+random.IntN(2)), random.Uint64N(10))
		}
		for range 2 {
			for _, at := range random.Perm(9) {
				lists[at/3].Merge(0, lists[at%3].Quarantines(0))
			}
		}
		for _, l := range lists[1:] {
			assert.Equal(t, l.Digest(), lists[0].Digest())
			assert.Assert(t, slices.EqualFunc(l.Quarantines(0), lists[0].Quarantines(0), func(a, b Quarantine) bool {
				return a.Kind == b.Kind && a.Key == b.Key && a.Times == b.Times
			}))
		}
	}
}

// Guards: a list grows without bound, and what has ended long ago comes back from another list.
func TestListIsBoundedAndForgets(t *testing.T) {
	for kind, keep := range map[Kind]time.Duration{Content: keepContent, Part: keepPart} {
		l := NewList()
		for key := range uint64(3 * maxQuarantines) {
			l.Add(time.Duration(key), kind, key)
		}
		assert.Equal(t, l.Len(), maxQuarantines)
		other := NewList()
		other.Merge(0, l.Quarantines(0))
		end := duration(kind, 1) + keep + time.Hour
		l.Expire(end)
		assert.Equal(t, l.Len(), 0)
		assert.Equal(t, l.Digest(), uint64(0))
		assert.Equal(t, len(l.Merge(end, other.Quarantines(end))), 0)
	}
}

// Guards: a disk VM learns from another one that a part is quarantined just before it finds the same
// part, and quarantines it a second time, for longer.
func TestAPartThatTwoDetectorsFindIsQuarantinedOnce(t *testing.T) {
	w := newWorld(8, 9, 12)
	other := newWorld(8, 9, 12)
	for range 6 {
		w.crash(w.random.IntN(12), 0, 40, firstKey, culprit)
		other.crash(other.random.IntN(12), 0, 40, firstKey, culprit)
		for range 10 {
			w.serve(40)
			w.routers[0].Note(w.now, []uint64{firstKey})
			other.routers[0].Note(other.now, []uint64{firstKey})
			w.tick()
			other.list.Merge(w.now, w.list.Quarantines(w.now))
			other.tick()
		}
	}
	assert.Assert(t, w.quarantined(culprit))
	assert.Equal(t, w.list.Quarantines(w.now)[0].Times, 1)
	assert.Equal(t, other.list.Quarantines(w.now)[0].Times, 1)
}

package intake

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards: idle connections take all descriptors, and ordinary callers' are closed for them.
func TestOrdinaryConnectionsAreClosedLast(t *testing.T) {
	const most = 1000
	now := 10 * time.Second
	open := make([]Connection, 0, most)
	for n := range most {
		stage := []Stage{Incomplete, Incomplete, Unread, Idle, Busy}[n%5]
		open = append(open, Connection{Stage: stage, Since: time.Duration(n) * time.Millisecond})
	}
	closed := map[Stage]int{}
	for len(open) > 0 {
		victims := Victims(now, open)
		if len(victims) == 0 {
			break
		}
		last := Connection{}
		gone := map[int]bool{}
		for _, i := range victims {
			assert.Assert(t, open[i].Stage >= last.Stage, "closed in the order of the stages")
			last = open[i]
			closed[last.Stage]++
			gone[i] = true
		}
		if closed[Idle] > 0 {
			assert.Equal(t, closed[Incomplete]+closed[Unread], 3*most/5)
		}
		var left []Connection
		for i, c := range open {
			if !gone[i] {
				left = append(left, c)
			}
		}
		open = left
	}
	assert.Equal(t, len(open), most/5, "busy connections stay")
}

// Guards: an answer that is being read counts as unread, and its connection is closed.
func TestYoungAnswersAreNotUnread(t *testing.T) {
	open := []Connection{{Stage: Unread, Since: time.Second}, {Stage: Idle}}
	assert.DeepEqual(t, Victims(time.Second+youngUnread/2, open), []int{1})
}

// held is a request of the load tests of Memory.
type held struct {
	holding Holding
	taken   int64
}

// Guards: clients hold legal bodies short of their end, and the process passes its memory or refuses
// ordinary bodies.
func TestOrdinaryBodiesFindRoomBesideHeldOnes(t *testing.T) {
	const limit, largest, step = 28 << 20, 4 << 20, 16 << 10
	for _, slow := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond} {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			m := NewMemory(limit)
			crowd := make([]held, 200)
			ordinary, refused, now := 0, 0, time.Duration(0)
			for round := range 2000 {
				now += time.Millisecond + slow
				for i := range crowd {
					c := &crowd[i]
					if c.holding.evicted {
						*c = held{}
					}
					if c.taken < largest-step {
						if granted, _ := m.Take(now, &c.holding, step); granted {
							c.taken += step
						} else {
							m.Release(&c.holding)
							*c = held{}
						}
					}
				}
				assert.Assert(t, m.Used() <= limit)
				if round%10 == 0 {
					caller := &Holding{}
					ordinary++
					if granted, _ := m.Take(now, caller, 2000); !granted {
						refused++
					}
					m.Release(caller)
				}
			}
			assert.Assert(t, refused*100 <= ordinary, "%d of %d ordinary bodies find no room", refused, ordinary)
		})
	}
}

// Guards: complete bodies of the largest size wait for upstreams and leave no room for small ones.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	m := NewMemory(28 << 20)
	large := make([]Holding, 64)
	for i := range large {
		if granted, _ := m.Take(time.Second, &large[i], 4<<20); granted {
			m.Settle(&large[i])
		}
	}
	small := make([]Holding, 400)
	for i := range small {
		granted, evicted := m.Take(2*time.Second, &small[i], 4<<10)
		assert.Assert(t, granted, "small body %d", i)
		assert.Equal(t, len(evicted), 0)
	}
}

// Guards: a single request of the largest size is refused though nothing else is held.
func TestASingleRequestMayHoldAll(t *testing.T) {
	m := NewMemory(10 << 20)
	h := &Holding{}
	for range 10 {
		granted, _ := m.Take(0, h, 1<<20)
		assert.Assert(t, granted)
	}
	granted, _ := m.Take(0, h, 1)
	assert.Assert(t, !granted)
	m.Release(h)
	assert.Equal(t, m.Used(), int64(0))
}

// client is a client of the load test of Work.
type client struct {
	worker Worker
	freeAt time.Duration
	used   time.Duration
	waited time.Duration
}

// act charges a client unless it waits, and returns whether it acted.
func (c *client) act(w *Work, now time.Duration, charge func() time.Duration) bool {
	if now < c.freeAt {
		return false
	}
	if c.freeAt > 0 {
		w.Resume(&c.worker)
		c.freeAt = 0
	}
	before := c.worker.owed
	wait := charge()
	c.used += c.worker.owed - before
	if wait > 0 {
		c.freeAt = now + wait
		c.waited += wait
	}
	return true
}

// Guards: clients that send requests which are refused, chunks of a byte or heads of many fields use
// up the processor, or callers whose requests are served wait for them.
func TestRefusedWorkIsBoundedAndServedCallersDoNotWait(t *testing.T) {
	const processor, lasts = 0.4, 20 * time.Second
	for name, charge := range map[string]func(*Work, time.Duration, *Worker) time.Duration{
		"requests ahead":  func(w *Work, now time.Duration, c *Worker) time.Duration { return w.Request(now, c) },
		"one-byte chunks": func(w *Work, now time.Duration, c *Worker) time.Duration { return w.ReadBody(now, c, 4096, 1365) },
		"many fields":     func(w *Work, now time.Duration, c *Worker) time.Duration { return w.ReadHead(now, c, 4096, 700) },
	} {
		for _, crowd := range []int{1, 8, 64, 500} {
			t.Run(fmt.Sprintf("%s of %d", name, crowd), func(t *testing.T) {
				w := NewWork(processor)
				random := rand.New(rand.NewPCG(1, uint64(crowd)))
				clients, callers := make([]client, crowd), make([]client, 20)
				for now := time.Duration(0); now < lasts; now += 100 * time.Microsecond {
					c := &clients[random.IntN(crowd)]
					c.act(w, now, func() time.Duration { return charge(w, now, &c.worker) })
					if random.IntN(50) == 0 {
						caller := &callers[random.IntN(len(callers))]
						caller.act(w, now, func() time.Duration {
							return w.ReadHead(now, &caller.worker, 700, 8) + w.Request(now, &caller.worker)
						})
						w.Served(&caller.worker)
					}
				}
				var used, waited time.Duration
				for i := range clients {
					used += clients[i].used
				}
				for i := range callers {
					waited += callers[i].waited
				}
				allowed := time.Duration(2*workShare*processor*float64(lasts)) + workBurst + time.Duration(crowd)*4*quantum
				assert.Assert(t, used <= allowed, "%s of processor time was used, %s is allowed", used, allowed)
				assert.Equal(t, waited, time.Duration(0))
			})
		}
	}
}

// Guards: a single request that costs much waits though nobody else sends any.
func TestASingleCostlyRequestDoesNotWait(t *testing.T) {
	w, c := NewWork(0.4), &Worker{}
	w.Connection(0, c)
	for range 4 {
		assert.Equal(t, w.ReadHead(0, c, 4096, 1000), time.Duration(0))
	}
	assert.Equal(t, w.Request(0, c), time.Duration(0))
}

// Guards: a caller whose large bodies are served waits, however many it sends.
func TestLargeBodiesThatAreServedDoNotWait(t *testing.T) {
	w, c := NewWork(0.4), &Worker{}
	for n := range 100 {
		now := time.Duration(n) * 50 * time.Millisecond
		for range 1024 {
			assert.Equal(t, w.ReadBody(now, c, 4096, 16), time.Duration(0))
		}
		w.Served(c)
	}
}

// Guards: a large body that finds no room all the same ends small ones that are on their way.
func TestNobodyGivesWayInVain(t *testing.T) {
	m := NewMemory(10 << 20)
	complete, small, large := &Holding{}, &Holding{}, &Holding{}
	granted, _ := m.Take(0, complete, 9<<20)
	assert.Assert(t, granted)
	m.Settle(complete)
	granted, _ = m.Take(0, small, 1000)
	assert.Assert(t, granted)
	granted, evicted := m.Take(time.Second, large, 1<<20)
	assert.Assert(t, !granted)
	assert.Equal(t, len(evicted), 0)
	granted, _ = m.Take(2*time.Second, small, 1000)
	assert.Assert(t, granted)
}

package orders

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/ownership"
	"endiveplank/protocol"
)

// steps are the named points of one order, in their order: a fault strikes
// right before the step happens.
var steps = []string{
	"propose 1", "committed 1", "handed over", "propose 2", "committed 2", "send",
	"run", "answer", "propose 4", "committed 4", "report", "reply",
}

// faults strike once. The entry is router 0, the dispatcher router 1.
var faults = map[string]func(w *world){
	"none":             func(*world) {},
	"entry killed":     func(w *world) { w.kill(w.routers[0]); w.resend(Digest{1}) },
	"entry frozen":     func(w *world) { w.freeze(w.routers[0], 8*time.Second); w.resend(Digest{1}) },
	"dispatcher dead":  func(w *world) { w.kill(w.routers[1]) },
	"dispatcher froze": func(w *world) { w.freeze(w.routers[1], 8*time.Second); w.resend(Digest{1}) },
	"command lost":     func(w *world) { w.loseCommand = true },
	"answer lost":      func(w *world) { w.loseAnswer = true },
	"desk down": func(w *world) {
		w.deskDown = true
		w.after(time.Second, nil, func() { w.deskDown = false })
	},
	"desk down long": func(w *world) {
		w.deskDown = true
		w.after(2*deadline, nil, func() { w.deskDown = false })
	},
	"caller cut": func(w *world) { w.resend(Digest{1}); w.resend(Digest{1}) },
	"other body": func(w *world) { w.resend(Digest{2}) },
}

// A pilot's fuel order is on its way when one part fails: the router that took
// it, the one that sends it, the leader, the desk, or the pilot's connection;
// and the pilot sends it again through another router at that very moment.
// Whatever the step, the desk runs it at most once, everyone hears the same,
// and a last question by the key gives the answer if one can be known.
func TestOrderAtEveryStep(t *testing.T) {
	for name, strike := range faults {
		for _, step := range steps {
			t.Run(name+"/"+step, func(t *testing.T) {
				w := newWorld(7)
				struck := false
				w.fault = func(at string) {
					if at == step && !struck {
						struck = true
						strike(w)
					}
				}
				w.send(w.routers[0], Digest{1})
				w.run(quiet)
				assert.Equal(t, struck, true)
				if w.deskDown {
					w.deskDown = false
				}
				before := len(w.replies)
				w.resend(Digest{1})
				w.run(2 * quiet)
				assert.Equal(t, len(w.replies), before+1, "the last question got no answer")
				assert.Equal(t, w.broken(), "")
				last := w.replies[before]
				record, _ := w.journal.Lookup(orderKey)
				if mayStayUnknown(name, step) {
					assert.Assert(t, last.Outcome != protocol.NotRun || w.runs == 0)
					return
				}
				assert.Assert(t, last.Outcome != protocol.UnknownRun, "%v", record.State)
			})
		}
	}
}

// mayStayUnknown says which faults destroy the only knowledge of whether the
// order ran: the dispatching router dies after it asked for the right to send
// and before the answer was committed, or the desk breaks off after it got the order.
func mayStayUnknown(fault, step string) bool {
	dispatcherHolds := map[string]bool{"propose 2": true, "committed 2": true, "send": true, "run": true, "answer": true, "propose 4": true}
	switch fault {
	case "dispatcher dead":
		return dispatcherHolds[step]
	case "desk down", "desk down long":
		return step == "run" || step == "answer"
	}
	return false
}

var orderSeeds = flag.Uint64("orderseeds", 4000, "how many seeds of TestOrderUnderRandomFaults to run")

// Everything fails at random: proposals and their answers are lost, commands
// are applied twice and late, routers die and freeze, the desk goes down, and
// the caller keeps asking through any router. No seed may break a promise.
func TestOrderUnderRandomFaults(t *testing.T) {
	for seed := range *orderSeeds {
		w := randomWorld(seed, func(*world) {})
		assert.Equal(t, w.broken(), "", "seed %d", seed)
	}
}

func randomWorld(seed uint64, prepare func(*world)) *world {
	w := newWorld(seed)
	prepare(w)
	w.keepAsking = true
	w.loss = w.rng.IntN(30)
	w.duplicates = w.rng.IntN(40)
	for range 1 + w.rng.IntN(3) {
		w.after(time.Duration(w.rng.IntN(200))*time.Millisecond, nil, func() { w.resend(Digest{1}) })
	}
	for range w.rng.IntN(5) {
		router := w.routers[w.rng.IntN(len(w.routers))]
		w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, nil, func() {
			switch w.rng.IntN(5) {
			case 0:
				w.kill(router)
			case 1:
				w.freeze(router, time.Duration(w.rng.IntN(8000))*time.Millisecond)
			case 2:
				faults["desk down"](w)
			case 3:
				w.resend(Digest{1})
			case 4:
				w.resend(Digest{2})
			}
		})
	}
	w.run(quiet)
	w.resend(Digest{1})
	w.run(2 * quiet)
	return w
}

// Each rule of the journal and of the flows is needed: with any one of them off, some seed
// breaks a promise to a caller.
func TestOrderRulesAreNeeded(t *testing.T) {
	mutations := map[string]func(*Journal, *Command){
		"dispatched is granted again": func(j *Journal, c *Command) {
			if r := j.records[c.Key]; r != nil && c.Op == OpDispatch && r.State == Dispatched {
				j.letGo(r)
				r.State, r.Attempts = Reserved, c.Holder.Attempt-1
			}
		},
		"unknown may run again": func(j *Journal, c *Command) {
			if r := j.records[c.Key]; r != nil && r.State == Unknown {
				r.State = Reserved
			}
		},
		"sealed does not block": func(j *Journal, c *Command) {
			if r := j.records[c.Key]; r != nil && r.State == Sealed {
				r.State = Reserved
			}
		},
		"anyone may seal a dispatched order": func(j *Journal, c *Command) {
			if r := j.records[c.Key]; r != nil && c.Op == OpSeal {
				c.Holder = r.Holder
			}
		},
		"anyone may give a dispatched order back": func(j *Journal, c *Command) {
			if r := j.records[c.Key]; r != nil && c.Op == OpReserve && r.State == Dispatched {
				j.letGo(r)
				r.State = Reserved
			}
		},
		"flows of one router are not told apart": func(_ *Journal, c *Command) {
			c.Holder.Token = 0
		},
		"done is forgotten": func(j *Journal, c *Command) {
			if r := j.records[c.Key]; r != nil && c.Op == OpReserve && r.State == Done {
				j.bytes -= r.size()
				delete(j.records, c.Key)
				j.queue = nil
			}
		},
	}
	flows := map[string]func(*world){
		"not-run only after the seal":   func(w *world) { w.hasty = true },
		"sent only after the record is": func(w *world) { w.eager = true },
	}
	for name, mutate := range mutations {
		flows[name] = func(w *world) { w.mutate = mutate }
	}
	for name, prepare := range flows {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4000) {
				if broken := randomWorld(seed, prepare).broken(); broken != "" {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
			}
			t.Fatal("no seed noticed that the rule is off")
		})
	}
}

// BenchmarkForcedOutcome compares what callers are told with and without the
// forced outcome, under the same faults and seeds.
func BenchmarkForcedOutcome(b *testing.B) {
	for _, noSeal := range []bool{false, true} {
		b.Run(fmt.Sprintf("seal=%t", !noSeal), func(b *testing.B) {
			told := map[protocol.RunOutcome]float64{}
			total := 0.0
			for range b.N {
				for seed := range uint64(2000) {
					w := newWorld(seed)
					w.noSeal = noSeal
					w.loss = 10
					victim := w.routers[w.rng.IntN(3)]
					w.after(time.Duration(w.rng.IntN(20))*time.Millisecond, nil, func() { w.kill(victim) })
					if w.rng.IntN(2) == 0 {
						faults["desk down long"](w)
					}
					w.send(w.routers[0], Digest{1})
					w.run(quiet)
					for _, reply := range w.replies {
						told[reply.Outcome]++
						total++
					}
				}
			}
			for _, outcome := range []protocol.RunOutcome{protocol.Ran, protocol.NotRun, protocol.UnknownRun} {
				b.ReportMetric(100*told[outcome]/total, "told-"+string(outcome)+"-pct")
			}
		})
	}
}

// BenchmarkRecordBytes measures the memory of an answered order with a body of
// 300 bytes; run it with -benchtime=100000x.
func BenchmarkRecordBytes(b *testing.B) {
	settings := DefaultSettings()
	settings.MaxBytes = 1 << 30
	journal := NewJournal(settings)
	open := func(ownership.SessionID) bool { return true }
	before := heapBytes()
	for i := range b.N {
		key := Key{Customer: protocol.CustomerID(fmt.Sprintf("customer-%04d", i%2400)), Key: fmt.Sprintf("%016x", i)}
		holder := Holder{1, uint64(i), 1}
		answer := &Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 300)}
		journal.Apply(Command{Op: OpReserve, Key: key}, open)
		journal.Apply(Command{Op: OpDispatch, Key: key, Holder: holder}, open)
		journal.Apply(Command{Op: OpDone, Key: key, Holder: holder, Answer: answer}, open)
	}
	b.StopTimer()
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "heap-B/order")
	b.ReportMetric(float64(journal.Bytes())/float64(max(journal.Len(), 1)), "counted-B/order")
	runtime.KeepAlive(journal)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

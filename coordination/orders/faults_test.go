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

// steps names the steps of one order, in sequence. A fault is injected right
// before a step. The number in "propose" and "committed" is the command's Op.
var steps = []string{
	"propose 1", "committed 1", "handed over", "propose 2", "committed 2", "send",
	"run", "answer", "propose 4", "committed 4", "report", "reply",
}

// faults are the faults to inject, each once. Router 0 runs the Entry, router 1
// the Dispatcher.
var faults = map[string]func(w *world){
	"none":              func(*world) {},
	"entry killed":      func(w *world) { w.kill(w.routers[0]); w.resend(Digest{1}) },
	"entry frozen":      func(w *world) { w.freeze(w.routers[0], 8*time.Second); w.resend(Digest{1}) },
	"dispatcher killed": func(w *world) { w.kill(w.routers[1]) },
	"dispatcher frozen": func(w *world) { w.freeze(w.routers[1], 8*time.Second); w.resend(Digest{1}) },
	"command lost":      func(w *world) { w.loseCommand = true },
	"answer lost":       func(w *world) { w.loseAnswer = true },
	"desk down": func(w *world) {
		w.deskDown = true
		w.after(time.Second, nil, func() { w.deskDown = false })
	},
	"desk down long": func(w *world) {
		w.deskDown = true
		w.after(2*callerTimeout, nil, func() { w.deskDown = false })
	},
	"caller cut": func(w *world) { w.resend(Digest{1}); w.resend(Digest{1}) },
	"other body": func(w *world) { w.resend(Digest{2}) },
}

// While an order is in flight one part fails: the entry router, the dispatching
// router, a command to the leader or its reply, the order desk, or the caller's
// connection; with some faults the caller resends the order through another
// router at the same moment. Whichever step fails, the desk must run the order
// at most once, all replies must agree, and a last request with the same key
// must get the answer if it can be known.
func TestOrderAtEveryStep(t *testing.T) {
	for name, inject := range faults {
		for _, step := range steps {
			t.Run(name+"/"+step, func(t *testing.T) {
				w := newWorld(7)
				injected := false
				w.fault = func(at string) {
					if at == step && !injected {
						injected = true
						inject(w)
					}
				}
				w.send(w.routers[0], Digest{1})
				w.run(runTime)
				assert.Equal(t, injected, true)
				if w.deskDown {
					w.deskDown = false
				}
				before := len(w.replies)
				w.resend(Digest{1})
				w.run(2 * runTime)
				assert.Equal(t, len(w.replies), before+1, "the last request got no reply")
				assert.Equal(t, w.brokenPromise(), "")
				last := w.replies[before]
				record, _ := w.journal.Lookup(orderKey)
				if canStayUnknown(name, step) {
					assert.Assert(t, last.Outcome != protocol.NotRun || w.runs == 0)
					return
				}
				assert.Assert(t, last.Outcome != protocol.UnknownRun, "%v", record.State)
			})
		}
	}
}

// canStayUnknown reports whether a fault at a step loses the only information
// about whether the order ran: the dispatching router dies after it asked for
// the right to send and before the answer is committed, or the desk fails after
// it received the order.
func canStayUnknown(fault, step string) bool {
	dispatcherHolds := map[string]bool{"propose 2": true, "committed 2": true, "send": true, "run": true, "answer": true, "propose 4": true}
	switch fault {
	case "dispatcher killed":
		return dispatcherHolds[step]
	case "desk down", "desk down long":
		return step == "run" || step == "answer"
	}
	return false
}

var orderSeeds = flag.Uint64("orderseeds", 4000, "how many seeds of TestOrderUnderRandomFaults to run")

// Everything fails at random: proposals and their replies are lost, commands are
// applied twice and late, routers die and freeze, the desk goes down, and the
// caller keeps asking through any router. No seed may break a promise to the
// caller (see world.brokenPromise).
func TestOrderUnderRandomFaults(t *testing.T) {
	for seed := range *orderSeeds {
		w := randomWorld(seed, func(*world) {})
		assert.Equal(t, w.brokenPromise(), "", "seed %d", seed)
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
	w.run(runTime)
	w.resend(Digest{1})
	w.run(2 * runTime)
	return w
}

// Guards against tests that miss a broken rule: each case switches off one rule
// of the Journal, the Entry or the Dispatcher, and at least one seed must then
// break a promise to a caller.
func TestOrderRulesAreNeeded(t *testing.T) {
	mutations := map[string]func(*Journal, *Command){
		"dispatched is granted again": func(j *Journal, c *Command) {
			if r := j.records[c.Key]; r != nil && c.Op == OpDispatch && r.State == Dispatched {
				j.removeDispatched(r)
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
		"anyone may return a dispatched order": func(j *Journal, c *Command) {
			if r := j.records[c.Key]; r != nil && c.Op == OpReserve && r.State == Dispatched {
				j.removeDispatched(r)
				r.State = Reserved
			}
		},
		"attempts in one router are not distinguished": func(_ *Journal, c *Command) {
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
	rules := map[string]func(*world){
		"reply not-run only after the seal":     func(w *world) { w.replyBeforeSeal = true },
		"send only after the dispatched record": func(w *world) { w.sendBeforeRecord = true },
	}
	for name, mutate := range mutations {
		rules[name] = func(w *world) { w.mutate = mutate }
	}
	for name, prepare := range rules {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4000) {
				if broken := randomWorld(seed, prepare).brokenPromise(); broken != "" {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
			}
			t.Fatal("no seed noticed that the rule is off")
		})
	}
}

// BenchmarkForcedOutcome compares the replies to callers with and without the
// seal that an Entry proposes shortly before the deadline, under the same faults
// and seeds.
func BenchmarkForcedOutcome(b *testing.B) {
	for _, noSeal := range []bool{false, true} {
		b.Run(fmt.Sprintf("seal=%t", !noSeal), func(b *testing.B) {
			replies := map[protocol.RunOutcome]float64{}
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
					w.run(runTime)
					for _, reply := range w.replies {
						replies[reply.Outcome]++
						total++
					}
				}
			}
			for _, outcome := range []protocol.RunOutcome{protocol.Ran, protocol.NotRun, protocol.UnknownRun} {
				b.ReportMetric(100*replies[outcome]/total, "told-"+string(outcome)+"-pct")
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

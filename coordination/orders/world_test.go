package orders

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/ownership"
	"endiveplank/protocol"
)

// world simulates one order: its Entries and Dispatchers in three routers, the
// journal, the order desk and a caller, with latencies and faults from a seed,
// in simulated time.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	serial  int
	journal *Journal
	routers []*testRouter
	tokens  uint64
	// mutate switches off a rule of the journal before a command is applied.
	mutate func(*Journal, *Command)
	// fault is called before each of the named steps.
	fault func(step string)
	// loss is the chance in percent that a proposal or its reply is lost,
	// duplicates that a command is applied a second time.
	loss, duplicates int
	// noSeal drops every proposal of OpSeal.
	noSeal bool
	// replyBeforeSeal makes Entries reply "not run" before the seal is committed.
	// sendBeforeRecord makes Dispatchers send the order before the dispatched
	// record is committed.
	replyBeforeSeal, sendBeforeRecord bool
	// loseCommand and loseAnswer lose the next command or the reply to it.
	loseCommand, loseAnswer bool
	deskDown                bool
	runs                    int
	replies                 []Reply
	keepAsking              bool
	// wrongConflict says that a reply named a digest conflict although there was
	// none, or named none although there was one.
	wrongConflict bool
}

type testRouter struct {
	id      int
	session ownership.SessionID
	alive   bool
	// frozenUntil is when the router resumes after a freeze.
	frozenUntil time.Duration
	// open says that the router's session is open.
	open bool
	// onKill is called after a latency when the router is killed.
	onKill []func()
}

type event struct {
	at     time.Duration
	serial int
	router *testRouter
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const (
	sessionTimeout = 3500 * time.Millisecond
	callerTimeout  = 5 * time.Second
	// runTime is the simulated time of a run before the last request.
	runTime = 60 * time.Second
)

var orderKey = Key{Customer: "acme", Key: "uplift-17"}

func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), journal: NewJournal(DefaultSettings()), fault: func(string) {}}
	for i := range 3 {
		w.routers = append(w.routers, &testRouter{id: i, session: ownership.SessionID(i + 1), alive: true, open: true})
	}
	return w
}

// after schedules run on a router, or outside of any router if router is nil. A
// dead router drops it; a frozen one runs it when it resumes.
func (w *world) after(wait time.Duration, router *testRouter, run func()) {
	w.serial++
	heap.Push(&w.events, event{w.now + wait, w.serial, router, run})
}

func (w *world) latency() time.Duration {
	return time.Millisecond + time.Duration(w.rng.IntN(4000))*time.Microsecond
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		if e.router != nil && !e.router.alive {
			continue
		}
		if e.router != nil && w.now < e.router.frozenUntil {
			w.after(e.router.frozenUntil-w.now, e.router, e.run)
			continue
		}
		e.run()
	}
	w.now = until
}

func (w *world) kill(r *testRouter) {
	r.alive = false
	for _, notify := range r.onKill {
		w.after(w.latency(), nil, notify)
	}
	w.after(sessionTimeout, nil, func() { w.closeSession(r) })
}

func (w *world) freeze(r *testRouter, length time.Duration) {
	r.frozenUntil = w.now + length
	if length > sessionTimeout {
		w.after(sessionTimeout, nil, func() { w.closeSession(r) })
	}
}

func (w *world) closeSession(r *testRouter) {
	if r.open {
		r.open = false
		w.journal.SessionClosed(r.session)
	}
}

func (w *world) isOpen(id ownership.SessionID) bool {
	return id > 0 && int(id) <= len(w.routers) && w.routers[id-1].open
}

// propose applies a command after a latency and passes its result to deliver.
func (w *world) propose(r *testRouter, command Command, deliver func(Input)) {
	apply := func() Result {
		if w.mutate != nil {
			w.mutate(w.journal, &command)
		}
		return w.journal.Apply(command, w.isOpen)
	}
	w.after(w.latency(), nil, func() {
		w.fault(fmt.Sprintf("propose %d", command.Op))
		lost := w.loseCommand || w.rng.IntN(100) < w.loss
		w.loseCommand = false
		if lost {
			w.after(200*time.Millisecond, r, func() { deliver(ProposalUncertain{command.Op}) })
			return
		}
		result := apply()
		if w.rng.IntN(100) < w.duplicates {
			w.after(time.Duration(w.rng.IntN(2000))*time.Millisecond, nil, func() { apply() })
		}
		w.fault(fmt.Sprintf("committed %d", command.Op))
		lost = w.loseAnswer || w.rng.IntN(100) < w.loss
		w.loseAnswer = false
		if lost {
			w.after(200*time.Millisecond, r, func() { deliver(ProposalUncertain{command.Op}) })
			return
		}
		w.after(w.latency(), r, func() { deliver(Committed{command.Op, result}) })
	})
}

// send starts a caller's request at a router.
func (w *world) send(r *testRouter, digest Digest) {
	entry := NewEntry(orderKey, digest, w.now+callerTimeout)
	var step func(Input)
	tick := func() {}
	tick = func() {
		step(Tick{})
		if !entry.Ended() {
			w.after(max(entry.NextTick()-w.now, 50*time.Millisecond), r, tick)
		}
	}
	step = func(in Input) {
		for _, out := range entry.Step(w.now, in) {
			switch o := out.(type) {
			case Propose:
				if w.noSeal && o.Command.Op == OpSeal {
					continue
				}
				if w.replyBeforeSeal && o.Command.Op == OpSeal {
					w.reply(Reply{Outcome: protocol.NotRun, Reason: ReasonSealed}, digest)
				}
				w.propose(r, o.Command, step)
			case ReadRecord:
				w.after(o.After, r, func() {
					record, _ := w.journal.Lookup(orderKey)
					if w.rng.IntN(10) == 0 {
						record = Record{}
					}
					step(RecordRead{record})
				})
			case Dispatch:
				w.dispatch(r, digest, o.Attempt, entry.deadline, step)
			case Reply:
				w.after(0, nil, func() { w.reply(o, digest) })
			}
		}
	}
	w.after(w.latency(), r, func() { step(Start{}) })
	w.after(callerTimeout-sealMargin, r, tick)
}

// dispatch starts a Dispatcher in the next router if it is alive, or else in the
// entry router itself.
func (w *world) dispatch(entryRouter *testRouter, digest Digest, attempt uint32, deadline time.Duration, report func(Input)) {
	r := w.routers[(entryRouter.id+1)%len(w.routers)]
	if !r.alive {
		r = entryRouter
	}
	w.tokens++
	dispatcher := NewDispatcher(orderKey, digest, Holder{r.session, w.tokens, attempt}, deadline)
	r.onKill = append(r.onKill, func() {
		if entryRouter.alive {
			report(DispatcherLost{})
		}
	})
	var step func(Input)
	step = func(in Input) {
		for _, out := range dispatcher.Step(w.now, w.now >= r.frozenUntil && r.open, in) {
			switch o := out.(type) {
			case Propose:
				if w.noSeal && o.Command.Op == OpSeal {
					continue
				}
				if w.sendBeforeRecord && o.Command.Op == OpDispatch {
					w.call(r, func(Input) {})
				}
				w.propose(r, o.Command, step)
			case Call:
				w.call(r, step)
			case Report:
				w.after(w.latency(), entryRouter, func() {
					w.fault("report")
					w.after(0, entryRouter, func() { report(Reported{o}) })
				})
			}
		}
	}
	w.after(w.latency(), r, func() {
		w.fault("handed over")
		w.after(0, r, func() { step(Start{}) })
	})
	w.after(deadline-w.now, r, func() { step(Tick{}) })
}

// call sends the order to the desk, which runs whatever it receives.
func (w *world) call(r *testRouter, deliver func(Input)) {
	w.after(0, r, func() {
		w.fault("send")
		w.after(0, r, func() { w.connect(r, deliver) })
	})
}

func (w *world) connect(r *testRouter, deliver func(Input)) {
	if w.deskDown {
		w.after(w.latency(), r, func() { deliver(NotConnected{}) })
		return
	}
	w.after(w.latency(), nil, func() {
		w.fault("run")
		if w.deskDown {
			w.after(w.latency(), r, func() { deliver(ConnectionBroken{}) })
			return
		}
		w.runs++
		answer := Answer{Status: 200, Body: fmt.Appendf(nil, "ticket %d", w.runs)}
		w.fault("answer")
		if w.deskDown {
			w.after(w.latency(), r, func() { deliver(ConnectionBroken{}) })
			return
		}
		w.after(w.latency(), r, func() { deliver(Answered{answer}) })
	})
}

// reply records a reply to the caller. With keepAsking the caller resends the
// order after an unknown outcome.
func (w *world) reply(reply Reply, digest Digest) {
	w.fault("reply")
	record, _ := w.journal.Lookup(orderKey)
	if reply.Outcome != protocol.UnknownRun && (reply.Reason == ReasonDigestConflict) != (record.Digest != digest) {
		w.wrongConflict = true
	}
	w.replies = append(w.replies, reply)
	if w.keepAsking && reply.Outcome == protocol.UnknownRun && w.now < runTime/2 {
		w.after(time.Second, nil, func() { w.resend(digest) })
	}
}

// resend sends the order again through a random router that is alive and not
// frozen.
func (w *world) resend(digest Digest) {
	for _, i := range w.rng.Perm(len(w.routers)) {
		if r := w.routers[i]; r.alive && w.now >= r.frozenUntil {
			w.send(r, digest)
			return
		}
	}
}

// brokenPromise returns the promise to callers that was broken, or "".
func (w *world) brokenPromise() string {
	if w.wrongConflict {
		return "a caller was told wrongly whether its key was used for another request"
	}
	if w.runs > 1 {
		return fmt.Sprintf("the order ran %d times", w.runs)
	}
	var answer string
	for _, reply := range w.replies {
		switch {
		case reply.Outcome == protocol.NotRun && reply.Reason == ReasonSealed && w.runs > 0:
			return "a caller was told not-run, but it ran"
		case reply.Outcome != protocol.Ran:
			continue
		case w.runs == 0:
			return "a caller was told ran, but it did not"
		case answer != "" && answer != string(reply.Answer.Body):
			return "callers got different answers"
		}
		answer = string(reply.Answer.Body)
	}
	return ""
}

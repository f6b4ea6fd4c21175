package orders

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/ownership"
	"endiveplank/protocol"
)

// world runs the flows of one order against a journal, a desk and a caller,
// with latencies and faults from a seed, in simulated time.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	serial  int
	journal *Journal
	routers []*routerProc
	tokens  uint64
	// mutate switches a rule of the journal off before a command is applied.
	mutate func(*Journal, *Command)
	// fault is asked once before each named step.
	fault func(step string)
	// loss is the chance in percent that a proposal or its answer is lost.
	loss, duplicates int
	noSeal           bool
	// hasty callers' routers say not-run before the seal is committed; eager
	// dispatchers send before their record is.
	hasty, eager bool
	// command, answer: the next such message is lost.
	loseCommand, loseAnswer bool
	deskDown                bool
	runs                    int
	replies                 []Reply
	keepAsking              bool
	// mistaken: the key's digest was told apart wrongly.
	mistaken bool
}

type routerProc struct {
	id       int
	session  ownership.SessionID
	alive    bool
	frozen   time.Duration
	open     bool
	stopping []func()
}

type event struct {
	at     time.Duration
	serial int
	router *routerProc
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
	sessionLoss = 3500 * time.Millisecond
	deadline    = 5 * time.Second
	quiet       = 60 * time.Second
)

var orderKey = Key{Customer: "acme", Key: "uplift-17"}

func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), journal: NewJournal(DefaultSettings()), fault: func(string) {}}
	for i := range 3 {
		w.routers = append(w.routers, &routerProc{id: i, session: ownership.SessionID(i + 1), alive: true, open: true})
	}
	return w
}

// after runs a step on a router, or outside of any if router is nil.
func (w *world) after(wait time.Duration, router *routerProc, run func()) {
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
		if e.router != nil && w.now < e.router.frozen {
			w.after(e.router.frozen-w.now, e.router, e.run)
			continue
		}
		e.run()
	}
	w.now = until
}

func (w *world) kill(r *routerProc) {
	r.alive = false
	for _, tell := range r.stopping {
		w.after(w.latency(), nil, tell)
	}
	w.after(sessionLoss, nil, func() { w.closeSession(r) })
}

func (w *world) freeze(r *routerProc, length time.Duration) {
	r.frozen = w.now + length
	if length > sessionLoss {
		w.after(sessionLoss, nil, func() { w.closeSession(r) })
	}
}

func (w *world) closeSession(r *routerProc) {
	if r.open {
		r.open = false
		w.journal.SessionClosed(r.session)
	}
}

func (w *world) isOpen(id ownership.SessionID) bool {
	return id > 0 && int(id) <= len(w.routers) && w.routers[id-1].open
}

// propose applies a command after a latency and tells its result.
func (w *world) propose(r *routerProc, command Command, tell func(Input)) {
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
			w.after(200*time.Millisecond, r, func() { tell(ProposalLost{command.Op}) })
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
			w.after(200*time.Millisecond, r, func() { tell(ProposalLost{command.Op}) })
			return
		}
		w.after(w.latency(), r, func() { tell(Committed{command.Op, result}) })
	})
}

// send starts a caller's request at a router.
func (w *world) send(r *routerProc, digest Digest) {
	flow := NewEntry(orderKey, digest, w.now+deadline)
	var step func(Input)
	tick := func() {}
	tick = func() {
		step(Tick{})
		if !flow.Ended() {
			w.after(max(flow.NextTick()-w.now, 50*time.Millisecond), r, tick)
		}
	}
	step = func(in Input) {
		for _, out := range flow.Step(w.now, in) {
			switch o := out.(type) {
			case Propose:
				if w.noSeal && o.Command.Op == OpSeal {
					continue
				}
				if w.hasty && o.Command.Op == OpSeal {
					w.reply(Reply{Outcome: protocol.NotRun, Reason: ReasonSealed}, digest)
				}
				w.propose(r, o.Command, step)
			case Look:
				w.after(o.After, r, func() {
					record, _ := w.journal.Lookup(orderKey)
					if w.rng.IntN(10) == 0 {
						record = Record{}
					}
					step(Looked{record})
				})
			case Dispatch:
				w.dispatch(r, digest, o.Attempt, flow.deadline, step)
			case Reply:
				w.after(0, nil, func() { w.reply(o, digest) })
			}
		}
	}
	w.after(w.latency(), r, func() { step(Start{}) })
	w.after(deadline-sealMargin, r, tick)
}

// dispatch hands the order to another live router.
func (w *world) dispatch(entry *routerProc, digest Digest, attempt uint32, deadline time.Duration, report func(Input)) {
	r := w.routers[(entry.id+1)%len(w.routers)]
	if !r.alive {
		r = entry
	}
	w.tokens++
	flow := NewDispatcher(orderKey, digest, Holder{r.session, w.tokens, attempt}, deadline)
	r.stopping = append(r.stopping, func() {
		if entry.alive {
			report(DispatcherLost{})
		}
	})
	var step func(Input)
	step = func(in Input) {
		for _, out := range flow.Step(w.now, w.now >= r.frozen && r.open, in) {
			switch o := out.(type) {
			case Propose:
				if w.noSeal && o.Command.Op == OpSeal {
					continue
				}
				if w.eager && o.Command.Op == OpDispatch {
					w.call(r, func(Input) {})
				}
				w.propose(r, o.Command, step)
			case Call:
				w.call(r, step)
			case Report:
				w.after(w.latency(), entry, func() {
					w.fault("report")
					w.after(0, entry, func() { report(Reported{o}) })
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

// call is the desk: it runs whatever reaches it.
func (w *world) call(r *routerProc, tell func(Input)) {
	w.after(0, r, func() {
		w.fault("send")
		w.after(0, r, func() { w.connect(r, tell) })
	})
}

func (w *world) connect(r *routerProc, tell func(Input)) {
	if w.deskDown {
		w.after(w.latency(), r, func() { tell(NotConnected{}) })
		return
	}
	w.after(w.latency(), nil, func() {
		w.fault("run")
		if w.deskDown {
			w.after(w.latency(), r, func() { tell(Broken{}) })
			return
		}
		w.runs++
		answer := Answer{Status: 200, Body: fmt.Appendf(nil, "ticket %d", w.runs)}
		w.fault("answer")
		if w.deskDown {
			w.after(w.latency(), r, func() { tell(Broken{}) })
			return
		}
		w.after(w.latency(), r, func() { tell(Answered{answer}) })
	})
}

// reply notes what a caller is told. A caller who keeps asking sends again
// after an unknown outcome.
func (w *world) reply(reply Reply, digest Digest) {
	w.fault("reply")
	record, _ := w.journal.Lookup(orderKey)
	if reply.Outcome != protocol.UnknownRun && (reply.Reason == ReasonDigestConflict) != (record.Digest != digest) {
		w.mistaken = true
	}
	w.replies = append(w.replies, reply)
	if w.keepAsking && reply.Outcome == protocol.UnknownRun && w.now < quiet/2 {
		w.after(time.Second, nil, func() { w.resend(digest) })
	}
}

// resend goes through any router that is alive and not frozen.
func (w *world) resend(digest Digest) {
	for _, i := range w.rng.Perm(len(w.routers)) {
		if r := w.routers[i]; r.alive && w.now >= r.frozen {
			w.send(r, digest)
			return
		}
	}
}

// broken returns which promise to callers was not kept, empty if none.
func (w *world) broken() string {
	if w.mistaken {
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

package control

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// starting is a fleet that starts for the first time, with all its upstreams, and is
// given its first table. All bytes take their time on the links of both ends.
type starting struct {
	now       time.Duration
	random    *rand.Rand
	vms       []*station
	routers   []*station
	byID      map[protocol.RouterID]*station
	byAddress map[string]*station
	upstreams []*announcer
	events    happenings
	table     *document.Document
	// acceptedAt is when the table was on a quorum of disk VMs and the operator told.
	acceptedAt time.Duration
	// slowest is the longest way of a heartbeat between disk VMs.
	slowest time.Duration
	calls   int
	failed  int
}

// station is a process with its link.
type station struct {
	id   protocol.RouterID
	rate float64
	// out and in are until when the link is busy in each direction.
	out, in time.Duration
	sent    int
	taken   int
	startAt time.Duration
	vm      *vm
	route   *follow
	// waiting are announcements that wait for a disk VM's word, by message.
	waiting map[uint64][]*call
	hasAt   time.Duration
	knewAt  time.Duration
}

// announcer is an upstream that announces itself.
type announcer struct {
	entry roster.Entry
	// at is whom it calls, and connected whether it has a connection there.
	at        *station
	connected bool
	attempt   int
}

// call is one announcement under way.
type call struct {
	from    *announcer
	attempt int
	began   time.Duration
}

// happening is something that happens at a time.
type happening struct {
	at time.Duration
	do func()
}

type happenings []happening

func (h happenings) Len() int           { return len(h) }
func (h happenings) Less(i, j int) bool { return h[i].at < h[j].at }
func (h happenings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)        { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// startingFleet is the size of a fleet that starts.
type startingFleet struct {
	routers, upstreams     int
	diskVMRate, routerRate float64
}

// Bytes of an announcement on the wire, with all packets.
const (
	connectBytes = 220
	requestBytes = 560
	answerBytes  = 300
	// callPatience is how long an upstream waits for an answer.
	callPatience = time.Second
	beatInterval = 1200 * time.Millisecond
	// tableBytes is the operator's call with a table.
	tableBytes = 60_000
	// heartbeatBytes and heartbeatInterval are those of consensus.
	heartbeatBytes    = 180
	heartbeatInterval = 150 * time.Millisecond
)

// after has something happen later.
func (w *starting) after(d time.Duration, do func()) {
	heap.Push(&w.events, happening{at: w.now + d, do: do})
}

// carry brings bytes from one end to the other; nil is somebody whose link is wide.
func (w *starting) carry(from, to *station, bytes int, do func()) {
	at := w.now
	if from != nil {
		from.out = max(from.out, w.now) + time.Duration(float64(bytes)/from.rate*float64(time.Second))
		from.sent += bytes
		at = from.out
	}
	at += way
	heap.Push(&w.events, happening{at: at, do: func() {
		if to == nil {
			do()
			return
		}
		to.in = max(to.in, w.now) + time.Duration(float64(bytes)/to.rate*float64(time.Second))
		to.taken += bytes
		heap.Push(&w.events, happening{at: max(to.in, to.startAt), do: do})
	}})
}

// start builds the fleet.
func (s startingFleet) start() *starting {
	w := &starting{random: rand.New(rand.NewPCG(5, 6)), byID: map[protocol.RouterID]*station{}, byAddress: map[string]*station{}}
	var ids []protocol.RouterID
	for i := range 5 {
		ids = append(ids, protocol.RouterID(fmt.Sprintf("10.%d.0.81:7400", i+1)))
	}
	for _, id := range ids {
		r := roster.New(roster.DefaultSettings())
		v := &station{id: id, rate: s.diskVMRate, vm: &vm{roster: r, publisher: NewPublisher(r, int(s.diskVMRate))}, startAt: w.within(300 * time.Millisecond)}
		v.vm.publisher.SetDiskVMs(ids)
		v.route = &follow{Follower: NewFollower(id, false, ids, r), roster: r}
		w.vms = append(w.vms, v)
		w.byID[id] = v
	}
	for i := range s.routers {
		dc := i%5 + 1
		id := protocol.RouterID(fmt.Sprintf("10.%d.%d.%d:7400", dc, i/5/200, 100+i/5%200))
		r := roster.New(roster.DefaultSettings())
		f := &follow{Follower: NewFollower(id, true, ids[:3], r), roster: r}
		f.SetRelay(NewRelay(Router{ID: id, DataCentre: protocol.DataCentre(fmt.Sprint("hall-", dc))}, int(s.routerRate)))
		f.SetAnnouncements(string(id))
		v := &station{id: id, rate: s.routerRate, route: f, waiting: map[uint64][]*call{}, startAt: w.within(300 * time.Millisecond)}
		w.routers = append(w.routers, v)
		w.byID[id] = v
		w.byAddress[string(id)] = v
	}
	for i := range s.upstreams {
		u := &announcer{entry: roster.Entry{
			ID: protocol.UpstreamID("i-" + word(w.random, 10)), Service: "xahu85a", Address: fmt.Sprintf("10.%d.%d.%d:8084", i%5+1, 64+i/1000, i/5%200),
			DataCentre: protocol.DataCentre(fmt.Sprint("hall-", i%5+1)), Build: "v1", Slots: 16, State: roster.Ready,
		}}
		w.upstreams = append(w.upstreams, u)
		w.after(w.within(300*time.Millisecond), func() { w.announce(u) })
	}
	for _, v := range slices.Concat(w.vms, w.routers) {
		w.after(v.startAt, func() { w.tick(v) })
	}
	w.after(time.Second, w.beatHearts)
	w.table = document.New(1, tableBody(w.random, 245))
	w.after(3*time.Second, func() { w.putTable(0) })
	return w
}

func (w *starting) within(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// run plays until a time.
func (w *starting) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		next := heap.Pop(&w.events).(happening)
		w.now = max(w.now, next.at)
		next.do()
	}
	w.now = until
}

// announce makes an upstream's next call.
func (w *starting) announce(u *announcer) {
	if u.at == nil {
		u.at = w.vms[w.random.IntN(len(w.vms))]
		u.connected = false
	}
	u.entry.Sequence++
	u.attempt++
	w.calls++
	c := &call{from: u, attempt: u.attempt, began: w.now}
	to, bytes := u.at, requestBytes
	w.after(callPatience, func() { w.ended(c, false, "") })
	if u.connected {
		w.carry(nil, to, bytes, func() { w.heard(to, c) })
		return
	}
	w.carry(nil, to, connectBytes/2, func() {
		w.carry(to, nil, connectBytes/2, func() { w.carry(nil, to, bytes, func() { w.heard(to, c) }) })
	})
}

// ended notes how a call ended, once.
func (w *starting) ended(c *call, good bool, next string) {
	u := c.from
	if c.attempt != u.attempt {
		return
	}
	u.attempt++
	if !good {
		w.failed++
		u.at = nil
		w.after(w.within(100*time.Millisecond), func() { w.announce(u) })
		return
	}
	u.connected = true
	if to := w.byAddress[next]; to != nil && to != u.at {
		u.at, u.connected = to, false
	}
	w.after(max(0, c.began+beatInterval-w.now), func() { w.announce(u) })
}

// answer sends the answer to a call.
func (w *starting) answer(from *station, c *call, good bool, next string) {
	w.carry(from, nil, answerBytes, func() { w.ended(c, good, next) })
}

// heard takes an announcement at a disk VM or a router.
func (w *starting) heard(v *station, c *call) {
	e := c.from.entry
	if v.vm != nil {
		if v.vm.roster.RecordAnnouncement(w.now, e) {
			v.vm.publisher.Heard(e.ID)
		}
		w.answer(v, c, true, v.vm.publisher.AnnounceAt(w.now, e))
		return
	}
	known, number, waits := v.route.TakeAnnouncement(w.now, e)
	if waits {
		v.waiting[number] = append(v.waiting[number], c)
		return
	}
	w.answer(v, c, known, "")
}

// send puts messages on a station's link.
func (w *starting) send(from *station, sends []Send) {
	for _, s := range sends {
		to := w.byID[s.To]
		w.carry(from, to, len(codec.Marshal(s.Body))+frameBytes, func() { w.take(to, from, s.Body) })
	}
}

// tick does what is due on a process.
func (w *starting) tick(v *station) {
	defer w.after(tick, func() { w.tick(v) })
	w.send(v, v.route.Tick(w.now))
	if v.vm != nil {
		w.send(v, v.vm.publisher.PushHeard(w.now))
		w.send(v, v.vm.publisher.SendWaiting(w.now))
		return
	}
	others := slices.DeleteFunc(v.route.Routers(w.now), func(other Router) bool { return other.ID == v.id })
	v.route.relay.SetRouters(others)
	w.send(v, v.route.relay.Due(w.now))
	if v.hasAt == 0 && v.route.InForce() != nil {
		v.hasAt = w.now
	}
	if v.knewAt == 0 && v.route.roster.Usable() > 0 && v.route.KnowsMost(w.now) {
		v.knewAt = w.now
	}
}

// take delivers a message.
func (w *starting) take(v, from *station, body any) {
	f := v.route
	switch m := body.(type) {
	case Watch:
		if v.vm != nil {
			w.send(v, v.vm.publisher.Watched(w.now, from.id, m))
		} else {
			f.Asked(w.now, from.id, m)
		}
	case News:
		w.send(v, f.TakeNews(w.now, from.id, m))
	case List:
		f.TakeList(w.now, from.id, m)
	case Changes:
		w.send(v, f.TakeChanges(w.now, from.id, m))
	case ChangesAck:
		v.vm.publisher.Acknowledged(from.id, m)
	case Heard:
		for _, heard := range m.Upstreams {
			v.vm.roster.Refresh(w.now, heard)
		}
	case Announced:
		ack, _ := v.vm.publisher.TakeAnnounced(w.now, from.id, m)
		w.send(v, []Send{ack})
	case AnnouncedAck:
		for _, c := range v.waiting[m.Number] {
			w.answer(v, c, true, "")
		}
		delete(v.waiting, m.Number)
	case Document:
		more, _ := f.TakeDocument(w.now, from.id, m, func(*document.Document) error { return nil })
		w.send(v, more)
	}
	if f.relay != nil {
		w.send(v, f.relay.Due(w.now))
	}
}

// beatHearts has the first disk VM, which leads, tell the others that it lives.
func (w *starting) beatHearts() {
	defer w.after(heartbeatInterval, w.beatHearts)
	for _, v := range w.vms[1:] {
		began := w.now
		w.carry(w.vms[0], v, heartbeatBytes, func() { w.slowest = max(w.slowest, w.now-began) })
	}
}

// putTable has the operator send the table to a disk VM, to another one after a second.
func (w *starting) putTable(at int) {
	if w.acceptedAt > 0 {
		return
	}
	v, leader := w.vms[at], w.vms[0]
	w.after(2*time.Second, func() { w.putTable((at + 1) % len(w.vms)) })
	w.carry(nil, v, tableBytes, func() {
		w.carry(v, leader, 6000, func() { w.replicate(leader, v) })
	})
}

// replicate brings the table to a quorum, and tells the operator.
func (w *starting) replicate(leader, asked *station) {
	acks := 1
	for _, v := range w.vms[1:] {
		w.carry(leader, v, 6000, func() {
			w.carry(v, leader, heartbeatBytes, func() {
				if acks++; acks == 3 {
					w.carry(leader, asked, heartbeatBytes, func() { w.carry(asked, nil, answerBytes, w.accepted) })
				}
			})
		})
	}
}

// accepted puts the table in force on all disk VMs.
func (w *starting) accepted() {
	if w.acceptedAt > 0 {
		return
	}
	w.acceptedAt = w.now
	for _, v := range w.vms {
		w.send(v, v.vm.publisher.SetDocument(w.now, w.table, document.MakeChange(nil, w.table)))
	}
}

// full plays the fleet at the size that it stands for, and not at a third of it.
var full = flag.Bool("starting.full", false, "play 300 routers and 3,003 upstreams")

// thousands is a fleet of hundreds of routers and thousands of upstreams on small links,
// all of it divided by the same.
func thousands(mbps float64) startingFleet {
	const bitsPerByte = 8
	part := 3.0
	if *full {
		part = 1
	}
	link := func(mbps float64) float64 { return mbps * 1e6 / bitsPerByte / part }
	return startingFleet{routers: int(300 / part), upstreams: int(3003 / part), diskVMRate: link(mbps), routerRate: link(10)}
}

const (
	// acceptedWithin and inForceWithin are what operators are promised for a change.
	acceptedWithin = 4 * time.Second
	inForceWithin  = 3 * time.Second
	// electionTimeout is how long disk VMs may be without a heartbeat.
	electionTimeout = 750 * time.Millisecond
)

// Guards: upstreams, routers and disk VMs start together, the disk VMs' links are full,
// and no table is accepted.
func TestAFleetThatStartsWithAllItsUpstreamsTakesItsTable(t *testing.T) {
	for _, mbps := range []float64{4.2, 6} {
		w := thousands(mbps).start()
		w.run(3*time.Second + acceptedWithin)
		assert.Assert(t, w.acceptedAt > 0, "no table was accepted in time on %v Mbit/s", mbps)
		assert.Assert(t, w.slowest < electionTimeout, "a heartbeat took %s on %v Mbit/s", w.slowest, mbps)
		for _, r := range w.routers {
			assert.Assert(t, r.hasAt > 0 && r.hasAt-w.acceptedAt <= inForceWithin, "%s has the table at %s", r.id, r.hasAt)
			assert.Assert(t, r.knewAt > 0, "%s doesn't know most upstreams", r.id)
		}
		assert.Assert(t, w.failed <= w.calls/100, "%d of %d announcements weren't answered in time", w.failed, w.calls)
	}
}

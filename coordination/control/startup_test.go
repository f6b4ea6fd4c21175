package control

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/internal/timequeue"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// startSim is a fleet that starts for the first time, with all its upstreams, and is
// given its first table. All bytes take their time on the links of both ends.
type startSim struct {
	startConfig
	now       time.Duration
	random    *rand.Rand
	vms       []*process
	routers   []*process
	byID      map[protocol.RouterID]*process
	byAddress map[string]*process
	upstreams []*simUpstream
	events    timequeue.Queue[func()]
	table     *document.Document
	// acceptedAt is when a quorum of disk VMs had the table and the operator had the
	// answer.
	acceptedAt time.Duration
	// slowestHeartbeat is the longest delay of a heartbeat between disk VMs.
	slowestHeartbeat time.Duration
	// calls counts the announcements, and failed those that weren't answered in time or
	// that a router didn't take.
	calls  int
	failed int
	// sentBytes and sentMessages are the totals by kind of message.
	sentBytes, sentMessages map[sentKind]int
}

// process is a process with its link.
type process struct {
	id         protocol.RouterID
	dataCentre protocol.DataCentre
	rate       float64
	// out and in are when the link is free again in each direction.
	out, in time.Duration
	// sent and taken count the bytes that it sent and received.
	sent  int
	taken int
	// busy is the processor time that it has used on this machine.
	busy     time.Duration
	startAt  time.Duration
	vm       *vm
	follower *testRouter
	// waiting holds the calls that wait for a disk VM's acknowledgement, by message
	// number.
	waiting map[uint64][]*call
	// tableAt is when the router had the table, and upstreamsAt when it knew most
	// upstreams, 0 if it doesn't yet.
	tableAt     time.Duration
	upstreamsAt time.Duration
}

// simUpstream is an upstream that announces itself.
type simUpstream struct {
	entry roster.Entry
	// at is the process that it calls, and connected whether it has a connection there.
	at        *process
	connected bool
	// attempt changes when a call begins and when it ends. A call that has another
	// number has ended already.
	attempt int
}

// call is an announcement in flight.
type call struct {
	from    *simUpstream
	attempt int
	began   time.Duration
}

// startConfig is the size of a fleet that starts.
type startConfig struct {
	routers, upstreams, diskVMs int
	diskVMRate, routerRate      float64
	// interval is the time between two announcements of an upstream.
	interval time.Duration
	// spread is the time within which the upstreams start.
	spread time.Duration
}

// Bytes of an announcement on the wire, with packet headers.
const (
	connectBytes = 220
	requestBytes = 560
	answerBytes  = 300
	// callTimeout is how long an upstream waits for an answer.
	callTimeout = time.Second
	// tableBytes is the size of the operator's request with a table.
	tableBytes = 60_000
	// heartbeatBytes and heartbeatInterval describe the heartbeats of consensus.
	heartbeatBytes    = 180
	heartbeatInterval = 150 * time.Millisecond
)

// after schedules an event.
func (w *startSim) after(d time.Duration, do func()) {
	w.events.Push(w.now+d, do)
}

// deliver sends bytes from one end to the other. nil is an end whose link has no limit.
func (w *startSim) deliver(from, to *process, bytes int, do func()) {
	at := w.now
	if from != nil {
		from.out = max(from.out, w.now) + time.Duration(float64(bytes)/from.rate*float64(time.Second))
		from.sent += bytes
		at = from.out
	}
	at += messageDelay
	w.events.Push(at, func() {
		if to == nil {
			do()
			return
		}
		to.in = max(to.in, w.now) + time.Duration(float64(bytes)/to.rate*float64(time.Second))
		to.taken += bytes
		w.events.Push(max(to.in, to.startAt), do)
	})
}

// start builds the fleet.
func (s startConfig) start() *startSim {
	w := &startSim{startConfig: s, random: rand.New(rand.NewPCG(5, 6)), byID: map[protocol.RouterID]*process{}, byAddress: map[string]*process{}}
	var ids []protocol.RouterID
	for i := range s.diskVMs {
		ids = append(ids, protocol.RouterID(fmt.Sprintf("10.%d.0.81:7400", i+1)))
	}
	for _, id := range ids {
		r := roster.New(roster.DefaultSettings())
		v := &process{id: id, dataCentre: dataCentreOf(len(w.vms)), rate: s.diskVMRate, vm: &vm{roster: r, publisher: NewPublisher(r, int(s.diskVMRate))}, startAt: w.randomDelay(300 * time.Millisecond)}
		v.vm.publisher.SetDiskVMs(ids)
		v.follower = &testRouter{Follower: NewFollower(id, false, ids, r), roster: r}
		w.vms = append(w.vms, v)
		w.byID[id] = v
	}
	for i := range s.routers {
		dc := i%5 + 1
		id := protocol.RouterID(fmt.Sprintf("10.%d.%d.%d:7400", dc, i/5/200, 100+i/5%200))
		r := roster.New(roster.DefaultSettings())
		f := &testRouter{Follower: NewFollower(id, true, ids[:3], r), roster: r}
		f.SetRelay(NewRelay(Router{ID: id, DataCentre: dataCentreOf(i)}, int(s.routerRate)))
		f.SetAnnounceAddress(string(id))
		f.SetLeaveTime(4 * time.Second)
		v := &process{id: id, dataCentre: dataCentreOf(i), rate: s.routerRate, follower: f, waiting: map[uint64][]*call{}, startAt: w.randomDelay(300 * time.Millisecond)}
		w.routers = append(w.routers, v)
		w.byID[id] = v
		w.byAddress[string(id)] = v
	}
	for i := range s.upstreams {
		u := &simUpstream{entry: roster.Entry{
			ID: protocol.UpstreamID("i-" + randomName(w.random, 10)), Service: "xahu85a", Address: fmt.Sprintf("10.%d.%d.%d:8084", i%5+1, 64+i/1000, i/5%200),
			DataCentre: dataCentreOf(i), Build: "v1", Slots: 16, State: roster.Ready,
		}}
		w.upstreams = append(w.upstreams, u)
		w.after(w.randomDelay(max(s.spread, 300*time.Millisecond)), func() { w.announce(u) })
	}
	for _, v := range slices.Concat(w.vms, w.routers) {
		w.after(v.startAt, func() { w.tick(v) })
	}
	w.after(time.Second, w.sendHeartbeatsOfLeader)
	w.table = document.New(1, tableBody(w.random, 245))
	w.after(3*time.Second, func() { w.putTable(0) })
	return w
}

// dataCentreOf returns the data centre of the process or upstream with a number.
func dataCentreOf(i int) protocol.DataCentre { return protocol.DataCentre(fmt.Sprint("hall-", i%5+1)) }

func (w *startSim) randomDelay(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// run simulates until a time.
func (w *startSim) run(until time.Duration) {
	for next, any := w.events.Next(); any && next <= until; next, any = w.events.Next() {
		at, do := w.events.Pop()
		w.now = max(w.now, at)
		do()
	}
	w.now = until
}

// announce makes an upstream's next call.
func (w *startSim) announce(u *simUpstream) {
	if u.at == nil {
		u.at = w.vms[w.random.IntN(len(w.vms))]
		u.connected = false
	}
	u.entry.Sequence++
	u.attempt++
	w.calls++
	c := &call{from: u, attempt: u.attempt, began: w.now}
	to, bytes := u.at, requestBytes
	w.after(callTimeout, func() { w.ended(c, false, "") })
	if u.connected {
		w.deliver(nil, to, bytes, func() { w.handleAnnouncement(to, c) })
		return
	}
	w.deliver(nil, to, connectBytes/2, func() {
		w.deliver(to, nil, connectBytes/2, func() { w.deliver(nil, to, bytes, func() { w.handleAnnouncement(to, c) }) })
	})
}

// ended records how a call ended, once. next is the address to call from now on.
func (w *startSim) ended(c *call, good bool, next string) {
	u := c.from
	if c.attempt != u.attempt {
		return
	}
	u.attempt++
	if !good {
		w.failed++
		u.at = nil
		w.after(w.randomDelay(100*time.Millisecond), func() { w.announce(u) })
		return
	}
	u.connected = true
	if to := w.byAddress[next]; to != nil && to != u.at {
		u.at, u.connected = to, false
	}
	w.after(max(0, c.began+w.interval-w.now), func() { w.announce(u) })
}

// answer sends the answer to a call.
func (w *startSim) answer(from *process, c *call, good bool, next string) {
	w.deliver(from, nil, answerBytes, func() { w.ended(c, good, next) })
}

// handleAnnouncement processes an announcement at a disk VM or a router.
func (w *startSim) handleAnnouncement(v *process, c *call) {
	defer v.work()()
	e := c.from.entry
	if v.vm != nil {
		if v.vm.roster.RecordAnnouncement(w.now, e) {
			v.vm.publisher.NoteChange(e.ID)
		}
		w.answer(v, c, true, v.vm.publisher.AnnounceAt(w.now, e))
		return
	}
	known, number, waits := v.follower.HandleAnnouncement(w.now, e)
	if waits {
		v.waiting[number] = append(v.waiting[number], c)
		return
	}
	w.answer(v, c, known, "")
}

// sentKind is a kind of message, and whether it crosses between data centres.
type sentKind struct {
	body    string
	crosses bool
}

// count adds a message to the totals by kind.
func (w *startSim) count(from, to *process, body any, bytes int) {
	kind := sentKind{body: fmt.Sprintf("%T", body), crosses: from.dataCentre != to.dataCentre}
	if status, is := body.(Status); is && status.Fleet != nil {
		kind.body += " with a list of processes"
	}
	if w.sentBytes == nil {
		w.sentBytes, w.sentMessages = map[sentKind]int{}, map[sentKind]int{}
	}
	w.sentBytes[kind] += bytes
	w.sentMessages[kind]++
}

// send puts messages on a process's link.
func (w *startSim) send(from *process, messages []Message) {
	for _, s := range messages {
		to := w.byID[s.To]
		bytes := len(codec.Marshal(s.Body)) + frameBytes
		w.count(from, to, s.Body, bytes)
		w.deliver(from, to, bytes, func() { w.take(to, from, s.Body) })
	}
}

// work begins to count the processor time of a process, and returns the function that ends
// that.
func (p *process) work() func() {
	began := time.Now()
	return func() { p.busy += time.Since(began) }
}

// tick does what is due on a process.
func (w *startSim) tick(v *process) {
	defer v.work()()
	defer w.after(tick, func() { w.tick(v) })
	w.send(v, v.follower.Tick(w.now))
	if v.vm != nil {
		w.send(v, v.vm.publisher.PushChanges(w.now))
		w.send(v, v.vm.publisher.SendWaiting(w.now))
		return
	}
	others := othersKnownTo(v.follower.Follower, w.now)
	v.follower.relay.SetRouters(others)
	w.send(v, v.follower.relay.Due(w.now))
	if v.tableAt == 0 && v.follower.InForce() != nil {
		v.tableAt = w.now
	}
	if v.upstreamsAt == 0 && v.follower.roster.Usable() > 0 && v.follower.KnowsMostUpstreams(w.now) {
		v.upstreamsAt = w.now
	}
}

// take delivers a message.
func (w *startSim) take(v, from *process, body any) {
	defer v.work()()
	f := v.follower
	switch m := body.(type) {
	case Watch:
		if v.vm != nil {
			w.send(v, v.vm.publisher.HandleWatch(w.now, from.id, m))
		} else {
			f.HandleWatch(w.now, from.id, m)
		}
	case Status:
		w.send(v, f.HandleStatus(w.now, from.id, m))
	case List:
		f.HandleList(w.now, from.id, m)
	case Changes:
		w.send(v, f.HandleChanges(w.now, from.id, m))
	case ChangesAck:
		v.vm.publisher.HandleChangesAck(from.id, m)
	case Heartbeats:
		for _, heartbeat := range m.Upstreams {
			v.vm.roster.Refresh(w.now, heartbeat)
		}
	case Announcements:
		ack, _, _ := v.vm.publisher.HandleAnnouncements(w.now, from.id, m)
		w.send(v, []Message{ack})
	case AnnouncementsAck:
		for _, c := range v.waiting[m.Number] {
			w.answer(v, c, true, "")
		}
		delete(v.waiting, m.Number)
	case Document:
		more, _ := f.HandleDocument(w.now, from.id, m, func(*document.Document) error { return nil })
		w.send(v, more)
	}
	if f.relay != nil {
		w.send(v, f.relay.Due(w.now))
	}
}

// sendHeartbeatsOfLeader makes the first disk VM, the leader, send heartbeats to the
// others.
func (w *startSim) sendHeartbeatsOfLeader() {
	defer w.after(heartbeatInterval, w.sendHeartbeatsOfLeader)
	for _, v := range w.vms[1:] {
		began := w.now
		w.deliver(w.vms[0], v, heartbeatBytes, func() { w.slowestHeartbeat = max(w.slowestHeartbeat, w.now-began) })
	}
}

// putTable makes the operator send the table to a disk VM, and to another one every two
// seconds until it is accepted.
func (w *startSim) putTable(at int) {
	if w.acceptedAt > 0 {
		return
	}
	v, leader := w.vms[at], w.vms[0]
	w.after(2*time.Second, func() { w.putTable((at + 1) % len(w.vms)) })
	w.deliver(nil, v, tableBytes, func() {
		w.deliver(v, leader, 6000, func() { w.replicate(leader, v) })
	})
}

// replicate sends the table to a quorum and answers the operator.
func (w *startSim) replicate(leader, asked *process) {
	acks := 1
	for _, v := range w.vms[1:] {
		w.deliver(leader, v, 6000, func() {
			w.deliver(v, leader, heartbeatBytes, func() {
				if acks++; acks == 3 {
					w.deliver(leader, asked, heartbeatBytes, func() { w.deliver(asked, nil, answerBytes, w.accepted) })
				}
			})
		})
	}
}

// accepted puts the table in force on all disk VMs.
func (w *startSim) accepted() {
	if w.acceptedAt > 0 {
		return
	}
	w.acceptedAt = w.now
	for _, v := range w.vms {
		w.send(v, v.vm.publisher.SetDocument(w.now, w.table, document.MakeChange(nil, w.table)))
	}
}

// full simulates the fleet at full size instead of a third.
var full = flag.Bool("starting.full", false, "simulate 300 routers and 3,003 upstreams")

// largeFleet is a fleet of hundreds of routers and thousands of upstreams on small
// links. All sizes are divided by the same number unless full is set.
func largeFleet(mbps float64) startConfig {
	const bitsPerByte = 8
	scale := 3.0
	if *full {
		scale = 1
	}
	link := func(mbps float64) float64 { return mbps * 1e6 / bitsPerByte / scale }
	return startConfig{
		routers: int(300 / scale), upstreams: int(3003 / scale), diskVMs: 5,
		diskVMRate: link(mbps), routerRate: link(10), interval: 1200 * time.Millisecond,
	}
}

const (
	// acceptedWithin and inForceWithin are the times promised to operators for a change.
	acceptedWithin = 4 * time.Second
	inForceWithin  = 3 * time.Second
	// electionTimeout is how long disk VMs may be without a heartbeat.
	electionTimeout = 750 * time.Millisecond
)

// Guards against full links of the disk VMs, so that no table is accepted, when
// upstreams, routers and disk VMs start together.
func TestAFleetThatStartsWithAllItsUpstreamsTakesItsTable(t *testing.T) {
	for _, mbps := range []float64{4.2, 6} {
		w := largeFleet(mbps).start()
		w.run(3*time.Second + acceptedWithin)
		assert.Assert(t, w.acceptedAt > 0, "no table was accepted in time on %v Mbit/s", mbps)
		assert.Assert(t, w.slowestHeartbeat < electionTimeout, "a heartbeat took %s on %v Mbit/s", w.slowestHeartbeat, mbps)
		for _, r := range w.routers {
			assert.Assert(t, r.tableAt > 0 && r.tableAt-w.acceptedAt <= inForceWithin, "%s has the table at %s", r.id, r.tableAt)
			assert.Assert(t, r.upstreamsAt > 0, "%s doesn't know most upstreams", r.id)
		}
		assert.Assert(t, w.failed <= w.calls/100, "%d of %d announcements weren't answered in time", w.failed, w.calls)
	}
}

// wholeFleet simulates a fleet of a thousand routers, for looking at its costs.
var wholeFleet = flag.Bool("starting.whole", false, "simulate 984 routers, 10 disk VMs and 10,000 upstreams, and print their costs")

func TestStartOfAWholeFleet(t *testing.T) {
	if !*wholeFleet {
		t.Skip("looks at costs; -starting.whole")
	}
	const bitsPerByte = 8
	w := startConfig{
		routers: 984, upstreams: 10_000, diskVMs: 10,
		diskVMRate: 300e6 / bitsPerByte, routerRate: 10e6 / bitsPerByte, interval: 3 * time.Second, spread: 7 * time.Second,
	}.start()
	for w.now < 18*time.Second {
		before := w.now
		w.run(w.now + 2*time.Second)
		fmt.Printf("%s: %d calls, %d failed, accepted %s\n", w.now, w.calls, w.failed, w.acceptedAt)
		printCosts("disk VMs", w.vms, w.now-before)
		printCosts("routers", w.routers, w.now-before)
	}
	kinds := slices.SortedFunc(maps.Keys(w.sentBytes), func(a, b sentKind) int { return cmp.Compare(w.sentBytes[b], w.sentBytes[a]) })
	for _, kind := range kinds {
		fmt.Printf("  %-55s crosses %-5v %8.1f MB %9d messages\n", kind.body, kind.crosses, float64(w.sentBytes[kind])/1e6, w.sentMessages[kind])
	}
}

// printCosts prints what processes used since it was last called, per second.
func printCosts(name string, processes []*process, span time.Duration) {
	var busy, most time.Duration
	sent, mostSent, tables, lists := 0, 0, 0, 0
	for _, p := range processes {
		busy += p.busy
		most = max(most, p.busy)
		sent += p.sent
		mostSent = max(mostSent, p.sent)
		if p.tableAt > 0 {
			tables++
		}
		if p.upstreamsAt > 0 {
			lists++
		}
		p.busy, p.sent = 0, 0
	}
	seconds := span.Seconds() * float64(len(processes))
	fmt.Printf("  %s: %.4f cores, busiest %.4f; %.1f KB/s, most %.1f; %d tables, %d lists\n", name, busy.Seconds()/seconds, most.Seconds()/span.Seconds(),
		float64(sent)/1000/seconds, float64(mostSent)/1000/span.Seconds(), tables, lists)
}

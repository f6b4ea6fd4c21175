package control

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// returning is a fleet that returns from a loss of all power: every process starts
// within some tenths of a second, and each message takes its time on the sender's link.
type returning struct {
	now     time.Duration
	nodes   map[protocol.RouterID]*node
	routers []protocol.RouterID
	arrive  arrivals
}

// node is a process of a returning fleet.
type node struct {
	id      protocol.RouterID
	startAt time.Duration
	// diesAt is when it loses power for good, 0 for never.
	diesAt time.Duration
	// rate is what its link carries, in bytes a second, and busy until when it does.
	rate  float64
	busy  time.Duration
	sent  int
	vm    *vm
	route *follow
	// kept is how many prompts' keepers it was told, again those told twice.
	kept int
	// knewAt is when the router knew enough to serve its callers, 0 if it doesn't.
	knewAt time.Duration
}

// arrival is a message on its way.
type arrival struct {
	at       time.Duration
	from, to protocol.RouterID
	body     any
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// sizes of a fleet that returns.
type returningFleet struct {
	routers, upstreams, left, routes int
	prompts                          int
	diskVMRate, routerRate           float64
}

// hundreds is a fleet of hundreds of VMs whose disk VMs have small links.
var hundreds = returningFleet{
	routers: 195, upstreams: 122, left: 123, routes: 245, prompts: 1300, diskVMRate: 525_000, routerRate: 1_250_000,
}

// word returns a name of letters and digits.
func word(random *rand.Rand, length int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var name strings.Builder
	for range length {
		name.WriteByte(letters[random.IntN(len(letters))])
	}
	return name.String()
}

// tableBody returns a table of some routes as operators write it.
func tableBody(random *rand.Rand, routes int) []byte {
	var body strings.Builder
	for range routes {
		fmt.Fprintf(&body, `{"name":"r-%s","host":"%s.example","path_prefix":"/%s/","route_type":"streaming","timeout_ms":12000,`+
			`"slo_ms":800,"priority":1,"service":"xahu85a","max_attempts":2,"public":false,"sticky":true,"resumable":true,"itl_target_ms":300},`,
			word(random, 7), word(random, 6), word(random, 7))
	}
	return []byte(body.String())
}

// start builds the fleet as it is when power returns. The disk VMs that the settings
// name are the last to start.
func (s returningFleet) start() *returning {
	random := rand.New(rand.NewPCG(1, 2))
	w := &returning{nodes: map[protocol.RouterID]*node{}}
	starts := []time.Duration{450 * time.Millisecond, 400 * time.Millisecond, 370 * time.Millisecond, 90 * time.Millisecond, 0}
	var vms []protocol.RouterID
	for i := range starts {
		vms = append(vms, protocol.RouterID(fmt.Sprintf("10.%d.0.81:7400", i+1)))
	}
	table := document.New(131, tableBody(random, s.routes))
	entries := s.entries(random)
	var kept []balance.CachedPrefix
	for range s.prompts {
		kept = append(kept, balance.CachedPrefix{Prefix: random.Uint64(), ID: balance.ShortID(random.Uint32())})
	}
	for i, id := range vms {
		r := roster.New(roster.DefaultSettings())
		for _, e := range entries {
			r.Merge(0, e)
		}
		v := &vm{roster: r, publisher: NewPublisher(r, int(s.diskVMRate))}
		v.publisher.Recall(table)
		v.publisher.SetDiskVMs(vms)
		v.publisher.Keepers().Add(0, kept)
		w.nodes[id] = &node{id: id, startAt: starts[i], rate: s.diskVMRate, vm: v}
	}
	for i := range s.routers {
		dc := i % len(starts)
		id := protocol.RouterID(fmt.Sprintf("10.%d.0.%d:7400", dc+1, 100+i/len(starts)))
		r := roster.New(roster.DefaultSettings())
		f := &follow{Follower: NewFollower(id, true, vms[:3], r), roster: r}
		f.SetRelay(NewRelay(Router{ID: id, DataCentre: protocol.DataCentre(fmt.Sprint("hall-", dc))}, int(s.routerRate)))
		w.nodes[id] = &node{id: id, startAt: time.Duration(random.IntN(250)) * time.Millisecond, rate: s.routerRate, route: f}
		w.routers = append(w.routers, id)
	}
	return w
}

// entries returns what disk VMs list: upstreams that are there, and that have left.
func (s returningFleet) entries(random *rand.Rand) []roster.Entry {
	var entries []roster.Entry
	for i := range s.upstreams + s.left {
		state := roster.Ready
		if i >= s.upstreams {
			state = roster.Gone
		}
		entries = append(entries, roster.Entry{
			ID: protocol.UpstreamID("i-" + word(random, 10)), Service: "xahu85a", Address: fmt.Sprintf("10.%d.64.%d:8084", i%5+1, i/5),
			DataCentre: protocol.DataCentre(fmt.Sprint("hall-", i%5)), Build: "v1", Slots: 16, State: state, Sequence: uint64(20 + random.IntN(20)),
		})
	}
	return entries
}

const (
	// mostHeld is how long a router that has just started lets a caller wait, and
	// comesBack after how long one comes back that it has refused.
	mostHeld  = 600 * time.Millisecond
	comesBack = time.Second
	// tick is how often processes look at what is due.
	tick = 50 * time.Millisecond
	// way is the time of a message between two VMs without load.
	way = time.Millisecond
	// frameBytes is what a message takes beside its content.
	frameBytes = 60
)

// send puts messages on a node's link.
func (w *returning) send(from *node, sends []Send) {
	for _, s := range sends {
		to := w.nodes[s.To]
		size := len(codec.Marshal(s.Body)) + frameBytes
		from.sent += size
		from.busy = max(from.busy, w.now) + time.Duration(float64(size)/from.rate*float64(time.Second))
		at := max(from.busy, to.startAt) + way
		heap.Push(&w.arrive, arrival{at: at, from: from.id, to: s.To, body: s.Body})
	}
}

// run plays for some time.
func (w *returning) run(until time.Duration) {
	for ; w.now < until; w.now += time.Millisecond {
		for len(w.arrive) > 0 && w.arrive[0].at <= w.now {
			w.take(heap.Pop(&w.arrive).(arrival))
		}
		for _, id := range inOrder(w.nodes) {
			n := w.nodes[id]
			if n.lives(w.now) && (w.now-n.startAt)%tick == 0 {
				w.tick(n)
			}
		}
	}
}

// tick does what is due on a node.
func (w *returning) tick(n *node) {
	if n.vm != nil {
		w.send(n, n.vm.publisher.SendWaiting(w.now))
		return
	}
	w.send(n, n.route.Tick(w.now))
	others := slices.DeleteFunc(n.route.Routers(w.now), func(other Router) bool { return other.ID == n.id })
	n.route.relay.SetRouters(others)
	w.send(n, n.route.relay.Due(w.now))
	if n.knewAt == 0 && n.route.InForce() != nil && n.route.roster.Usable() > 0 && n.route.KnowsMost(w.now) {
		n.knewAt = w.now
	}
}

// lives reports whether the node has power.
func (n *node) lives(now time.Duration) bool {
	return now >= n.startAt && (n.diesAt == 0 || now < n.diesAt)
}

// take delivers a message.
func (w *returning) take(a arrival) {
	n := w.nodes[a.to]
	if !n.lives(w.now) {
		return
	}
	if n.vm != nil {
		if watch, is := a.body.(Watch); is {
			w.send(n, n.vm.publisher.Watched(w.now, a.from, watch))
		}
		return
	}
	f := n.route
	switch body := a.body.(type) {
	case News:
		w.send(n, f.TakeNews(w.now, a.from, body))
	case List:
		f.TakeList(w.now, a.from, body)
	case Document:
		more, _ := f.TakeDocument(w.now, a.from, body, func(*document.Document) error { return nil })
		w.send(n, more)
	case Watch:
		f.Asked(w.now, a.from, body)
	case balance.CacheHolderList:
		f.TakeKeepers(w.now, body)
		n.kept += len(body.Unpack())
	}
	w.send(n, f.relay.Due(w.now))
}

// knowing returns how many routers knew enough to serve by a time after the last
// process has started.
func (w *returning) knowing(after time.Duration) int {
	last := time.Duration(0)
	for _, n := range w.nodes {
		last = max(last, n.startAt)
	}
	count := 0
	for _, id := range w.routers {
		if at := w.nodes[id].knewAt; at > 0 && at <= last+after {
			count++
		}
	}
	return count
}

// Guards: all VMs return from a loss of power, and routers refuse their callers for
// seconds because the disk VMs' links are full of tables and lists.
func TestAFleetThatReturnsServesBeforeCallersComeBack(t *testing.T) {
	w := hundreds.start()
	w.run(2 * time.Second)
	atOnce, back := w.knowing(mostHeld), w.knowing(comesBack)
	assert.Assert(t, atOnce >= 9*len(w.routers)/10, "%d of %d routers serve who waits for it", atOnce, len(w.routers))
	assert.Equal(t, back, len(w.routers), "routers that serve who was told to come back")
}

// Guards: routers learn late which engines keep prompts' beginnings, and callers who
// come back wait for prompts that are read anew.
func TestAFleetThatReturnsKnowsWhatEnginesKeepBeforeCallersComeBack(t *testing.T) {
	w := hundreds.start()
	w.run(450*time.Millisecond + comesBack)
	told, bytes := 0, 0
	for _, n := range w.nodes {
		if n.kept >= hundreds.prompts {
			told++
		}
		bytes += n.kept
	}
	assert.Assert(t, told >= 9*len(w.routers)/10, "%d of %d routers", told, len(w.routers))
	assert.Assert(t, bytes <= 2*hundreds.prompts*len(w.routers), "each is told %d times, on average", bytes/hundreds.prompts/len(w.routers))
}

// Guards: a router is sent to another one for what a disk VM's link has no room for,
// and that one is gone.
func TestARouterThatIsSentToOneThatIsGoneIsServed(t *testing.T) {
	w := hundreds.start()
	for _, id := range w.routers[:len(w.routers)/4] {
		w.nodes[id].diesAt = w.nodes[id].startAt + 500*time.Millisecond
	}
	w.run(3 * time.Second)
	for _, id := range w.routers[len(w.routers)/4:] {
		assert.Assert(t, w.nodes[id].knewAt > 0 && w.nodes[id].knewAt <= 2*time.Second, "%s knew enough at %s", id, w.nodes[id].knewAt)
	}
}

// Guards: a passer is sent more routers than it can serve soon, or the asker itself.
func TestRoutersAreSpreadOverThoseThatPassOn(t *testing.T) {
	p := &passers{}
	p.add(0, Router{ID: "r1", DataCentre: "dc1"})
	p.add(0, Router{ID: "r2", DataCentre: "dc2"})
	asked := map[protocol.RouterID]int{}
	for range 10 {
		asked[p.next(0, Router{ID: "r2", DataCentre: "dc2"})]++
	}
	assert.DeepEqual(t, asked, map[protocol.RouterID]int{"r1": mostAsking, "": 10 - mostAsking})
	assert.Equal(t, p.next(0, Router{ID: "r3", DataCentre: "dc2"}), protocol.RouterID("r2"))
	assert.Equal(t, p.next(passerLife+1, Router{ID: "r4", DataCentre: "dc2"}), protocol.RouterID(""))
}

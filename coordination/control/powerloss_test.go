package control

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/internal/timequeue"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// powerLossSim is a fleet that returns from a loss of all power: every process starts
// within some tenths of a second, and each message takes its time on the sender's link.
type powerLossSim struct {
	now     time.Duration
	members map[protocol.RouterID]*member
	routers []protocol.RouterID
	arrive  timequeue.Queue[arrival]
}

// member is a process of the fleet.
type member struct {
	id      protocol.RouterID
	startAt time.Duration
	// diesAt is when it loses power for good, 0 for never.
	diesAt time.Duration
	// rate is the capacity of its link in bytes a second, and busy when the link is free
	// again.
	rate float64
	busy time.Duration
	// sent counts the bytes that it sent.
	sent     int
	vm       *vm
	follower *testRouter
	// cacheHolders counts the cache holder entries that it received, duplicates included.
	cacheHolders int
	// readyAt is when the router knew enough to serve its callers, 0 if it doesn't yet.
	readyAt time.Duration
}

// arrival is a message in transit.
type arrival struct {
	from, to protocol.RouterID
	body     any
}

// powerLossConfig is the size of such a fleet. Its disk VMs list upstreams that are
// ready, and as many more as gone says that have left. prompts is the number of prompt
// prefixes that engines hold in their caches.
type powerLossConfig struct {
	routers, upstreams, gone, routes int
	prompts                          int
	diskVMRate, routerRate           float64
}

// mediumFleet is a fleet of hundreds of VMs whose disk VMs have small links.
var mediumFleet = powerLossConfig{
	routers: 195, upstreams: 122, gone: 123, routes: 245, prompts: 1300, diskVMRate: 525_000, routerRate: 1_250_000,
}

// randomName returns a name of letters and digits.
func randomName(random *rand.Rand, length int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var name strings.Builder
	for range length {
		name.WriteByte(letters[random.IntN(len(letters))])
	}
	return name.String()
}

// tableBody returns a table with some routes as operators write them.
func tableBody(random *rand.Rand, routes int) []byte {
	var body strings.Builder
	for range routes {
		fmt.Fprintf(&body, `{"name":"r-%s","host":"%s.example","path_prefix":"/%s/","route_kind":"streaming","timeout_ms":12000,`+
			`"slo_ms":800,"priority":1,"service":"xahu85a","most_retries":2,"public":false,"sticky":true,"resumable":true,"longest_gap_m":300},`,
			randomName(random, 7), randomName(random, 6), randomName(random, 7))
	}
	return []byte(body.String())
}

// start builds the fleet as it is when power returns. The disk VMs that the settings
// name start last.
func (s powerLossConfig) start() *powerLossSim {
	random := rand.New(rand.NewPCG(1, 2))
	w := &powerLossSim{members: map[protocol.RouterID]*member{}}
	starts := []time.Duration{450 * time.Millisecond, 400 * time.Millisecond, 370 * time.Millisecond, 90 * time.Millisecond, 0}
	var vms []protocol.RouterID
	for i := range starts {
		vms = append(vms, protocol.RouterID(fmt.Sprintf("10.%d.0.81:7400", i+1)))
	}
	table := document.New(131, tableBody(random, s.routes))
	entries := s.entries(random)
	var cacheHolders []balance.CachedPrefix
	for range s.prompts {
		cacheHolders = append(cacheHolders, balance.CachedPrefix{Prefix: random.Uint64(), ID: balance.ShortID(random.Uint32())})
	}
	for i, id := range vms {
		r := roster.New(roster.DefaultSettings())
		for _, e := range entries {
			r.Merge(0, e)
		}
		v := &vm{roster: r, publisher: NewPublisher(r, int(s.diskVMRate))}
		v.publisher.Restore(table)
		v.publisher.SetDiskVMs(vms)
		v.publisher.CacheHolders().Add(0, cacheHolders)
		w.members[id] = &member{id: id, startAt: starts[i], rate: s.diskVMRate, vm: v}
	}
	for i := range s.routers {
		dc := i % len(starts)
		id := protocol.RouterID(fmt.Sprintf("10.%d.0.%d:7400", dc+1, 100+i/len(starts)))
		r := roster.New(roster.DefaultSettings())
		f := &testRouter{Follower: NewFollower(id, true, vms[:3], r), roster: r}
		f.SetRelay(NewRelay(Router{ID: id, DataCentre: protocol.DataCentre(fmt.Sprint("hall-", dc))}, int(s.routerRate)))
		w.members[id] = &member{id: id, startAt: time.Duration(random.IntN(250)) * time.Millisecond, rate: s.routerRate, follower: f}
		w.routers = append(w.routers, id)
	}
	return w
}

// entries returns what disk VMs list: upstreams that are ready, and some that have left.
func (s powerLossConfig) entries(random *rand.Rand) []roster.Entry {
	var entries []roster.Entry
	for i := range s.upstreams + s.gone {
		state := roster.Ready
		if i >= s.upstreams {
			state = roster.Gone
		}
		entries = append(entries, roster.Entry{
			ID: protocol.UpstreamID("i-" + randomName(random, 10)), Service: "xahu85a", Address: fmt.Sprintf("10.%d.64.%d:8084", i%5+1, i/5),
			DataCentre: protocol.DataCentre(fmt.Sprint("hall-", i%5)), Build: "v1", Slots: 16, State: state, Sequence: uint64(20 + random.IntN(20)),
		})
	}
	return entries
}

const (
	// maxHold is how long a router that has just started lets a caller wait, and
	// callerRetryDelay the time after which a refused caller retries.
	maxHold          = 600 * time.Millisecond
	callerRetryDelay = time.Second
	// tick is how often processes check what is due.
	tick = 50 * time.Millisecond
	// messageDelay is the latency of a message between two VMs without load.
	messageDelay = time.Millisecond
	// frameBytes is the overhead of a message on the link.
	frameBytes = 60
)

// send puts messages on a member's link.
func (w *powerLossSim) send(from *member, messages []Message) {
	for _, s := range messages {
		to := w.members[s.To]
		size := len(codec.Marshal(s.Body)) + frameBytes
		from.sent += size
		from.busy = max(from.busy, w.now) + time.Duration(float64(size)/from.rate*float64(time.Second))
		at := max(from.busy, to.startAt) + messageDelay
		w.arrive.Push(at, arrival{from: from.id, to: s.To, body: s.Body})
	}
}

// run simulates until a time.
func (w *powerLossSim) run(until time.Duration) {
	for ; w.now < until; w.now += time.Millisecond {
		for next, any := w.arrive.Next(); any && next <= w.now; next, any = w.arrive.Next() {
			_, arrived := w.arrive.Pop()
			w.take(arrived)
		}
		for _, id := range inOrder(w.members) {
			n := w.members[id]
			if n.running(w.now) && (w.now-n.startAt)%tick == 0 {
				w.tick(n)
			}
		}
	}
}

// tick does what is due on a member.
func (w *powerLossSim) tick(n *member) {
	if n.vm != nil {
		w.send(n, n.vm.publisher.SendWaiting(w.now))
		return
	}
	w.send(n, n.follower.Tick(w.now))
	others := othersKnownTo(n.follower.Follower, w.now)
	n.follower.relay.SetRouters(others)
	w.send(n, n.follower.relay.Due(w.now))
	if n.readyAt == 0 && n.follower.InForce() != nil && n.follower.roster.Usable() > 0 && n.follower.KnowsMostUpstreams(w.now) {
		n.readyAt = w.now
	}
}

// running reports whether the member has power.
func (n *member) running(now time.Duration) bool {
	return now >= n.startAt && (n.diesAt == 0 || now < n.diesAt)
}

// take delivers a message.
func (w *powerLossSim) take(a arrival) {
	n := w.members[a.to]
	if !n.running(w.now) {
		return
	}
	if n.vm != nil {
		if watch, is := a.body.(Watch); is {
			w.send(n, n.vm.publisher.HandleWatch(w.now, a.from, watch))
		}
		return
	}
	f := n.follower
	switch body := a.body.(type) {
	case Status:
		w.send(n, f.HandleStatus(w.now, a.from, body))
	case List:
		f.HandleList(w.now, a.from, body)
	case Document:
		more, _ := f.HandleDocument(w.now, a.from, body, func(*document.Document) error { return nil })
		w.send(n, more)
	case Watch:
		f.HandleWatch(w.now, a.from, body)
	case balance.CacheHolderList:
		f.HandleCacheHolders(w.now, body)
		n.cacheHolders += len(body.Unpack())
	}
	w.send(n, f.relay.Due(w.now))
}

// countReady returns how many routers knew enough to serve by a time after the last
// process started.
func (w *powerLossSim) countReady(after time.Duration) int {
	last := time.Duration(0)
	for _, n := range w.members {
		last = max(last, n.startAt)
	}
	count := 0
	for _, id := range w.routers {
		if at := w.members[id].readyAt; at > 0 && at <= last+after {
			count++
		}
	}
	return count
}

// Guards against routers refusing their callers for seconds after a loss of power
// because the disk VMs' links are full of tables and lists.
func TestAFleetServesAfterAPowerLossBeforeCallersRetry(t *testing.T) {
	w := mediumFleet.start()
	w.run(2 * time.Second)
	immediately, onRetry := w.countReady(maxHold), w.countReady(callerRetryDelay)
	assert.Assert(t, immediately >= 9*len(w.routers)/10, "%d of %d routers serve the callers that they let wait", immediately, len(w.routers))
	assert.Equal(t, onRetry, len(w.routers), "routers that serve callers who retry")
}

// Guards against routers learning late which engines hold which prompt prefixes, so that
// callers who retry wait for prompts that are processed anew.
func TestAFleetKnowsTheCacheHoldersAfterAPowerLossBeforeCallersRetry(t *testing.T) {
	w := mediumFleet.start()
	w.run(450*time.Millisecond + callerRetryDelay)
	received, entries := 0, 0
	for _, n := range w.members {
		if n.cacheHolders >= mediumFleet.prompts {
			received++
		}
		entries += n.cacheHolders
	}
	assert.Assert(t, received >= 9*len(w.routers)/10, "%d of %d routers", received, len(w.routers))
	assert.Assert(t, entries <= 2*mediumFleet.prompts*len(w.routers), "each received the list %d times on average", entries/mediumFleet.prompts/len(w.routers))
}

// Guards against a router that isn't served because a disk VM without capacity referred
// it to a router that is gone.
func TestARouterReferredToOneThatIsGoneIsServed(t *testing.T) {
	w := mediumFleet.start()
	for _, id := range w.routers[:len(w.routers)/4] {
		w.members[id].diesAt = w.members[id].startAt + 500*time.Millisecond
	}
	w.run(3 * time.Second)
	for _, id := range w.routers[len(w.routers)/4:] {
		assert.Assert(t, w.members[id].readyAt > 0 && w.members[id].readyAt <= 2*time.Second, "%s knew enough at %s", id, w.members[id].readyAt)
	}
}

// Guards against a referral that gets more routers than it can serve soon, and against
// referring a router to itself.
func TestRoutersAreSpreadOverReferrals(t *testing.T) {
	p := &referrals{}
	p.add(0, Router{ID: "r1", DataCentre: "dc1"})
	p.add(0, Router{ID: "r2", DataCentre: "dc2"})
	asked := map[protocol.RouterID]int{}
	for range 10 {
		asked[p.next(0, Router{ID: "r2", DataCentre: "dc2"})]++
	}
	assert.DeepEqual(t, asked, map[protocol.RouterID]int{"r1": maxRoutersPerReferral, "": 10 - maxRoutersPerReferral})
	assert.Equal(t, p.next(0, Router{ID: "r3", DataCentre: "dc2"}), protocol.RouterID("r2"))
	assert.Equal(t, p.next(referralLifetime+1, Router{ID: "r4", DataCentre: "dc2"}), protocol.RouterID(""))
}

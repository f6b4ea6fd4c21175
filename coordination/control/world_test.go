package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// world connects followers and publishers in one process, with a clock of its own.
type world struct {
	now     time.Duration
	vms     map[protocol.RouterID]*vm
	routers map[protocol.RouterID]*testRouter
	cutOff  map[protocol.RouterID]bool
	// loses reports whether the next message is lost; nil for none.
	loses func() bool
	// documents and lists count the tables and lists that disk VMs sent, and listBytes
	// the bytes of these lists.
	documents int
	lists     int
	listBytes int
	// cacheHolders are the entries that each router received.
	cacheHolders map[protocol.RouterID][]balance.CachedPrefix
}

type vm struct {
	roster    *roster.Roster
	publisher *Publisher
}

type testRouter struct {
	*Follower
	roster *roster.Roster
}

func newWorld(vms int) *world {
	w := &world{vms: map[protocol.RouterID]*vm{}, routers: map[protocol.RouterID]*testRouter{}, cutOff: map[protocol.RouterID]bool{}, cacheHolders: map[protocol.RouterID][]balance.CachedPrefix{}}
	for i := range vms {
		w.startVM(protocol.RouterID(fmt.Sprintf("vm%d", i+1)))
	}
	w.setDiskVMs()
	return w
}

func (w *world) startVM(id protocol.RouterID) {
	r := roster.New(roster.DefaultSettings())
	w.vms[id] = &vm{roster: r, publisher: NewPublisher(r, 375_000)}
}

// setDiskVMs sets the list of disk VMs on all of them, as the log's configuration does.
func (w *world) setDiskVMs() {
	var ids []protocol.RouterID
	for id := range w.vms {
		ids = append(ids, id)
	}
	for _, v := range w.vms {
		v.publisher.SetDiskVMs(ids)
	}
}

func (w *world) startRouter(id protocol.RouterID, seeds ...protocol.RouterID) *testRouter {
	r := roster.New(roster.DefaultSettings())
	f := &testRouter{Follower: NewFollower(id, true, seeds, r), roster: r}
	w.routers[id] = f
	return f
}

// deliver delivers messages, and the answers to them, until none is left.
func (w *world) deliver(from protocol.RouterID, messages []Message) {
	for _, message := range messages {
		if w.cutOff[message.To] || w.cutOff[from] || w.loses != nil && w.loses() {
			continue
		}
		switch body := message.Body.(type) {
		case Watch:
			if v := w.vms[message.To]; v != nil {
				w.deliver(message.To, v.publisher.HandleWatch(w.now, from, body))
			} else if r := w.routers[message.To]; r != nil {
				r.HandleWatch(w.now, from, body)
			}
		case Status:
			w.deliver(message.To, w.routers[message.To].HandleStatus(w.now, from, body))
		case Changes:
			w.deliver(message.To, w.routers[message.To].HandleChanges(w.now, from, body))
		case ChangesAck:
			w.vms[message.To].publisher.HandleChangesAck(from, body)
		case Announcements:
			for _, e := range body.Entries {
				w.mergeAtVMs(e)
			}
			ack, _, _ := w.vms[message.To].publisher.HandleAnnouncements(w.now, from, body)
			w.deliver(message.To, []Message{ack})
		case Heartbeats:
			for _, heartbeat := range body.Upstreams {
				w.vms[message.To].roster.Refresh(w.now, heartbeat)
			}
		case List:
			w.lists++
			w.listBytes += len(body.Packed)
			w.routers[message.To].HandleList(w.now, from, body)
		case balance.CacheHolderList:
			if v := w.vms[message.To]; v != nil {
				v.publisher.HandleCacheHolders(w.now, from, body)
			} else if w.routers[message.To].HandleCacheHolders(w.now, body) {
				w.cacheHolders[message.To] = append(w.cacheHolders[message.To], body.Unpack()...)
			}
		case Document:
			w.documents++
			more, _ := w.routers[message.To].HandleDocument(w.now, from, body, func(*document.Document) error { return nil })
			w.deliver(message.To, more)
		}
	}
}

func (w *world) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := w.now + d; w.now < end; w.now += step {
		for _, id := range inOrder(w.routers) {
			w.deliver(id, w.routers[id].Tick(w.now))
		}
		for _, id := range inOrder(w.vms) {
			w.deliver(id, w.vms[id].publisher.SendWaiting(w.now))
		}
	}
}

// inOrder returns the keys of a map in order, so that every run is the same.
func inOrder[V any](m map[protocol.RouterID]V) []protocol.RouterID {
	return slices.Sorted(maps.Keys(m))
}

// putTable puts a table in force on all disk VMs that aren't cut off.
func (w *world) putTable(version uint64) {
	d := document.New(version, []byte(fmt.Sprint("table ", version)))
	for _, id := range inOrder(w.vms) {
		v := w.vms[id]
		if !w.cutOff[id] {
			w.deliver(id, v.publisher.SetDocument(w.now, d, document.Change{}))
		}
	}
}

// othersKnownTo returns the other routers that a router knows.
func othersKnownTo(f *Follower, now time.Duration) []Router {
	routers, _ := f.Routers(now)
	return slices.DeleteFunc(slices.Clone(routers), func(other Router) bool { return other.ID == f.self })
}

func (f *testRouter) version() uint64 {
	if f.InForce() == nil {
		return 0
	}
	return f.InForce().Version
}

// entriesOf returns the entries in a message with changes.
func entriesOf(s Message) []roster.Entry {
	entries, err := s.Body.(Changes).all()
	if err != nil {
		panic(err)
	}
	return entries
}

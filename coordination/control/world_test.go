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

// world joins followers and publishers by hand, with a clock of its own.
type world struct {
	now       time.Duration
	vms       map[protocol.RouterID]*vm
	routers   map[protocol.RouterID]*follow
	deaf      map[protocol.RouterID]bool
	documents int
	lists     int
	listBytes int
	// keeps are the prompts' keepers that each router was told.
	keeps map[protocol.RouterID][]balance.CachedPrefix
}

type vm struct {
	roster    *roster.Roster
	publisher *Publisher
}

type follow struct {
	*Follower
	roster *roster.Roster
}

func newWorld(vms int) *world {
	w := &world{vms: map[protocol.RouterID]*vm{}, routers: map[protocol.RouterID]*follow{}, deaf: map[protocol.RouterID]bool{}, keeps: map[protocol.RouterID][]balance.CachedPrefix{}}
	for i := range vms {
		w.startVM(protocol.RouterID(fmt.Sprintf("vm%d", i+1)))
	}
	w.tellVMs()
	return w
}

func (w *world) startVM(id protocol.RouterID) {
	r := roster.New(roster.DefaultSettings())
	w.vms[id] = &vm{roster: r, publisher: NewPublisher(r, 375_000)}
}

// tellVMs tells all disk VMs of each other, as the log's configuration does.
func (w *world) tellVMs() {
	var ids []protocol.RouterID
	for id := range w.vms {
		ids = append(ids, id)
	}
	for _, v := range w.vms {
		v.publisher.SetDiskVMs(ids)
	}
}

func (w *world) startRouter(id protocol.RouterID, seeds ...protocol.RouterID) *follow {
	r := roster.New(roster.DefaultSettings())
	f := &follow{Follower: NewFollower(id, true, seeds, r), roster: r}
	w.routers[id] = f
	return f
}

// carry delivers messages until none is left.
func (w *world) carry(from protocol.RouterID, sends []Send) {
	for _, send := range sends {
		if w.deaf[send.To] || w.deaf[from] {
			continue
		}
		switch body := send.Body.(type) {
		case Watch:
			if v := w.vms[send.To]; v != nil {
				w.carry(send.To, v.publisher.Watched(w.now, from, body))
			} else if r := w.routers[send.To]; r != nil {
				r.Asked(w.now, from, body)
			}
		case News:
			w.carry(send.To, w.routers[send.To].TakeNews(w.now, from, body))
		case Changes:
			w.carry(send.To, w.routers[send.To].TakeChanges(w.now, from, body))
		case ChangesAck:
			w.vms[send.To].publisher.Acknowledged(from, body)
		case Announced:
			for _, e := range body.Entries {
				w.tellOtherVMs(e)
			}
			ack, _ := w.vms[send.To].publisher.TakeAnnounced(w.now, from, body)
			w.carry(send.To, []Send{ack})
		case Heard:
			for _, heard := range body.Upstreams {
				w.vms[send.To].roster.Refresh(w.now, heard)
			}
		case List:
			w.lists++
			w.listBytes += len(body.Packed)
			w.routers[send.To].TakeList(w.now, from, body)
		case balance.CacheHolderList:
			if v := w.vms[send.To]; v != nil {
				v.publisher.NoteKeepers(w.now, from, body)
			} else if w.routers[send.To].TakeKeepers(w.now, body) {
				w.keeps[send.To] = append(w.keeps[send.To], body.Unpack()...)
			}
		case Document:
			w.documents++
			more, _ := w.routers[send.To].TakeDocument(w.now, from, body, func(*document.Document) error { return nil })
			w.carry(send.To, more)
		}
	}
}

func (w *world) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := w.now + d; w.now < end; w.now += step {
		for _, id := range inOrder(w.routers) {
			w.carry(id, w.routers[id].Tick(w.now))
		}
		for _, id := range inOrder(w.vms) {
			w.carry(id, w.vms[id].publisher.SendWaiting(w.now))
		}
	}
}

// inOrder returns the keys of a map in order, so that every run is the same.
func inOrder[V any](m map[protocol.RouterID]V) []protocol.RouterID {
	return slices.Sorted(maps.Keys(m))
}

// put brings a table in force on all disk VMs that aren't cut off.
func (w *world) put(version uint64) {
	d := document.New(version, []byte(fmt.Sprint("table ", version)))
	for _, id := range inOrder(w.vms) {
		v := w.vms[id]
		if !w.deaf[id] {
			w.carry(id, v.publisher.SetDocument(w.now, d, document.Change{}))
		}
	}
}

func (f *follow) version() uint64 {
	if f.InForce() == nil {
		return 0
	}
	return f.InForce().Version
}

// entriesOf returns the upstreams in a message with changes.
func entriesOf(s Send) []roster.Entry {
	entries, err := s.Body.(Changes).all()
	if err != nil {
		panic(err)
	}
	return entries
}

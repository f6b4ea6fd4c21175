package balance

import (
	"cmp"
	"maps"
	"slices"

	"endiveplank/protocol"
)

const (
	// keptPerRelay bounds the kept prompts that a relay tells at once, and mostKept
	// those that wait for it; the oldest give way.
	keptPerRelay = 512
	mostKept     = 8 * keptPerRelay
	// otherRelays stands for all other relays, which are told the same.
	otherRelays protocol.RouterID = ""
)

// tellAsRelay adds up the work of this router and its members for the other relays,
// and all work but its own for each member.
func (b *Book) tellAsRelay(whole bool) []Tell {
	group, total := b.sums()
	kept := b.takePassed()
	groupNews := b.news(otherRelays, whole, group, nil)
	var tells []Tell
	for _, id := range b.neighbours.Relays {
		tells = append(tells, Tell{To: id, Loads: Loads{Whole: whole, Works: groupNews, Kept: keptFor(id, kept, b.neighbours.Relays)}})
	}
	for _, id := range b.neighbours.Members {
		news := b.news(id, whole, total, b.routers[id])
		tells = append(tells, Tell{To: id, Loads: Loads{Whole: whole, Works: news, Kept: keptFor(id, kept, nil)}})
	}
	return slices.DeleteFunc(tells, func(t Tell) bool { return !whole && len(t.Loads.Works) == 0 && len(t.Loads.Kept) == 0 })
}

// sums returns the work of this router and its members, and that of all routers.
func (b *Book) sums() (group, total map[Short]Work) {
	group = b.ownWorks()
	for _, id := range b.neighbours.Members {
		addTo(group, b.routers[id])
	}
	total = maps.Clone(group)
	for _, id := range b.neighbours.Relays {
		addTo(total, b.routers[id])
	}
	return group, total
}

// takePassed returns the kept prompts that are to be told now.
func (b *Book) takePassed() []passedKept {
	for _, kept := range b.keepers.takeNews() {
		b.kept = append(b.kept, passedKept{Kept: kept})
	}
	b.kept = b.kept[max(0, len(b.kept)-mostKept):]
	taken := b.kept[:min(len(b.kept), keptPerRelay)]
	b.kept = slices.Clone(b.kept[len(taken):])
	return taken
}

// ownWorks returns this router's work.
func (b *Book) ownWorks() map[Short]Work {
	works := map[Short]Work{}
	for _, u := range b.upstreams {
		if u.own != (Work{ID: u.own.ID}) {
			works[u.own.ID] = u.own
		}
	}
	return works
}

// addTo adds the work that another router has told.
func addTo(sum map[Short]Work, other *others) {
	if other == nil {
		return
	}
	for id, work := range other.works {
		sum[id] = plus(sum[id], work)
	}
}

// plus adds work on one upstream.
func plus(sum, work Work) Work {
	return Work{
		ID: work.ID, InFlight: sum.InFlight + work.InFlight,
		Served: sum.Served + work.Served, Failed: sum.Failed + work.Failed,
	}
}

// minus takes work away that is part of a sum.
func minus(sum, work Work) Work {
	return Work{
		ID: sum.ID, InFlight: sum.InFlight - work.InFlight,
		Served: sum.Served - work.Served, Failed: sum.Failed - work.Failed,
	}
}

// news returns what a neighbour doesn't know yet of a sum without its own part, or
// all that is in flight.
func (b *Book) news(to protocol.RouterID, whole bool, sum map[Short]Work, own *others) []Work {
	told := b.told[to]
	if told == nil {
		told = map[Short]Work{}
		b.told[to] = told
	}
	var works []Work
	for id, work := range sum {
		if own != nil {
			work = minus(work, own.works[id])
		}
		if work != told[id] && work != (Work{ID: id}) || whole && work.InFlight > 0 {
			works = append(works, work)
		}
		told[id] = work
	}
	slices.SortFunc(works, func(x, y Work) int { return cmp.Compare(x.ID, y.ID) })
	return works
}

// passedKept is a kept prompt that a relay passes on.
type passedKept struct {
	Kept
	// from is who told it, "" for this router.
	from protocol.RouterID
}

// passKept notes what has to be passed on.
func (b *Book) passKept(from protocol.RouterID, kept []Kept) {
	if !b.neighbours.grouped() || b.neighbours.Relay != "" {
		return
	}
	for _, k := range kept {
		b.kept = append(b.kept, passedKept{Kept: k, from: from})
	}
}

// keptFor returns what a neighbour hasn't told itself, without what any of some
// routers has told: relays tell each other only what comes from their members.
func keptFor(to protocol.RouterID, passed []passedKept, without []protocol.RouterID) []Kept {
	var kept []Kept
	for _, k := range passed {
		if k.from != to && (k.from == "" || !slices.Contains(without, k.from)) {
			kept = append(kept, k.Kept)
		}
	}
	return kept
}

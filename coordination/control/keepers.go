package control

import (
	"slices"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/protocol"
)

const (
	// shareKeepersInterval is how often a disk VM tells the others what routers have
	// told it of engines that keep prompts' beginnings.
	shareKeepersInterval = time.Second
	// mostShared bounds what one such message tells.
	mostShared = 1024
	// mostKeeperTries is how often disk VMs are asked for what they remember; after a
	// second or two the routers know most of it anew.
	mostKeeperTries = 3
	// keepersPatience is how long a disk VM, or a router that it has named, may take to
	// tell.
	keepersPatience = time.Second
	// passKeepersFor is how long a router tells others what it was told at its start.
	passKeepersFor = 3 * time.Second
)

// Which engines keep prompts' beginnings is told by each router to one disk VM, which
// tells the others, so that any one of them can tell all of it to a router that starts.
//
// Load: all VMs lose power together, or hundreds of routers are rolled. Harm
// prevented: each router has to be told a part by each disk VM, which takes their
// links many seconds, and meanwhile sends prompts to engines that have to read them.
//
// Failure guarded: a disk VM has lost its disk and remembers nothing. It doesn't
// answer, and the router asks another one.

// sharedKeepers are those that the other disk VMs have to be told.
type sharedKeepers struct {
	kept []balance.CachedPrefix
	at   time.Duration
}

// NoteKeepers takes what a router or another disk VM tells.
func (p *Publisher) NoteKeepers(now time.Duration, from protocol.RouterID, list balance.CacheHolderList) {
	kept := list.Unpack()
	p.keepers.Add(now, kept)
	if !slices.Contains(p.diskVMs, from) {
		p.shared.kept = append(p.shared.kept, kept...)
		p.shared.kept = p.shared.kept[max(0, len(p.shared.kept)-mostShared):]
	}
}

// ShareKeepers tells the other disk VMs what routers have told this one.
func (p *Publisher) ShareKeepers(now time.Duration, self protocol.RouterID) []Send {
	if len(p.shared.kept) == 0 || now-p.shared.at < shareKeepersInterval {
		return nil
	}
	list := balance.NewCacheHolderList(p.shared.kept)
	p.shared = sharedKeepers{at: now}
	var sends []Send
	for _, id := range p.diskVMs {
		if id != self {
			sends = append(sends, Send{To: id, Body: list})
		}
	}
	return sends
}

// keeperList returns what engines keep, packed at most packedLife ago: thousands of
// prompts are sorted for it, and hundreds of routers start at once.
func (p *Publisher) keeperList(now time.Duration) balance.CacheHolderList {
	if !p.everPacked || now-p.packedKeepersAt >= packedLife {
		p.packedKeepers = balance.NewCacheHolderList(p.keepers.Newest(now))
		p.packedKeepersAt = now
		p.everPacked = true
	}
	return p.packedKeepers
}

// toldKeepers is what a follower knows of having been told which engines keep prompts'
// beginnings.
type toldKeepers struct {
	// list is what it was told, for other routers that start, and at when, if ever.
	list balance.CacheHolderList
	at   time.Duration
	any  bool
	// askedAt is when it last asked for that, for the tries-th time.
	tries   int
	askedAt time.Duration
}

// ask reports whether to ask now, and notes that it is done.
func (t *toldKeepers) ask(now time.Duration) bool {
	if t.any || t.tries >= mostKeeperTries || t.tries > 0 && now-t.askedAt < keepersPatience {
		return false
	}
	t.tries++
	t.askedAt = now
	return true
}

// TakeKeepers notes that a disk VM or another router has told which engines keep
// prompts' beginnings. It reports false for what was told before.
func (f *Follower) TakeKeepers(now time.Duration, list balance.CacheHolderList) bool {
	if f.keepers.any {
		return false
	}
	f.keepers.list, f.keepers.at, f.keepers.any = list, now, true
	f.answerAskers(now)
	return true
}

// passableKeepers returns what this router was told, if that is fresh enough to tell
// another one that starts.
func (f *Follower) passableKeepers(now time.Duration) (balance.CacheHolderList, bool) {
	return f.keepers.list, f.keepers.any && now-f.keepers.at < passKeepersFor
}

package control

import (
	"slices"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/protocol"
)

const (
	// shareHoldersInterval is how often a disk VM sends the others the cache holders
	// that routers have reported to it.
	shareHoldersInterval = time.Second
	// maxShared limits the entries of one such message.
	maxShared = 1024
	// maxHolderTries is how many times a router asks disk VMs for the cache holders
	// after its start. After a second or two the routers know most of them again.
	maxHolderTries = 3
	// holdersTimeout is how long a disk VM, or a router to which it referred the asker,
	// may take to send them.
	holdersTimeout = time.Second
	// passHoldersPeriod is how long a router sends others the list that it received at
	// its start.
	passHoldersPeriod = 3 * time.Second
)

// unsharedHolders are the cache holders that this disk VM has yet to send to the others.
// A cache holder is an engine that holds a prompt's prefix in its cache. Each router
// reports the ones it learns of to one disk VM, which sends them to the other disk VMs.
// So any single disk VM can send all of them to a router that starts.
//
// When all VMs lose power together, or hundreds of routers are restarted in a rolling
// upgrade, each router would otherwise need a part from each disk VM. That would take
// their links many seconds, and meanwhile the routers would send prompts to engines that
// have to process them anew.
//
// A disk VM that has lost its disk has no entries. It doesn't answer, and the router
// asks another one.
type unsharedHolders struct {
	entries []balance.CachedPrefix
	// at is when this disk VM last sent cache holders to the others.
	at time.Duration
}

// HandleCacheHolders stores what a router or another disk VM reports. What a router
// reports is sent on to the other disk VMs.
func (p *Publisher) HandleCacheHolders(now time.Duration, from protocol.RouterID, list balance.CacheHolderList) {
	entries := list.Unpack()
	p.holders.Add(now, entries)
	if !slices.Contains(p.diskVMs, from) {
		p.unshared.entries = append(p.unshared.entries, entries...)
		p.unshared.entries = p.unshared.entries[max(0, len(p.unshared.entries)-maxShared):]
	}
}

// ShareCacheHolders returns the messages that send the other disk VMs what routers have
// reported to this one.
func (p *Publisher) ShareCacheHolders(now time.Duration, self protocol.RouterID) []Message {
	if len(p.unshared.entries) == 0 || now-p.unshared.at < shareHoldersInterval {
		return nil
	}
	list := balance.NewCacheHolderList(p.unshared.entries)
	p.unshared = unsharedHolders{at: now}
	var messages []Message
	for _, id := range p.diskVMs {
		if id != self {
			messages = append(messages, Message{To: id, Body: list})
		}
	}
	return messages
}

// holderList returns all cache holders, packed at most packedLifetime ago: thousands of
// prompts are sorted for the list, and hundreds of routers start at once.
func (p *Publisher) holderList(now time.Duration) balance.CacheHolderList {
	if !p.everPacked || now-p.packedHoldersAt >= packedLifetime {
		p.packedHolders = balance.NewCacheHolderList(p.holders.Newest(now))
		p.packedHoldersAt = now
		p.everPacked = true
	}
	return p.packedHolders
}

// knownHolders is what a follower has received about cache holders.
type knownHolders struct {
	// list is the list that it received, for other routers that start. at is when it
	// came, if any did.
	list balance.CacheHolderList
	at   time.Duration
	any  bool
	// askedAt is when it last asked for the list, and tries how many times it did.
	tries   int
	askedAt time.Duration
}

// ask reports whether to ask now, and counts the attempt if so.
func (k *knownHolders) ask(now time.Duration) bool {
	if k.any || k.tries >= maxHolderTries || k.tries > 0 && now-k.askedAt < holdersTimeout {
		return false
	}
	k.tries++
	k.askedAt = now
	return true
}

// HandleCacheHolders stores the list of cache holders from a disk VM or another router.
// It returns false if the follower has one already.
func (f *Follower) HandleCacheHolders(now time.Duration, list balance.CacheHolderList) bool {
	if f.holders.any {
		return false
	}
	f.holders.list, f.holders.at, f.holders.any = list, now, true
	f.answerPeerRequests(now)
	return true
}

// relayableHolders returns the list of cache holders that this router received, and
// whether it is recent enough to send to another router that starts.
func (f *Follower) relayableHolders(now time.Duration) (balance.CacheHolderList, bool) {
	return f.holders.list, f.holders.any && now-f.holders.at < passHoldersPeriod
}

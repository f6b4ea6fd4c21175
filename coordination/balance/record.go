package balance

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// KeeperList tells which engines keep the beginnings of prompts: routers tell a disk VM
// what is new, and a disk VM tells a router that has just started what it knows.
type KeeperList struct {
	// Packed holds the keys of the prompts and the names of the engines, keptBytes
	// each: less than as a list of structs, as a disk VM tells all routers at once.
	Packed []byte `msgpack:"k"`
}

// keptBytes is what one prompt takes in a KeeperList.
const keptBytes = 8 + 4

// NewKeeperList packs a list.
func NewKeeperList(kept []Kept) KeeperList {
	packed := make([]byte, 0, len(kept)*keptBytes)
	for _, k := range kept {
		packed = binary.BigEndian.AppendUint64(packed, k.Prompt)
		packed = binary.BigEndian.AppendUint32(packed, uint32(k.ID))
	}
	return KeeperList{Packed: packed}
}

// Kept returns the list. Bytes that are no whole entry are left out.
func (k KeeperList) Kept() []Kept {
	kept := make([]Kept, 0, len(k.Packed)/keptBytes)
	for rest := k.Packed; len(rest) >= keptBytes; rest = rest[keptBytes:] {
		kept = append(kept, Kept{Prompt: binary.BigEndian.Uint64(rest), ID: Short(binary.BigEndian.Uint32(rest[8:]))})
	}
	return kept
}

const (
	// mostRecalled bounds what a router is told at its start.
	mostRecalled = 2048
	// recalledLife is how long ago a disk VM was told what it tells a router. Routers
	// tell what is in use every tellAgain.
	recalledLife = tellAgain + tellAgain/2
	// recalledFor is how long a router that was told of engines it doesn't know yet
	// waits for the list of upstreams.
	recalledFor = 5 * time.Second
)

// KeeperRecord is what a disk VM remembers of the engines that keep prompts' beginnings,
// the last one told for each prompt. It is not safe for concurrent use.
//
// Load: all VMs lose power together while the engines run on, or routers are rolled
// one after the other. Harm prevented: a router that starts knows no keeper and sends
// each prompt to the first engine in the prompt's order, which has to read what
// another one still keeps, at the moment when all callers come back: half of the
// prompts of the first two seconds took ten times as long as usual.
type KeeperRecord struct {
	prompts map[uint64]recorded
}

type recorded struct {
	id Short
	at time.Duration
}

// RememberedKeeper is an entry of a KeeperRecord as it is written down, with its age.
type RememberedKeeper struct {
	Kept
	Age time.Duration `msgpack:"a"`
}

// NewKeeperRecord returns an empty record.
func NewKeeperRecord() *KeeperRecord { return &KeeperRecord{prompts: map[uint64]recorded{}} }

// Note takes what a router tells.
func (r *KeeperRecord) Note(now time.Duration, kept []Kept) {
	for _, k := range kept {
		if _, known := r.prompts[k.Prompt]; !known && len(r.prompts) >= mostPrompts {
			r.drop(now)
		}
		r.prompts[k.Prompt] = recorded{id: k.ID, at: now}
	}
}

// Recall takes what was written down before a start.
func (r *KeeperRecord) Recall(now time.Duration, all []RememberedKeeper) {
	for _, m := range all {
		r.prompts[m.Prompt] = recorded{id: m.ID, at: now - m.Age}
	}
}

// Entries returns what is fresh, the newest first.
func (r *KeeperRecord) Entries(now time.Duration) []RememberedKeeper {
	var all []RememberedKeeper
	for prompt, k := range r.prompts {
		if age := now - k.at; age <= keeperLife {
			all = append(all, RememberedKeeper{Kept: Kept{Prompt: prompt, ID: k.id}, Age: age})
		}
	}
	slices.SortFunc(all, func(x, y RememberedKeeper) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Prompt, y.Prompt))
	})
	return all
}

// Newest returns what a router is told that has just started.
func (r *KeeperRecord) Newest(now time.Duration) []Kept {
	var kept []Kept
	for _, m := range r.Entries(now) {
		if m.Age > recalledLife || len(kept) == mostRecalled {
			break
		}
		kept = append(kept, m.Kept)
	}
	return kept
}

// drop forgets what is old, and any where that isn't enough.
func (r *KeeperRecord) drop(now time.Duration) {
	for prompt, k := range r.prompts {
		if now-k.at > keeperLife {
			delete(r.prompts, prompt)
		}
	}
	for prompt := range r.prompts {
		if len(r.prompts) < mostPrompts {
			return
		}
		delete(r.prompts, prompt)
	}
}

// Unrecorded returns what a disk VM has to be told, some at a time.
func (b *Book) Unrecorded() []Kept {
	n := min(len(b.unrecorded), keptPerMessage)
	taken := b.unrecorded[:n]
	b.unrecorded = slices.Clone(b.unrecorded[n:])
	return taken
}

// noteUnrecorded adds to what a disk VM has to be told; the oldest give way.
func (b *Book) noteUnrecorded(kept Kept) {
	b.unrecorded = append(b.unrecorded, kept)
	b.unrecorded = b.unrecorded[max(0, len(b.unrecorded)-mostKept):]
}

// RecallKeepers takes what a disk VM remembers. What this router knows by itself or from
// others is newer. Upstreams that aren't listed here yet are waited for.
func (b *Book) RecallKeepers(now time.Duration, kept []Kept) {
	b.recalled = append(b.recalled, kept...)
	b.recalledAt = max(now, 1)
	b.takeRecalled()
}

// takeRecalled notes the keepers among what was recalled that are listed now.
func (b *Book) takeRecalled() {
	b.recalled = slices.DeleteFunc(b.recalled, func(k Kept) bool {
		u := b.byShort[k.ID]
		if _, known := b.keepers.prompts[k.Prompt]; u != nil && !known {
			b.keepers.noteTold(b.recalledAt, k.Prompt, u)
		}
		return u != nil
	})
}

// forgetRecalled drops what names upstreams that nobody lists.
func (b *Book) forgetRecalled(now time.Duration) {
	if now-b.recalledAt > recalledFor {
		b.recalled = nil
	}
}

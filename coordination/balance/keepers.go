package balance

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const (
	// keeperLife is how long an engine is taken to keep a prompt's beginning
	// after it was last sent there. Beginnings that nobody asked for in that
	// time are cheap to read again.
	keeperLife = 30 * time.Second
	// tellAgain is how old the routers' knowledge of a keeper may grow before
	// a router that uses it tells them anew.
	tellAgain = 10 * time.Second
	// keepersOfPrompt bounds the engines remembered for one prompt.
	keepersOfPrompt = 4
	// mostPrompts bounds the prompts remembered.
	mostPrompts = 8192
	// keptPerMessage bounds what one message tells.
	keptPerMessage = 64
)

// Kept tells other routers that an engine keeps a prompt's beginning.
type Kept struct {
	Prompt uint64 `msgpack:"p"`
	ID     Short  `msgpack:"i"`
}

// keeper is an engine that a prompt was sent to, also while it hasn't read it: the next
// request with that prompt goes there too.
type keeper struct {
	id   protocol.UpstreamID
	born int64
	// at is when a router sent the prompt there, as far as is known here.
	at time.Duration
	// told is when the routers were last told.
	told time.Duration
	// sure says that an answer to the prompt has begun there: the engine has read it.
	sure bool
}

// keepers remembers which engines keep which prompts, by what this router and
// the others have sent.
type keepers struct {
	prompts map[uint64][]keeper
	// news is what the other routers have to be told.
	news []Kept
}

func newKeepers() *keepers {
	return &keepers{prompts: map[uint64][]keeper{}}
}

// of returns the engines that keep a prompt and take work, the one used last
// first.
func (b *Book) keepersOf(now time.Duration, prompt uint64, list []*upstream) []*upstream {
	var found []*upstream
	for _, k := range b.keepers.prompts[prompt] {
		if now-k.at > keeperLife {
			continue
		}
		at := slices.IndexFunc(list, k.isOf)
		if at >= 0 {
			found = append(found, list[at])
		}
	}
	return found
}

// copySource returns the address of an engine that keeps a prompt, also of one
// that is leaving, "" if there is none or the chosen one keeps it.
func (b *Book) copySource(now time.Duration, prompt uint64, chosen *upstream) string {
	source := ""
	for _, k := range b.keepers.prompts[prompt] {
		u := b.upstreams[k.id]
		if u == nil || u.entry.StartedAt != k.born || now-k.at > keeperLife || u.entry.State == roster.Gone || !k.sure {
			continue
		}
		if u == chosen {
			return ""
		}
		if source == "" {
			source = u.entry.Address
		}
	}
	return source
}

// sourceFor returns the address of the engine from which the chosen one copies what it
// lacks of a prompt, "" if it lacks nothing or nobody is known.
//
// Load: prompts on many engines that begin alike. Harm prevented: each engine reads
// the common beginning anew with the first prompt of the kind that it gets, after a
// start, a loss, or a change of the list, though a copy takes a fraction of the time.
func (b *Book) sourceFor(now time.Duration, r Request, chosen *upstream) string {
	if b.isKept(now, r.Prompt, chosen) {
		return ""
	}
	for _, key := range append([]uint64{r.Prompt}, r.Beginnings...) {
		if source := b.copySource(now, key, chosen); source != "" {
			return source
		}
	}
	return ""
}

// isKept reports whether an engine keeps a prompt, as far as is known.
func (b *Book) isKept(now time.Duration, prompt uint64, u *upstream) bool {
	return slices.ContainsFunc(b.keepers.prompts[prompt], func(k keeper) bool {
		return k.isOf(u) && k.sure && now-k.at <= keeperLife
	})
}

// isOf reports whether a keeper is this start of an upstream.
func (k keeper) isOf(u *upstream) bool { return k.id == u.entry.ID && k.born == u.entry.StartedAt }

// Keeps notes that an engine has begun to answer a prompt, and so keeps its beginning
// and the shorter ones.
//
// Load: all engines fail part of their requests for some seconds. Harm prevented: an
// engine that has failed a request unread is taken for a keeper by all routers, which
// go on sending the prompt there, and copy it from nowhere.
func (b *Book) Keeps(now time.Duration, id protocol.UpstreamID, prompt uint64, beginnings []uint64) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	b.keeps(now, prompt, u)
	b.keepsBeginnings(now, beginnings, u)
}

// NotKept notes that an attempt ended. If its answer hadn't begun, and no other one did
// at that engine, it isn't a keeper.
func (b *Book) NotKept(id protocol.UpstreamID, prompt uint64) {
	list := slices.DeleteFunc(b.keepers.prompts[prompt], func(k keeper) bool { return k.id == id && !k.sure })
	if len(list) == 0 {
		delete(b.keepers.prompts, prompt)
		return
	}
	b.keepers.prompts[prompt] = list
}

// keepsBeginnings notes who keeps the shorter beginnings of a prompt that an engine
// answers, where nobody is known who did so lately: a source to copy from is enough,
// and hundreds of prompts a second begin with the same.
func (b *Book) keepsBeginnings(now time.Duration, beginnings []uint64, u *upstream) {
	for _, key := range beginnings {
		list := b.keepers.prompts[key]
		if len(list) == 0 || now-list[0].at > tellAgain {
			b.keeps(now, key, u)
		}
	}
}

// keeps notes that an engine keeps a prompt, and that the others have to be told.
func (b *Book) keeps(now time.Duration, prompt uint64, u *upstream) {
	k := b.keepers.note(now, prompt, u)
	k.sure = true
	if k.told == 0 || now-k.told > tellAgain {
		k.told = max(now, 1)
		b.keepers.news = append(b.keepers.news, Kept{Prompt: prompt, ID: u.own.ID})
		b.noteUnrecorded(Kept{Prompt: prompt, ID: u.own.ID})
	}
}

// takeKept notes what another router tells.
func (b *Book) takeKept(now time.Duration, kept []Kept) {
	for _, k := range kept {
		if u := b.byShort[k.ID]; u != nil {
			b.keepers.noteTold(now, k.Prompt, u)
		}
	}
}

// noteTold notes an engine that others have told of.
func (k *keepers) noteTold(now time.Duration, prompt uint64, u *upstream) {
	known := k.note(now, prompt, u)
	known.told = max(now, 1)
	known.sure = true
}

// note puts an engine in front of those that keep a prompt.
func (k *keepers) note(now time.Duration, prompt uint64, u *upstream) *keeper {
	list, known := k.prompts[prompt]
	if !known && len(k.prompts) >= mostPrompts {
		k.drop(now)
	}
	next := keeper{id: u.entry.ID, born: u.entry.StartedAt, at: now}
	at := slices.IndexFunc(list, func(old keeper) bool { return old.isOf(u) })
	if at >= 0 {
		next.told, next.sure = list[at].told, list[at].sure
		list = slices.Delete(list, at, at+1)
	}
	list = slices.Insert(list, 0, next)
	list = list[:min(len(list), keepersOfPrompt)]
	k.prompts[prompt] = list
	return &list[0]
}

// takeNews returns what the other routers have to be told, some at a time.
func (k *keepers) takeNews() []Kept {
	n := min(len(k.news), keptPerMessage)
	taken := k.news[:n]
	k.news = slices.Clone(k.news[n:])
	return taken
}

// drop forgets what is old, and any where that isn't enough.
func (k *keepers) drop(now time.Duration) {
	for prompt, list := range k.prompts {
		if now-list[0].at > keeperLife {
			delete(k.prompts, prompt)
		}
	}
	for prompt := range k.prompts {
		if len(k.prompts) < mostPrompts {
			return
		}
		delete(k.prompts, prompt)
	}
}

// inOrderOf returns upstreams in the order of a prompt, by rendezvous hashing:
// the same on every router, and when one comes or goes only the prompts move
// that belong to it.
func inOrderOf(prompt uint64, list []*upstream) []*upstream {
	type ranked struct {
		rank uint64
		u    *upstream
	}
	all := make([]ranked, 0, len(list))
	for _, u := range list {
		all = append(all, ranked{rank(prompt, u.entry.ID), u})
	}
	slices.SortFunc(all, func(x, y ranked) int { return cmp.Compare(y.rank, x.rank) })
	ordered := make([]*upstream, 0, len(list))
	for _, r := range all {
		ordered = append(ordered, r.u)
	}
	return ordered
}

package membership

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// fetchTimeout is the time after which a piece is asked for again, and
	// fetchTries how often. A sender whose budget is spent sends the next
	// piece later.
	fetchTimeout = 2 * time.Second
	fetchTries   = 5
	// maxPiece is the largest piece of a list in bytes. A larger one would
	// need a budget that is all but unspent, and a busy member would hardly
	// ever send it.
	maxPiece = 700
	// settled is how old news must be before its absence from another's list
	// means something.
	settled = 5 * time.Second
)

// fetch is a list that is being asked for.
type fetch struct {
	from  protocol.RouterID
	after protocol.RouterID
	due   time.Duration
	tries int
}

// maxDiffering bounds the members whose difference is remembered.
const maxDiffering = 32

// compare looks at another's digest. Digests differ while news is on its way;
// when one member differs twice and long apart, some news was lost for one of
// the two. Only that member can take it back: after a partition, those of the
// same side agree with each other all the time.
func (c *Core) compare(now time.Duration, m message) {
	if m.Digest == c.digest {
		delete(c.differing, m.From)
		return
	}
	since, known := c.differing[m.From]
	if !known {
		if len(c.differing) < maxDiffering {
			c.differing[m.From] = now
		}
		return
	}
	if now-since < c.config.SyncPeriod || c.fetch.from != "" || m.Kind == List {
		return
	}
	clear(c.differing)
	c.fetch = fetch{from: m.From, due: now, tries: fetchTries}
}

// tickFetch asks for the next piece, or again.
func (c *Core) tickFetch(now time.Duration) {
	if c.fetch.from == "" || now < c.fetch.due {
		return
	}
	if c.fetch.tries == 0 {
		c.fetch = fetch{}
		return
	}
	from := c.orStranger(c.fetch.from)
	c.fetch.tries--
	c.fetch.due = now + fetchTimeout
	c.send(now, from, message{Kind: ListRequest, Target: c.fetch.after}, classNews)
}

// orStranger returns a member, or a record with the ID alone. One that knows
// this member may itself be missing from the list here: after a partition, it
// is the one to ask. The driver knows its address from its connection.
func (c *Core) orStranger(id protocol.RouterID) *record {
	if known := c.members[id]; known != nil {
		return known
	}
	return &record{Member: Member{ID: id, State: Alive}}
}

// sendList sends the piece of the list after a member.
func (c *Core) sendList(now time.Duration, to *record, after protocol.RouterID) {
	m := message{Kind: List, Target: after}
	size := len(appendHead(nil, m))
	at, found := c.find(after)
	if found {
		at++
	}
	for ; at < len(c.order); at++ {
		entries := entriesOf(c.order[at])
		for _, entry := range entries {
			size += len(appendRumour(nil, entry))
		}
		if size > maxPiece {
			m.More = true
			break
		}
		m.Rumours = append(m.Rumours, entries...)
	}
	c.sendWith(now, to, m, classList)
}

// entriesOf is what a list says of a member. The dead are in it, because one
// who missed the news would else keep them.
func entriesOf(m *record) []rumour {
	switch m.State {
	case Dead:
		return []rumour{{Kind: rumourDead, Member: m.Member}}
	case Left:
		return []rumour{{Kind: rumourLeft, Member: m.Member}}
	}
	return []rumour{{Kind: rumourAlive, Member: m.Member}}
}

// listed goes on after a piece of a list, whose entries were heard.
func (c *Core) listed(now time.Duration, from *record, m message) {
	last := m.Target
	if len(m.Rumours) > 0 {
		last = m.Rumours[len(m.Rumours)-1].Member.ID
	}
	c.doubtAbsent(now, m, last)
	if !m.More || last == m.Target {
		c.fetch = fetch{}
		return
	}
	c.fetch = fetch{from: from.ID, after: last, due: now, tries: fetchTries}
}

// doubtAbsent probes the members that another's list lacks. Its sender may
// have forgotten a dead one of whom this member never heard that it died.
func (c *Core) doubtAbsent(now time.Duration, m message, last protocol.RouterID) {
	for _, known := range c.order {
		inside := known.ID > m.Target && (!m.More || known.ID <= last)
		if !inside || known == c.self || !known.State.living() || now-known.changed < settled {
			continue
		}
		if !slices.ContainsFunc(m.Rumours, func(r rumour) bool { return r.Member.ID == known.ID }) {
			c.probeSoon(known.ID)
		}
	}
}

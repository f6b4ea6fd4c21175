package membership

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// fetchTimeout is the time after which a page is requested again, and
	// maxFetchAttempts the number of requests. A sender whose budget is spent
	// sends no page, and a later request has to get it.
	fetchTimeout     = 2 * time.Second
	maxFetchAttempts = 5
	// maxPageBytes is the largest page of a list. A larger page would need an
	// almost unspent budget, and a busy member would hardly ever send it.
	maxPageBytes = 700
	// minAbsenceAge is how long ago a member must have changed before its
	// absence from another member's list counts: a newer change may not have
	// reached that member yet.
	minAbsenceAge = 5 * time.Second
)

// fetch is the fetch of another member's list in progress.
type fetch struct {
	from         protocol.RouterID
	after        protocol.RouterID
	due          time.Duration
	attemptsLeft int
}

// maxDifferingMembers bounds the members recorded in differingSince.
const maxDifferingMembers = 32

// compareDigest starts a fetch of the sender's list when its digest has differed
// from this member's for at least SyncPeriod. Digests differ while an update is
// still spreading; a difference that lasts means that one of the two members
// missed an update. Only an equal digest from the same sender ends the
// difference: after a partition, members of one side always agree with each
// other.
func (c *Core) compareDigest(now time.Duration, m message) {
	if m.Digest == c.digest {
		delete(c.differingSince, m.From)
		return
	}
	since, known := c.differingSince[m.From]
	if !known {
		if len(c.differingSince) < maxDifferingMembers {
			c.differingSince[m.From] = now
		}
		return
	}
	if now-since < c.config.SyncPeriod || c.fetch.from != "" || m.Kind == List {
		return
	}
	clear(c.differingSince)
	c.fetch = fetch{from: m.From, due: now, attemptsLeft: maxFetchAttempts}
}

// tickFetch requests the next page, or requests a page again.
func (c *Core) tickFetch(now time.Duration) {
	if c.fetch.from == "" || now < c.fetch.due {
		return
	}
	if c.fetch.attemptsLeft == 0 {
		c.fetch = fetch{}
		return
	}
	from := c.memberOrUnknown(c.fetch.from)
	c.fetch.attemptsLeft--
	c.fetch.due = now + fetchTimeout
	c.send(now, from, message{Kind: ListRequest, Target: c.fetch.after}, classGossip)
}

// memberOrUnknown returns a member, or a record with only the ID if the member is
// not on the list. A router that sends packets to this member may be missing
// from the list here: after a partition, its list is the one to fetch. The
// driver knows its address from its connection.
func (c *Core) memberOrUnknown(id protocol.RouterID) *record {
	if known := c.members[id]; known != nil {
		return known
	}
	return &record{Member: Member{ID: id, State: Alive}}
}

// sendList sends the page of the list that follows the member ID after.
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
		if size > maxPageBytes {
			m.More = true
			break
		}
		m.Rumours = append(m.Rumours, entries...)
	}
	c.sendWith(now, to, m, classList)
}

// entriesOf returns the list entries of a member. The list includes dead
// members, because a receiver that missed their death would otherwise keep them.
func entriesOf(m *record) []rumour {
	switch m.State {
	case Dead:
		return []rumour{{Kind: rumourDead, Member: m.Member}}
	case Left:
		return []rumour{{Kind: rumourLeft, Member: m.Member}}
	}
	return []rumour{{Kind: rumourAlive, Member: m.Member}}
}

// handleList continues the fetch after a page, whose entries are already
// applied.
func (c *Core) handleList(now time.Duration, from *record, m message) {
	last := m.Target
	if len(m.Rumours) > 0 {
		last = m.Rumours[len(m.Rumours)-1].Member.ID
	}
	c.probeMissing(now, m, last)
	if !m.More || last == m.Target {
		c.fetch = fetch{}
		return
	}
	c.fetch = fetch{from: from.ID, after: last, due: now, attemptsLeft: maxFetchAttempts}
}

// probeMissing probes the living members that are missing from a page. The
// sender may have removed a dead member whose death this member missed.
func (c *Core) probeMissing(now time.Duration, m message, last protocol.RouterID) {
	for _, known := range c.order {
		inside := known.ID > m.Target && (!m.More || known.ID <= last)
		if !inside || known == c.self || !known.State.living() || now-known.changed < minAbsenceAge {
			continue
		}
		if !slices.ContainsFunc(m.Rumours, func(r rumour) bool { return r.Member.ID == known.ID }) {
			c.probeSoon(known.ID)
		}
	}
}

package control

import (
	"time"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// askList asks one disk VM for the parts of its list that differ from this follower's,
// once they have differed for listDelay: the follower missed changes, or it or that VM
// has just started.
//
// When all routers start at once, each knows nothing. Without a limit each router would
// get lists from all five disk VMs, and ask again with each Watch until one gets
// through, on links that are full because of it. A list that was merged before isn't
// asked for again: a VM that was cut off or has just started lists less than the others
// for a while.
func (f *Follower) askList(now time.Duration) []Message {
	if f.everAsked && now-f.listAsked < listTimeout || f.expectsChanges(now) {
		return nil
	}
	if f.lacksUpstreams(now) && now-f.knewMostAt < peerListsOnlyPeriod {
		return nil
	}
	id := f.largestList(now, !f.KnowsMostUpstreams(now))
	if id == "" {
		return nil
	}
	f.listAsked = now
	f.everAsked = true
	return []Message{f.watch(now, id, Watch{WantList: true, Have: f.roster.Summary()})}
}

// listCost is the minimum time between two requests for a list, for each upstream listed.
const listCost = 200 * time.Microsecond

// listPace returns the minimum time between two requests for a list.
//
// While upstreams of a large service are replaced one after the other, the lists of two
// processes differ at any moment by changes that are on their way. A router that asked for
// ten thousand upstreams as soon as it has merged the last list would do nothing else. Half
// of the time within which leaving upstreams must be known is left for a change that was
// lost.
func (f *Follower) listPace() time.Duration {
	pace := time.Duration(f.roster.Usable()) * listCost
	return max(listTimeout, min(pace, f.leaveTime/2))
}

// expectsChanges reports whether this follower has merged a list a moment ago. What it still
// lacks has been announced since then, and is on its way.
func (f *Follower) expectsChanges(now time.Duration) bool {
	return f.everMerged && now-f.mergedAt < f.listPace()
}

// SetLeaveTime sets the time within which this follower must know that an upstream leaves.
func (f *Follower) SetLeaveTime(d time.Duration) { f.leaveTime = d }

// largestList returns the disk VM that lists the most upstreams among those whose list
// has differed for listDelay and wasn't merged here, "" if there is none. Of two with
// as many, the preferred one is chosen. If immediately is set, the list needn't have
// differed for listDelay.
func (f *Follower) largestList(now time.Duration, immediately bool) protocol.RouterID {
	best := protocol.RouterID("")
	for _, id := range f.byPreference() {
		s := f.sources[id]
		due := s.differs && (immediately || now-s.differsSince >= listDelay)
		if !s.alive(now) || !due || s.roster == s.merged {
			continue
		}
		if best == "" || s.upstreams > f.sources[best].upstreams {
			best = id
		}
	}
	return best
}

// minKnownShare is the share of the upstreams listed by any disk VM that a router must
// know before it may send requests. With fewer, the known upstreams would get the load
// of all of them, from every router that has just started.
const minKnownShare = 0.8

// KnowsMostUpstreams reports whether this follower's roster has most of the upstreams
// that any live disk VM lists.
func (f *Follower) KnowsMostUpstreams(now time.Duration) bool {
	most := 0
	for _, s := range f.sources {
		if s.alive(now) {
			most = max(most, s.upstreams)
		}
	}
	return float64(f.roster.Usable()) >= minKnownShare*float64(most)
}

// listedRefreshInterval is how often a router notes that a disk VM whose list differs from
// its own still lists the upstreams that it did. It is a fraction of the time after which
// unlisted ones are removed.
const listedRefreshInterval = 5 * time.Second

// compareRoster compares a disk VM's roster with this follower's. For a router, every
// upstream that a disk VM lists is alive.
//
// An upstream may be gone for good without announcing it. Disk VMs drop it because it is
// silent, but they can't report that to others as a fact: a VM that is cut off receives
// nothing from any upstream. So a router drops an upstream that no disk VM lists any
// more.
func (f *Follower) compareRoster(now time.Duration, s *source) {
	same := s.roster == f.roster.Digest()
	if !same && !s.differs {
		s.differsSince = now
	}
	s.differs = !same
	if !f.router {
		return
	}
	if same {
		f.roster.RefreshAll(now)
	} else if s.roster == s.merged && now-s.refreshedAt >= listedRefreshInterval {
		s.refreshedAt = now
		f.roster.RefreshListed(now, s.listed)
	}
}

// compareRosters compares the rosters of all disk VMs with this follower's, which
// another router has just completed. The follower needn't ask disk VMs for what it now
// has.
func (f *Follower) compareRosters(now time.Duration) {
	for _, s := range f.sources {
		if s.everHeard {
			f.compareRoster(now, s)
		}
	}
}

// HandleChanges merges changes from a disk VM or a relay. It acknowledges those from a
// disk VM and relays them if it says so.
func (f *Follower) HandleChanges(now time.Duration, from protocol.RouterID, c Changes) []Message {
	entries, read := f.mergeChanges(now, from, c)
	if !read || c.Number == 0 {
		return nil
	}
	messages := []Message{{To: from, Body: ChangesAck{Number: c.Number}}}
	if f.relay != nil && c.PassOn {
		f.relay.PassOnChanges(entries)
		messages = append(messages, f.relay.dueChanges(now)...)
	}
	return messages
}

// mergeChanges merges changes into the roster and returns them. False means that they couldn't be
// read.
func (f *Follower) mergeChanges(now time.Duration, from protocol.RouterID, c Changes) ([]roster.Entry, bool) {
	entries, err := c.all()
	if err != nil {
		f.events = append(f.events, Event{Kind: EventListUnreadable, Peer: from})
		return nil, false
	}
	for _, e := range entries {
		f.roster.Merge(now, e)
	}
	if c.Number != 0 {
		f.heardFrom(now, from)
	}
	return entries, true
}

// namesOutside returns the upstreams in the parts of the roster that aren't in buckets.
func (f *Follower) namesOutside(buckets roster.Buckets) []protocol.UpstreamID {
	var names []protocol.UpstreamID
	for _, e := range f.roster.EntriesIn(^buckets) {
		if e.State != roster.Gone {
			names = append(names, e.ID)
		}
	}
	return names
}

// HandleList merges a list from a disk VM or another router. For the parts that the list
// leaves out, the sender has the same entries as this follower. A list that can't be
// read changes nothing.
func (f *Follower) HandleList(now time.Duration, from protocol.RouterID, l List) {
	entries, err := l.unpack()
	if err != nil {
		f.events = append(f.events, Event{Kind: EventListUnreadable, Peer: from})
		return
	}
	for _, e := range entries {
		f.roster.Merge(now, e)
	}
	f.mergedAt, f.everMerged = now, true
	defer f.answerPeerRequests(now)
	if f.sources[from] == nil {
		f.compareRosters(now)
		return
	}
	s := f.heardFrom(now, from)
	s.roster, s.merged = l.Digest, l.Digest
	s.refreshedAt = now
	s.listed = f.namesOutside(l.Buckets)
	for _, e := range entries {
		if known, any := f.roster.Entry(e.ID); any && e.State != roster.Gone {
			// The roster's copy of the ID, so that the list's can be freed.
			s.listed = append(s.listed, known.ID)
		}
	}
	f.compareRoster(now, s)
}

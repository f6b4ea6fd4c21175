package control

import (
	"time"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// askList asks one disk VM for the parts of its list that differ from the own, once
// they have done so for a moment: changes were missed, or this process or that VM
// has just started.
//
// Load: all routers start at once, and each knows nothing. Harm prevented: five
// lists from all disk VMs for each router, again with each watch until one gets
// through, on links that are full for it. A list that was merged before
// isn't asked for again: a VM that was cut off or has just started lists less
// than the others for a while.
func (f *Follower) askList(now time.Duration) []Send {
	if f.everAsked && now-f.listAsked < listPatience {
		return nil
	}
	if f.lacksUpstreams(now) && now-f.knewMostAt < neighbourListsFor {
		return nil
	}
	id := f.richest(now, !f.KnowsMost(now))
	if id == "" {
		return nil
	}
	f.listAsked = now
	f.everAsked = true
	return []Send{f.watch(now, id, Watch{WantList: true, Have: f.roster.Summary()})}
}

// richest returns the disk VM that lists the most upstreams, of those whose list
// has differed for long enough and isn't known here, "" if there is none. Among
// equals the preferred one goes first.
func (f *Follower) richest(now time.Duration, atOnce bool) protocol.RouterID {
	best := protocol.RouterID("")
	for _, id := range f.byPreference() {
		s := f.sources[id]
		ripe := s.differs && (atOnce || now-s.differsSince >= listAfter)
		if !s.inTouch(now) || !ripe || s.roster == s.merged {
			continue
		}
		if best == "" || s.upstreams > f.sources[best].upstreams {
			best = id
		}
	}
	return best
}

// mostShare is the share of the upstreams that any disk VM lists from which a
// router may send work: with fewer, those that it knows would get the work of
// all, from every router that has just started.
const mostShare = 0.8

// KnowsMost reports whether the own roster has most of the upstreams that any
// disk VM in touch lists.
func (f *Follower) KnowsMost(now time.Duration) bool {
	most := 0
	for _, s := range f.sources {
		if s.inTouch(now) {
			most = max(most, s.upstreams)
		}
	}
	return float64(f.roster.Usable()) >= mostShare*float64(most)
}

// agree compares a disk VM's roster with the own. For a router, what a disk VM
// lists lives.
//
// Failure: an upstream is gone for good without a word. The disk VMs forget it
// for its silence, which they can't tell others as a fact: a VM that is cut off
// hears silence from all. So a router forgets what no disk VM lists any more.
func (f *Follower) agree(now time.Duration, s *source) {
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
	} else if s.roster == s.merged {
		f.roster.RefreshListed(now, s.listed)
	}
}

// agreeWithAll compares the rosters of all disk VMs with the own, which another
// router has just completed: they needn't be asked for what it has brought.
func (f *Follower) agreeWithAll(now time.Duration) {
	for _, s := range f.sources {
		if s.everHeard {
			f.agree(now, s)
		}
	}
}

// TakeChanges merges what a disk VM was just told, and passes it on.
func (f *Follower) TakeChanges(now time.Duration, from protocol.RouterID, c Changes) []Send {
	entries, err := c.all()
	if err != nil {
		f.beliefs = append(f.beliefs, Belief{What: BeliefUnreadable, About: from})
		return nil
	}
	for _, e := range entries {
		f.roster.Merge(now, e)
	}
	if c.Number == 0 {
		return nil
	}
	f.heardFrom(now, from)
	sends := []Send{{To: from, Body: ChangesAck{Number: c.Number}}}
	if f.relay != nil && c.PassOn {
		sends = append(sends, f.relay.PassOn(c)...)
	}
	return sends
}

// namesOutside returns the upstreams in the parts of the roster that aren't named.
func (f *Follower) namesOutside(buckets roster.Buckets) []protocol.UpstreamID {
	var names []protocol.UpstreamID
	for _, e := range f.roster.EntriesIn(^buckets) {
		if e.State != roster.Gone {
			names = append(names, e.ID)
		}
	}
	return names
}

// TakeList merges a disk VM's list, or another router's. What isn't in it is there
// as it is here. One that can't be read changes nothing.
func (f *Follower) TakeList(now time.Duration, from protocol.RouterID, l List) {
	entries, err := l.unpack()
	if err != nil {
		f.beliefs = append(f.beliefs, Belief{What: BeliefUnreadable, About: from})
		return
	}
	for _, e := range entries {
		f.roster.Merge(now, e)
	}
	defer f.answerAskers(now)
	if f.sources[from] == nil {
		f.agreeWithAll(now)
		return
	}
	s := f.heardFrom(now, from)
	s.roster, s.merged = l.Digest, l.Digest
	s.listed = f.namesOutside(l.Buckets)
	for _, e := range entries {
		if e.State != roster.Gone {
			s.listed = append(s.listed, e.ID)
		}
	}
	f.agree(now, s)
}

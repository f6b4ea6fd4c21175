package ownership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// overload is how far above its fair share of upstream capacity a router may
// be before upstreams move away from it. Lower values move more upstreams at
// every join; 1.25 is the fleet's own bound on skew.
const overload = 1.25

// maxMoves bounds how many owners are asked to release at one time, so that a
// data centre that returns does not unsettle the whole fleet at once.
const maxMoves = 32

// Upstream is what the planner knows of a live upstream.
type Upstream struct {
	ID         protocol.UpstreamID
	DataCentre protocol.DataCentre
	// Capacity is the announced share of work relative to other upstreams.
	Capacity float64
}

// Plan is what the leader should propose now.
type Plan struct {
	Assign Assign
	Move   Move
	Forget Forget
}

// Empty reports whether there is nothing to propose.
func (p Plan) Empty() bool {
	return len(p.Assign.Targets) == 0 && len(p.Move.Upstreams) == 0 && len(p.Forget.Upstreams) == 0
}

// router is one session while a plan is made.
type router struct {
	session Session
	load    float64
	limit   float64
}

// planner holds the sums of one planning round.
type planner struct {
	routers  map[SessionID]*router
	sites    map[protocol.DataCentre][]*router
	all      []*router
	moving   int
	upstream map[protocol.UpstreamID]Upstream
}

// MakePlan compares sessions, live upstreams and current assignments.
//
// It is made for 330 routers and 790 upstreams with some 150 restarts a day.
// The harm it prevents: an upstream without an owner serves nobody, so
// unowned upstreams go first; an owner in another data centre adds a hop to
// every request, so owners are sought in the upstream's own; every move costs
// a moment without an owner and the owner's queue, so an upstream stays where
// it is unless its owner stops, is in the wrong data centre, or carries more
// than its share. Rendezvous hashing orders the candidates, so two leaders
// after each other choose alike. live must be the upstreams to keep; an
// assignment of another is forgotten once nobody owns it.
func MakePlan(sessions []Session, live []Upstream, assignments []Assignment) Plan {
	p := newPlanner(sessions, live)
	current := make(map[protocol.UpstreamID]Assignment, len(assignments))
	for _, assignment := range assignments {
		current[assignment.Upstream] = assignment
		p.count(assignment)
	}
	var plan Plan
	for _, upstream := range p.sortedUpstreams() {
		assignment, known := current[upstream.ID]
		if known && assignment.Owner != NoSession {
			continue
		}
		if owner := p.choose(upstream); owner != nil {
			owner.load += upstream.Capacity
			plan.Assign.Targets = append(plan.Assign.Targets, Target{upstream.ID, owner.session.ID})
		}
	}
	for _, assignment := range assignments {
		p.consider(assignment, &plan)
	}
	return plan
}

func newPlanner(sessions []Session, live []Upstream) *planner {
	p := &planner{
		routers:  make(map[SessionID]*router, len(sessions)),
		sites:    map[protocol.DataCentre][]*router{},
		upstream: make(map[protocol.UpstreamID]Upstream, len(live)),
	}
	for _, session := range sessions {
		if session.Stopping {
			continue
		}
		r := &router{session: session}
		p.routers[session.ID] = r
		p.sites[session.DataCentre] = append(p.sites[session.DataCentre], r)
		p.all = append(p.all, r)
	}
	for _, upstream := range live {
		upstream.Capacity = max(upstream.Capacity, 1)
		p.upstream[upstream.ID] = upstream
	}
	p.setLimits()
	return p
}

// setLimits gives each router its share of the capacity near it and room for
// one upstream more. Without that room, a share that falls from 3.0 to 2.99
// upstreams when a router joins would move one from every router.
func (p *planner) setLimits() {
	demand := map[protocol.DataCentre]float64{}
	largest := map[protocol.DataCentre]float64{}
	for _, upstream := range p.sortedUpstreams() {
		site := upstream.DataCentre
		if len(p.sites[site]) == 0 {
			site = ""
		}
		demand[site] += upstream.Capacity
		largest[site] = max(largest[site], upstream.Capacity)
	}
	// Upstreams of data centres without routers are spread over all.
	roaming := demand[""] / max(p.weight(p.all), 1)
	for site, routers := range p.sites {
		share := demand[site]/max(p.weight(routers), 1) + roaming
		if site == "" {
			share = roaming
		}
		for _, r := range routers {
			fair := share * float64(r.session.Capacity)
			r.limit = max(overload*fair, fair+largest[site])
		}
	}
}

func (p *planner) weight(routers []*router) float64 {
	sum := 0.0
	for _, r := range routers {
		sum += float64(r.session.Capacity)
	}
	return sum
}

func (p *planner) sortedUpstreams() []Upstream {
	out := make([]Upstream, 0, len(p.upstream))
	for _, upstream := range p.upstream {
		out = append(out, upstream)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// count adds an owned upstream to its owner's load.
func (p *planner) count(assignment Assignment) {
	if assignment.Moving {
		p.moving++
		return
	}
	if owner := p.routers[assignment.Owner]; owner != nil {
		owner.load += p.upstream[assignment.Upstream].Capacity
	}
}

// choose returns the router that an unowned upstream goes to: the first in
// rendezvous order that has room, in the upstream's data centre if it has
// routers, or else the least loaded.
func (p *planner) choose(upstream Upstream) *router {
	candidates := p.sites[upstream.DataCentre]
	if len(candidates) == 0 {
		candidates = p.all
	}
	var best, least *router
	bestScore := math.Inf(-1)
	for _, r := range candidates {
		if least == nil || r.load/float64(r.session.Capacity) < least.load/float64(least.session.Capacity) {
			least = r
		}
		if r.load+upstream.Capacity > r.limit {
			continue
		}
		if s := score(upstream.ID, r.session); s > bestScore {
			best, bestScore = r, s
		}
	}
	if best != nil {
		return best
	}
	return least
}

// score is weighted rendezvous hashing by router, not by session, so that a
// router that restarts gets its own upstreams back when they are free.
func score(upstream protocol.UpstreamID, session Session) float64 {
	hash := xxhash.Sum64String(string(upstream) + "\x00" + string(session.Router))
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(session.Capacity) / math.Log(unit)
}

// consider asks for the release or removal of one assignment where needed.
func (p *planner) consider(assignment Assignment, plan *Plan) {
	upstream, live := p.upstream[assignment.Upstream]
	if assignment.Owner == NoSession {
		if !live {
			plan.Forget.Upstreams = append(plan.Forget.Upstreams, assignment.Upstream)
		}
		return
	}
	if assignment.Moving || !p.shouldMove(assignment, upstream, live) || p.moving >= maxMoves {
		return
	}
	p.moving++
	plan.Move.Upstreams = append(plan.Move.Upstreams, assignment.Upstream)
}

func (p *planner) shouldMove(assignment Assignment, upstream Upstream, live bool) bool {
	if !live {
		return true
	}
	owner := p.routers[assignment.Owner]
	if owner == nil {
		// Stopping: its router releases by itself. Closed: already free.
		return false
	}
	near := p.sites[upstream.DataCentre]
	if owner.session.DataCentre != upstream.DataCentre && len(near) > 0 {
		return true
	}
	if owner.load <= owner.limit || !p.roomElsewhere(owner, upstream) {
		return false
	}
	owner.load -= upstream.Capacity
	return true
}

// roomElsewhere reserves room with the least loaded router that could take
// the upstream. Without the reservation a move would be asked for again and
// again with no better place to go.
func (p *planner) roomElsewhere(owner *router, upstream Upstream) bool {
	candidates := p.sites[upstream.DataCentre]
	if len(candidates) == 0 {
		candidates = p.all
	}
	for _, r := range candidates {
		if r != owner && r.load+upstream.Capacity <= r.limit && r.load+upstream.Capacity < owner.load {
			r.load += upstream.Capacity
			return true
		}
	}
	return false
}

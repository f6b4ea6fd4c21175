package ownership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// maxShare is the multiple of its fair share of upstream capacity that a router
// may own before upstreams move away from it. Lower values move more upstreams
// at every join; 1.25 is the fleet's own bound on skew.
const maxShare = 1.25

// maxMoves bounds the moves in progress, so that a data centre that comes back
// does not move upstreams of the whole fleet at once.
const maxMoves = 32

// Upstream is what the planner knows of a live upstream.
type Upstream struct {
	ID         protocol.UpstreamID
	DataCentre protocol.DataCentre
	// Capacity is the announced share of requests relative to other upstreams.
	Capacity float64
}

// Plan holds the commands that the leader should propose now.
type Plan struct {
	Assign Assign
	Move   Move
	Forget Forget
}

// Empty reports whether there is nothing to propose.
func (p Plan) Empty() bool {
	return len(p.Assign.Targets) == 0 && len(p.Move.Upstreams) == 0 && len(p.Forget.Upstreams) == 0
}

// router is one session during planning. Its load is the capacity of the
// upstreams that it owns, and limit the load that it may have.
type router struct {
	session Session
	load    float64
	limit   float64
}

// planner holds the routers, loads and upstreams of one planning round.
type planner struct {
	routers      map[SessionID]*router
	byDataCentre map[protocol.DataCentre][]*router
	all          []*router
	moving       int
	upstreams    map[protocol.UpstreamID]Upstream
}

// MakePlan compares sessions, live upstreams and current assignments, and
// returns the assignments, moves and removals that are needed.
//
// It is meant for 330 routers and 790 upstreams with some 150 restarts a day.
// An upstream without an owner serves nobody, so MakePlan assigns unowned
// upstreams first. An owner in another data centre adds a hop to every request,
// so MakePlan prefers routers in the upstream's own data centre. A move leaves
// the upstream without an owner for a moment, and the old owner's queue does
// not move along, so an upstream stays where it is unless its owner stops, is
// in another data centre although the upstream's own has routers, or owns more
// than its share. Rendezvous hashing orders the candidates, so successive
// leaders choose the same owners. live must hold all upstreams to keep; an
// assignment of any other upstream is removed once nobody owns it.
func MakePlan(sessions []Session, live []Upstream, assignments []Assignment) Plan {
	p := newPlanner(sessions, live)
	current := make(map[protocol.UpstreamID]Assignment, len(assignments))
	for _, assignment := range assignments {
		current[assignment.Upstream] = assignment
		p.addAssignment(assignment)
	}
	var plan Plan
	for _, upstream := range p.sortedUpstreams() {
		assignment, known := current[upstream.ID]
		if known && assignment.Owner != NoSession {
			continue
		}
		if owner := p.chooseOwner(upstream); owner != nil {
			owner.load += upstream.Capacity
			plan.Assign.Targets = append(plan.Assign.Targets, Target{upstream.ID, owner.session.ID})
		}
	}
	for _, assignment := range assignments {
		p.planRelease(assignment, &plan)
	}
	return plan
}

func newPlanner(sessions []Session, live []Upstream) *planner {
	p := &planner{
		routers:      make(map[SessionID]*router, len(sessions)),
		byDataCentre: map[protocol.DataCentre][]*router{},
		upstreams:    make(map[protocol.UpstreamID]Upstream, len(live)),
	}
	for _, session := range sessions {
		if session.Stopping {
			continue
		}
		r := &router{session: session}
		p.routers[session.ID] = r
		p.byDataCentre[session.DataCentre] = append(p.byDataCentre[session.DataCentre], r)
		p.all = append(p.all, r)
	}
	for _, upstream := range live {
		upstream.Capacity = max(upstream.Capacity, 1)
		p.upstreams[upstream.ID] = upstream
	}
	p.setLimits()
	return p
}

// setLimits gives each router its share of the upstream capacity in its data
// centre, and spare capacity for one more upstream. Without the spare capacity,
// a share that falls from 3.0 to 2.99 upstreams when a router joins would move
// one upstream away from every router.
func (p *planner) setLimits() {
	demand := map[protocol.DataCentre]float64{}
	largest := map[protocol.DataCentre]float64{}
	for _, upstream := range p.sortedUpstreams() {
		dataCentre := upstream.DataCentre
		if len(p.byDataCentre[dataCentre]) == 0 {
			dataCentre = ""
		}
		demand[dataCentre] += upstream.Capacity
		largest[dataCentre] = max(largest[dataCentre], upstream.Capacity)
	}
	// Upstreams of data centres without routers are spread over all routers.
	remoteShare := demand[""] / max(p.weight(p.all), 1)
	for dataCentre, routers := range p.byDataCentre {
		share := demand[dataCentre]/max(p.weight(routers), 1) + remoteShare
		if dataCentre == "" {
			share = remoteShare
		}
		for _, r := range routers {
			fair := share * float64(r.session.Capacity)
			r.limit = max(maxShare*fair, fair+largest[dataCentre])
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
	out := make([]Upstream, 0, len(p.upstreams))
	for _, upstream := range p.upstreams {
		out = append(out, upstream)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// addAssignment adds an owned upstream to its owner's load, or counts it as
// moving.
func (p *planner) addAssignment(assignment Assignment) {
	if assignment.Moving {
		p.moving++
		return
	}
	if owner := p.routers[assignment.Owner]; owner != nil {
		owner.load += p.upstreams[assignment.Upstream].Capacity
	}
}

// chooseOwner returns the router that an unowned upstream goes to. The
// candidates are the routers of the upstream's data centre, or all routers if
// it has none. The first candidate in rendezvous order with spare capacity
// wins, or else the least loaded one.
func (p *planner) chooseOwner(upstream Upstream) *router {
	candidates := p.byDataCentre[upstream.DataCentre]
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

// score is the weight of a router for an upstream in weighted rendezvous
// hashing. It hashes the router, not the session, so that a router that restarts
// gets its own upstreams back when they are unowned.
func score(upstream protocol.UpstreamID, session Session) float64 {
	hash := xxhash.Sum64String(string(upstream) + "\x00" + string(session.Router))
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(session.Capacity) / math.Log(unit)
}

// planRelease adds the release or removal of one assignment to the plan where
// it is needed.
func (p *planner) planRelease(assignment Assignment, plan *Plan) {
	upstream, live := p.upstreams[assignment.Upstream]
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
		// The session is stopping, and its router releases the upstream on its
		// own, or the session is closed, and the upstream is already unowned.
		return false
	}
	local := p.byDataCentre[upstream.DataCentre]
	if owner.session.DataCentre != upstream.DataCentre && len(local) > 0 {
		return true
	}
	if owner.load <= owner.limit || !p.reserveElsewhere(owner, upstream) {
		return false
	}
	owner.load -= upstream.Capacity
	return true
}

// reserveElsewhere adds the upstream to the load of another router that has
// spare capacity for it and stays less loaded than the owner. It returns false
// if there is none. Without the reservation, the planner would ask again and
// again for a move that has no better router to go to.
func (p *planner) reserveElsewhere(owner *router, upstream Upstream) bool {
	candidates := p.byDataCentre[upstream.DataCentre]
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

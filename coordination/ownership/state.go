package ownership

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"endiveplank/protocol"
)

// SessionID identifies a router session. It is the log index of the command
// that opened the session, so IDs grow across the fleet and are never reused.
type SessionID uint64

// NoSession is the owner of an upstream that nobody owns.
const NoSession SessionID = 0

// Limits of one command and of the state, which bound what a faulty router or
// command can add. They are far above 1,000 routers and 790 upstreams.
const (
	maxSessions  = 10_000
	maxUpstreams = 50_000
	maxBatch     = 5_000
	maxNameBytes = 256
)

// Session is the period in which a router process holds its lease without
// interruption.
type Session struct {
	ID     SessionID         `msgpack:"i"`
	Router protocol.RouterID `msgpack:"r"`
	// Incarnation grows with each start of the router's process.
	Incarnation uint64              `msgpack:"n"`
	DataCentre  protocol.DataCentre `msgpack:"d"`
	// Address is the host:port for the fleet's internal messages.
	Address string `msgpack:"a"`
	// Capacity is the router's share of upstreams relative to other routers;
	// the usual value is 100.
	Capacity uint32 `msgpack:"c"`
	// Stopping means that the router gets no more upstreams.
	Stopping bool   `msgpack:"s,omitempty"`
	Revision uint64 `msgpack:"v"`
}

// Assignment says which session owns an upstream.
type Assignment struct {
	Upstream protocol.UpstreamID `msgpack:"u"`
	Owner    SessionID           `msgpack:"o"`
	// Fence is the log index of the command that assigned the upstream, so it
	// grows with every change of owner, even if the upstream was removed and
	// added again in between.
	Fence protocol.Fence `msgpack:"f"`
	// Moving asks the owner to release the upstream, so that it can go to
	// another router.
	Moving   bool   `msgpack:"m,omitempty"`
	Revision uint64 `msgpack:"v"`
}

// Open opens a session.
type Open struct {
	Router      protocol.RouterID   `msgpack:"r"`
	Incarnation uint64              `msgpack:"n"`
	DataCentre  protocol.DataCentre `msgpack:"d"`
	Address     string              `msgpack:"a"`
	Capacity    uint32              `msgpack:"c"`
}

// Stop marks a session as stopping at a planned stop.
type Stop struct {
	Session SessionID `msgpack:"s"`
}

// Close ends a session permanently and frees its upstreams. The leader proposes
// it only after the session's lease has expired by the leader's clock, or when
// its router asks for it after it stopped admitting requests.
type Close struct {
	Session SessionID `msgpack:"s"`
}

// Target is one upstream and the session that will own it.
type Target struct {
	Upstream protocol.UpstreamID `msgpack:"u"`
	Owner    SessionID           `msgpack:"o"`
}

// Assign gives unowned upstreams to sessions.
type Assign struct {
	Targets []Target `msgpack:"t"`
}

// Move asks the owners of upstreams to release them.
type Move struct {
	Upstreams []protocol.UpstreamID `msgpack:"u"`
}

// Held is one upstream that a session owns, and the fence under which it owns
// it.
type Held struct {
	Upstream protocol.UpstreamID `msgpack:"u"`
	Fence    protocol.Fence      `msgpack:"f"`
}

// Release frees upstreams. Their owner proposes it after it stopped admitting
// requests to them.
type Release struct {
	Session SessionID `msgpack:"s"`
	Held    []Held    `msgpack:"h"`
}

// Forget removes unowned upstreams that no longer exist.
type Forget struct {
	Upstreams []protocol.UpstreamID `msgpack:"u"`
}

// Outcome is the outcome of a command.
type Outcome string

const (
	// Done means that the command took effect, fully or for the upstreams
	// listed in the answer.
	Done Outcome = "done"
	// Superseded means that a later incarnation of the router has a session.
	Superseded Outcome = "superseded"
	// NoSuchSession means that the session is closed or never existed.
	NoSuchSession Outcome = "no-such-session"
	// Refused means that the command is malformed or beyond a limit.
	Refused Outcome = "refused"
)

// Answer is the result of a command.
type Answer struct {
	Outcome Outcome   `msgpack:"o"`
	Session SessionID `msgpack:"s,omitempty"`
	// Assignments are those that the command changed.
	Assignments []Assignment `msgpack:"a,omitempty"`
}

// Change names a session or an assignment that a command changed or removed.
type Change struct {
	Session  SessionID
	Upstream protocol.UpstreamID
	Removed  bool
}

// State holds sessions and assignments. It is not safe for concurrent use.
type State struct {
	sessions    map[SessionID]Session
	assignments map[protocol.UpstreamID]Assignment
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		sessions:    map[SessionID]Session{},
		assignments: map[protocol.UpstreamID]Assignment{},
	}
}

// Session returns an open session.
func (s *State) Session(id SessionID) (Session, bool) {
	session, ok := s.sessions[id]
	return session, ok
}

// Sessions returns the open sessions, sorted by ID.
func (s *State) Sessions() []Session {
	return slices.SortedFunc(maps.Values(s.sessions), func(a, b Session) int { return cmp.Compare(a.ID, b.ID) })
}

// Assignment returns the assignment of an upstream.
func (s *State) Assignment(upstream protocol.UpstreamID) (Assignment, bool) {
	assignment, ok := s.assignments[upstream]
	return assignment, ok
}

// Assignments returns all assignments, sorted by upstream.
func (s *State) Assignments() []Assignment {
	return slices.SortedFunc(maps.Values(s.assignments), func(a, b Assignment) int {
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
}

// Open opens a session. A repeated request for an incarnation that has a session
// returns that session; a request for an older incarnation than an open one is
// refused. An older open session of the router stays open until its lease
// expires: its process may be frozen rather than terminated.
func (s *State) Open(index uint64, open Open) (Answer, []Change) {
	if !open.valid() || len(s.sessions) >= maxSessions {
		return Answer{Outcome: Refused}, nil
	}
	if newest, ok := s.newest(open.Router); ok && newest.Incarnation >= open.Incarnation {
		outcome := Done
		if newest.Incarnation > open.Incarnation {
			outcome = Superseded
		}
		return Answer{Outcome: outcome, Session: newest.ID}, nil
	}
	id := SessionID(index)
	s.sessions[id] = Session{
		ID: id, Router: open.Router, Incarnation: open.Incarnation,
		DataCentre: open.DataCentre, Address: open.Address,
		Capacity: open.Capacity, Revision: index,
	}
	return Answer{Outcome: Done, Session: id}, []Change{{Session: id}}
}

// newest returns the router's open session of the highest incarnation.
func (s *State) newest(router protocol.RouterID) (newest Session, ok bool) {
	for _, session := range s.sessions {
		if session.Router == router && (!ok || session.Incarnation > newest.Incarnation) {
			newest, ok = session, true
		}
	}
	return newest, ok
}

func (o Open) valid() bool {
	return o.Router != "" && len(o.Router) <= maxNameBytes && len(o.DataCentre) <= maxNameBytes &&
		len(o.Address) <= maxNameBytes && o.Capacity > 0
}

// Stop marks a session as stopping.
func (s *State) Stop(index uint64, stop Stop) (Answer, []Change) {
	session, ok := s.sessions[stop.Session]
	if !ok {
		return Answer{Outcome: NoSuchSession}, nil
	}
	if session.Stopping {
		return Answer{Outcome: Done, Session: session.ID}, nil
	}
	session.Stopping = true
	session.Revision = index
	s.sessions[session.ID] = session
	return Answer{Outcome: Done, Session: session.ID}, []Change{{Session: session.ID}}
}

// Close ends a session and frees its upstreams.
func (s *State) Close(index uint64, command Close) (Answer, []Change) {
	if _, ok := s.sessions[command.Session]; !ok {
		return Answer{Outcome: NoSuchSession}, nil
	}
	delete(s.sessions, command.Session)
	answer := Answer{Outcome: Done, Session: command.Session}
	changes := []Change{{Session: command.Session, Removed: true}}
	for _, assignment := range s.Assignments() {
		if assignment.Owner == command.Session {
			s.free(index, assignment, &answer, &changes)
		}
	}
	return answer, changes
}

// Assign gives upstreams to sessions. It skips an upstream that has an owner,
// whatever view the leader had when it proposed the command: only a release or
// the end of the owner's session frees an upstream, so that two routers never
// count its load.
func (s *State) Assign(index uint64, assign Assign) (Answer, []Change) {
	if len(assign.Targets) > maxBatch {
		return Answer{Outcome: Refused}, nil
	}
	answer := Answer{Outcome: Done}
	var changes []Change
	for _, target := range assign.Targets {
		if !s.assignable(target) {
			continue
		}
		assignment := Assignment{
			Upstream: target.Upstream, Owner: target.Owner,
			Fence: protocol.Fence(index), Revision: index,
		}
		s.assignments[target.Upstream] = assignment
		answer.Assignments = append(answer.Assignments, assignment)
		changes = append(changes, Change{Upstream: target.Upstream})
	}
	return answer, changes
}

func (s *State) assignable(target Target) bool {
	if target.Upstream == "" || len(target.Upstream) > maxNameBytes {
		return false
	}
	owner, open := s.sessions[target.Owner]
	if !open || owner.Stopping {
		return false
	}
	current, known := s.assignments[target.Upstream]
	if !known {
		return len(s.assignments) < maxUpstreams
	}
	return current.Owner == NoSession
}

// Move asks owners to release upstreams.
func (s *State) Move(index uint64, move Move) (Answer, []Change) {
	if len(move.Upstreams) > maxBatch {
		return Answer{Outcome: Refused}, nil
	}
	answer := Answer{Outcome: Done}
	var changes []Change
	for _, upstream := range move.Upstreams {
		assignment, ok := s.assignments[upstream]
		if !ok || assignment.Owner == NoSession || assignment.Moving {
			continue
		}
		assignment.Moving = true
		assignment.Revision = index
		s.assignments[upstream] = assignment
		answer.Assignments = append(answer.Assignments, assignment)
		changes = append(changes, Change{Upstream: upstream})
	}
	return answer, changes
}

// Release frees upstreams of a session. The fence must be the current one: the
// upstream can be assigned to the same session again after a release, and a
// delayed duplicate of that release would then free it while its router admits
// requests.
func (s *State) Release(index uint64, release Release) (Answer, []Change) {
	if _, ok := s.sessions[release.Session]; !ok {
		return Answer{Outcome: NoSuchSession}, nil
	}
	if len(release.Held) > maxBatch {
		return Answer{Outcome: Refused}, nil
	}
	answer := Answer{Outcome: Done, Session: release.Session}
	var changes []Change
	for _, held := range release.Held {
		assignment, ok := s.assignments[held.Upstream]
		if ok && assignment.Owner == release.Session && assignment.Fence == held.Fence {
			s.free(index, assignment, &answer, &changes)
		}
	}
	return answer, changes
}

func (s *State) free(index uint64, assignment Assignment, answer *Answer, changes *[]Change) {
	assignment.Owner = NoSession
	assignment.Moving = false
	assignment.Revision = index
	s.assignments[assignment.Upstream] = assignment
	answer.Assignments = append(answer.Assignments, assignment)
	*changes = append(*changes, Change{Upstream: assignment.Upstream})
}

// Forget removes upstreams that nobody owns.
func (s *State) Forget(forget Forget) (Answer, []Change) {
	if len(forget.Upstreams) > maxBatch {
		return Answer{Outcome: Refused}, nil
	}
	var changes []Change
	for _, upstream := range forget.Upstreams {
		assignment, ok := s.assignments[upstream]
		if !ok || assignment.Owner != NoSession {
			continue
		}
		delete(s.assignments, upstream)
		changes = append(changes, Change{Upstream: upstream, Removed: true})
	}
	return Answer{Outcome: Done}, changes
}

// Snapshot is the state as a value in a fixed order.
type Snapshot struct {
	Sessions    []Session    `msgpack:"s,omitempty"`
	Assignments []Assignment `msgpack:"a,omitempty"`
}

// Snapshot returns the state. Equal states give equal snapshots.
func (s *State) Snapshot() Snapshot {
	return Snapshot{Sessions: s.Sessions(), Assignments: s.Assignments()}
}

// FromSnapshot returns the state that the snapshot holds.
func FromSnapshot(snapshot Snapshot) *State {
	state := NewState()
	for _, session := range snapshot.Sessions {
		state.sessions[session.ID] = session
	}
	for _, assignment := range snapshot.Assignments {
		state.assignments[assignment.Upstream] = assignment
	}
	return state
}

package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/lease"
	"endiveplank/coordination/node"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/registry"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/wire"
)

const (
	// memberTickInterval is how often the member checks whether a renewal is due.
	memberTickInterval = 100 * time.Millisecond
	// requestTimeout bounds one request to one voter. A voter that takes longer is frozen or
	// dead, and another one may lead by then.
	requestTimeout = time.Second
	// replyTimeout is how long a renewal may go unanswered before the router looks for the leader
	// among all voters. A reply takes milliseconds, and the lease leaves little more than a second
	// for the search.
	replyTimeout = 300 * time.Millisecond
	// retryPause is the wait between attempts, so that a router without a leader doesn't spin.
	retryPause = 100 * time.Millisecond
	// registerTimeout bounds one attempt to open a session, to change the registry or to release
	// upstreams. After a failure the next tick opens the session, and the upstream's next
	// announcement repeats the registration.
	registerTimeout = 2 * time.Second
	// journalTimeout bounds a journal command. It is how long an order waits for a new leader.
	journalTimeout = 10 * time.Second
	// routerCapacity is a router's share of the upstreams, relative to other routers.
	routerCapacity = 100
)

// member is a router's client of the replicated state: it keeps the session and its lease, follows
// the changes of the state, and proposes commands to the leader.
type member struct {
	identity ownership.Open
	// voters lists the voters and the spares: any of them may lead now or later.
	voters []protocol.RouterID
	// local is the state host of this process, nil on a process that keeps no state.
	local *stateHost
	send  func(to protocol.RouterID, kind wire.Kind, payload []byte, reliable bool) bool
	input func(node.Input)
	// setAddress sets the address at which the mesh reaches a router.
	setAddress func(protocol.RouterID, string)
	now        func() time.Duration
	log        zerolog.Logger
	quit       chan struct{}
	done       sync.WaitGroup

	mu             sync.Mutex
	holder         *lease.Holder
	leader         protocol.RouterID
	openingSession bool
	// unansweredSince is when the oldest unanswered renewal was sent, 0 if none is unanswered.
	// lastSearch is when all voters were last asked.
	unansweredSince  time.Duration
	lastSearch       time.Duration
	lastProposalID   uint64
	pendingProposals map[uint64]chan fleet.ProposeReply
	// lastRevision and lastLease are the view's revision and the lease that the node core received
	// last.
	lastRevision uint64
	lastLease    node.LeaseChanged
	stopping     bool

	// changing holds the upstreams whose registration or removal is in progress. It has a lock of
	// its own, because the node core asks for registrations while the member may be passing it a
	// view under mu.
	changingMu sync.Mutex
	changing   map[protocol.UpstreamID]bool
}

func (m *member) start() {
	m.holder = lease.NewHolder(lease.DefaultTiming(), fleetstate.NewView())
	m.startProposals()
	m.changing = map[protocol.UpstreamID]bool{}
	m.leader = m.voters[0]
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		ticker := time.NewTicker(memberTickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-m.quit:
				return
			case <-ticker.C:
				m.tick()
			}
		}
	}()
}

// tick opens a session if there is none, renews it when due, and looks for another leader when
// the present one doesn't answer.
func (m *member) tick() {
	m.mu.Lock()
	now := m.now()
	if m.holder.Session() == ownership.NoSession {
		m.openSession()
		m.mu.Unlock()
		return
	}
	if m.searchDue(now) {
		m.renewWithAllVoters(now)
		return
	}
	if !m.holder.RenewalDue(now) {
		m.mu.Unlock()
		return
	}
	renewal := m.newRenewal(now)
	leader := m.leader
	m.mu.Unlock()
	m.sendRenewal(leader, renewal)
}

// newRenewal returns the next renewal and records that its reply is awaited. The caller holds the
// lock.
func (m *member) newRenewal(now time.Duration) lease.Renewal {
	if m.unansweredSince == 0 {
		m.unansweredSince = now
	}
	return m.holder.NewRenewal(now)
}

// searchDue reports whether it is time to ask all voters. The caller holds the lock.
func (m *member) searchDue(now time.Duration) bool {
	return m.unansweredSince > 0 && now-m.unansweredSince > replyTimeout && now-m.lastSearch > replyTimeout
}

// renewWithAllVoters sends each voter a renewal of its own; the leader grants one of them. The
// caller holds the lock, and renewWithAllVoters unlocks it.
//
// It guards against the death of the leader: a router that asked one voter after the other would
// find the new leader only after its lease had expired.
func (m *member) renewWithAllVoters(now time.Duration) {
	m.lastSearch = now
	renewals := make([]lease.Renewal, 0, len(m.voters))
	for range m.voters {
		renewals = append(renewals, m.newRenewal(now))
	}
	m.mu.Unlock()
	for i, voter := range m.voters {
		m.sendRenewal(voter, renewals[i])
	}
}

// selectNextVoter assumes that the next voter of the list is the leader. The caller holds the lock.
func (m *member) selectNextVoter() {
	for i, voter := range m.voters {
		if voter == m.leader {
			m.leader = m.voters[(i+1)%len(m.voters)]
			return
		}
	}
	m.leader = m.voters[0]
}

// sendRenewal sends one renewal. A renewal to this process itself needs no connection.
func (m *member) sendRenewal(leader protocol.RouterID, renewal lease.Renewal) {
	if leader == m.identity.Router {
		if m.local != nil {
			m.handleRenewReply(leader, m.local.handleRenewal(renewal))
		}
		return
	}
	m.send(leader, wire.KindRenew, encodeArrays(renewal), false)
}

// openSession proposes a session. The caller holds the lock.
func (m *member) openSession() {
	if m.openingSession || m.stopping {
		return
	}
	m.openingSession = true
	command := fleetstate.Command{Open: &m.identity}
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		defer cancel()
		result, err := m.propose(ctx, command, false)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.openingSession = false
		if err != nil || result.Ownership == nil || result.Ownership.Outcome != ownership.Done {
			return
		}
		m.holder.StartSession(m.now(), result.Ownership.Session)
		m.log.Info().Uint64("session", uint64(result.Ownership.Session)).Msg("state: session opened")
		go m.tick()
	}()
}

// handleRenewReply handles the reply to a renewal.
func (m *member) handleRenewReply(from protocol.RouterID, reply lease.Reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reply.Outcome == lease.Granted {
		m.leader = from
		m.unansweredSince = 0
	}
	switch m.holder.HandleReply(m.now(), reply) {
	case lease.OpenSession:
		m.unansweredSince = 0
		m.log.Warn().Msg("state: leader has closed this router's session, opening another")
	}
	m.updateCoreLocked()
	due := m.holder.RenewalDue(m.now())
	if due {
		// The reply carried changes, which the next renewal acknowledges.
		go m.tick()
	}
}

// handlePush applies changes that the leader pushed between two renewals.
func (m *member) handlePush(push lease.Push) {
	m.mu.Lock()
	if push.Session == m.holder.Session() {
		m.holder.HandleDelta(m.now(), push.Delta)
	}
	m.updateCoreLocked()
	m.mu.Unlock()
	// Changes make a renewal due. It acknowledges them, and the operator whose edit they carry
	// waits for that acknowledgement.
	m.tick()
}

// updateCoreLocked passes the view and the lease to the node core, the view first: the core must
// not serve with a view that is older than the revision that the lease covers. The caller holds the
// lock.
func (m *member) updateCoreLocked() {
	view := m.holder.View()
	if view.Revision() > m.lastRevision {
		m.lastRevision = view.Revision()
		m.setRouterAddresses(view)
		m.input(node.ViewChanged{View: buildView(view, m.holder.Session())})
		m.releaseMoving(view)
	}
	granted := node.LeaseChanged{Session: m.holder.Session()}
	// A session's ID is the log index of the command that opened it, so an older view doesn't
	// contain the session yet.
	if m.holder.Session() != ownership.NoSession && view.Revision() >= uint64(m.holder.Session()) {
		granted.Until = m.holder.ExpiresAt()
	}
	if granted != m.lastLease {
		m.lastLease = granted
		m.input(granted)
	}
}

// releaseMoving releases the upstreams that the leader wants to move to other routers. The core
// has already stopped admitting requests to them, because it has the view that marks them as
// moving.
func (m *member) releaseMoving(view *fleetstate.View) {
	session := m.holder.Session()
	held := heldBy(view, session, func(assignment ownership.Assignment) bool { return assignment.Moving })
	if len(held) > 0 {
		m.proposeRelease(session, held)
	}
}

// heldBy lists the upstreams that a session owns and the filter accepts, in the form in which a
// release names them.
func heldBy(view *fleetstate.View, session ownership.SessionID, filter func(ownership.Assignment) bool) []ownership.Held {
	var held []ownership.Held
	view.Assignments(func(assignment ownership.Assignment) {
		if assignment.Owner == session && filter(assignment) {
			held = append(held, ownership.Held{Upstream: assignment.Upstream, Fence: assignment.Fence})
		}
	})
	return held
}

// setRouterAddresses passes the addresses of the fleet's routers to the mesh.
func (m *member) setRouterAddresses(view *fleetstate.View) {
	view.Sessions(func(session ownership.Session) {
		if session.Router != m.identity.Router {
			m.setAddress(session.Router, session.Address)
		}
	})
}

// Journal implements Proposer.
func (m *member) Journal(out node.Journal) {
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		ctx, cancel := context.WithTimeout(context.Background(), journalTimeout)
		defer cancel()
		command := out.Command
		command.At = time.Now().UnixMilli()
		result, err := m.propose(ctx, fleetstate.Command{Order: &command}, false)
		answer := node.JournalResult{Flow: out.Flow, Op: out.Command.Op, Failed: err != nil}
		if err == nil && result.Order != nil {
			answer.Result = *result.Order
		}
		m.input(answer)
	}()
}

// RegisterUpstream implements Proposer. Announcements repeat twice a second, so at most one
// registration or removal of an upstream is in progress at a time.
func (m *member) RegisterUpstream(out node.RegisterUpstream) {
	descriptor := registry.FromAnnouncement(out.Announcement)
	m.changeRegistry(descriptor.ID, fleetstate.Command{Register: &registry.Register{Descriptor: descriptor}})
}

// RemoveUpstream implements Proposer.
func (m *member) RemoveUpstream(out node.RemoveUpstream) {
	m.changeRegistry(out.Upstream, fleetstate.Command{Remove: &registry.Remove{
		ID: out.Upstream, Incarnation: out.Incarnation, Why: string(out.Reason),
	}})
}

func (m *member) changeRegistry(id protocol.UpstreamID, command fleetstate.Command) {
	m.changingMu.Lock()
	busy := m.changing[id]
	m.changing[id] = true
	m.changingMu.Unlock()
	if busy {
		return
	}
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		defer cancel()
		_, _ = m.propose(ctx, command, false)
		m.changingMu.Lock()
		defer m.changingMu.Unlock()
		delete(m.changing, id)
	}()
}

// proposeRelease proposes to release upstreams that the leader wants to move to other routers.
func (m *member) proposeRelease(session ownership.SessionID, held []ownership.Held) {
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		defer cancel()
		_, _ = m.propose(ctx, fleetstate.Command{Release: &ownership.Release{Session: session, Held: held}}, false)
	}()
}

// leave begins a planned stop: the session gets no more upstreams and releases those that it has,
// so that their next owners don't have to wait until the lease expires.
func (m *member) leave(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	session := m.holder.Session()
	owned := heldBy(m.holder.View(), session, func(ownership.Assignment) bool { return true })
	m.mu.Unlock()
	if session == ownership.NoSession {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, _ = m.propose(ctx, fleetstate.Command{Stop: &ownership.Stop{Session: session}}, false)
	_, _ = m.propose(ctx, fleetstate.Command{Release: &ownership.Release{Session: session, Held: owned}}, false)
}

// closeSession closes the session, so that nobody waits for its lease to expire.
func (m *member) closeSession(ctx context.Context) {
	m.mu.Lock()
	session := m.holder.Session()
	m.mu.Unlock()
	if session == ownership.NoSession {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, _ = m.propose(ctx, fleetstate.Command{Close: &ownership.Close{Session: session}}, false)
}

// currentLeader returns the voter that this process considers the leader.
func (m *member) currentLeader() protocol.RouterID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

// tryOtherVoter selects another voter in place of the one that did not answer or doesn't lead.
func (m *member) tryOtherVoter(asked protocol.RouterID) {
	m.updateLeader(asked, fleet.ProposeReply{}, false)
}

// read calls f with this router's view, under the lock.
func (m *member) read(f func(*fleetstate.View)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.holder.View())
}

// routers lists this router and all routers with an open session.
func (m *member) routers() []protocol.RouterID {
	found := []protocol.RouterID{m.identity.Router}
	m.read(func(view *fleetstate.View) {
		view.Sessions(func(session ownership.Session) {
			if !slices.Contains(found, session.Router) {
				found = append(found, session.Router)
			}
		})
	})
	return found
}

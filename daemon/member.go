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
	// memberTick is how often the member looks whether a renewal is due.
	memberTick = 100 * time.Millisecond
	// askTimeout bounds one question to one voter. A voter that takes longer
	// is frozen or gone, and another may lead.
	askTimeout = time.Second
	// replyPatience is how long a renewal may go unanswered before the router
	// looks for the leader among all voters. A reply takes milliseconds, and
	// the lease leaves little more than a second for the search.
	replyPatience = 300 * time.Millisecond
	// askPause keeps a router without a leader from spinning.
	askPause = 100 * time.Millisecond
	// registerTimeout bounds a registration; the next announcement repeats it.
	registerTimeout = 2 * time.Second
	// journalTimeout bounds a journal command. An order waits for a new
	// leader that long.
	journalTimeout = 10 * time.Second
	// ordinaryCapacity is a router's share of upstreams.
	ordinaryCapacity = 100
)

// member is a router's side of the replicated state: it keeps the session and
// its lease, follows the configuration, and proposes commands to whichever
// voter leads.
type member struct {
	identity ownership.Open
	voters   []protocol.RouterID
	// local is the state host of this process, or nil.
	local *stateHost
	send  func(to protocol.RouterID, kind wire.Kind, payload []byte, reliable bool) bool
	input func(node.Input)
	// learn tells where a router listens.
	learn func(protocol.RouterID, string)
	now   func() time.Duration
	log   zerolog.Logger
	quit  chan struct{}
	done  sync.WaitGroup

	mu      sync.Mutex
	holder  *lease.Holder
	leader  protocol.RouterID
	opening bool
	// awaiting is when the oldest unanswered renewal was sent, 0 for none, and
	// searched when all voters were last asked.
	awaiting time.Duration
	searched time.Duration
	asked    uint64
	asking   map[uint64]chan fleet.ProposeReply
	shown    uint64
	granted  node.LeaseChanged
	stopping bool

	// registering holds the upstreams whose registration is under way. Its
	// lock is its own, because the node core asks for registrations while the
	// member may be passing it a view.
	registeringMu sync.Mutex
	registering   map[protocol.UpstreamID]bool
}

func (m *member) start() {
	m.holder = lease.NewHolder(lease.DefaultTiming(), fleetstate.NewView())
	m.asking = map[uint64]chan fleet.ProposeReply{}
	m.registering = map[protocol.UpstreamID]bool{}
	m.leader = m.voters[0]
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		ticker := time.NewTicker(memberTick)
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

// tick opens a session, renews it, and looks for another leader when the
// present one is silent.
func (m *member) tick() {
	m.mu.Lock()
	now := m.now()
	if m.holder.Session() == ownership.NoSession {
		m.openSession()
		m.mu.Unlock()
		return
	}
	if m.leaderIsSilent(now) {
		m.search(now)
		return
	}
	if !m.holder.RenewalDue(now) {
		m.mu.Unlock()
		return
	}
	renewal := m.renewal(now)
	leader := m.leader
	m.mu.Unlock()
	m.renew(leader, renewal)
}

// renewal makes the next renewal and notes that an answer is awaited. The lock
// is held.
func (m *member) renewal(now time.Duration) lease.Renewal {
	if m.awaiting == 0 {
		m.awaiting = now
	}
	return m.holder.NewRenewal(now)
}

// leaderIsSilent says whether it is time to ask all voters. The lock is held.
func (m *member) leaderIsSilent(now time.Duration) bool {
	return m.awaiting > 0 && now-m.awaiting > replyPatience && now-m.searched > replyPatience
}

// search sends each voter a renewal of its own; the leader grants one. The
// lock is held and let go.
//
// Failure guarded: the leader dies, and a router that asks one voter after the
// other finds the new one only after its lease has run out.
func (m *member) search(now time.Duration) {
	m.searched = now
	renewals := make([]lease.Renewal, 0, len(m.voters))
	for range m.voters {
		renewals = append(renewals, m.renewal(now))
	}
	m.mu.Unlock()
	for i, voter := range m.voters {
		m.renew(voter, renewals[i])
	}
}

// nextVoter turns to another voter. The lock is held.
func (m *member) nextVoter() {
	for i, voter := range m.voters {
		if voter == m.leader {
			m.leader = m.voters[(i+1)%len(m.voters)]
			return
		}
	}
	m.leader = m.voters[0]
}

// renew sends one renewal, to this process itself without a connection.
func (m *member) renew(leader protocol.RouterID, renewal lease.Renewal) {
	if leader == m.identity.Router {
		if m.local != nil {
			m.onReply(leader, m.local.renew(renewal))
		}
		return
	}
	m.send(leader, wire.KindRenew, encodeArrays(renewal), false)
}

// openSession proposes a session. The lock is held.
func (m *member) openSession() {
	if m.opening || m.stopping {
		return
	}
	m.opening = true
	command := fleetstate.Command{Open: &m.identity}
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		defer cancel()
		result, err := m.propose(ctx, command, false)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.opening = false
		if err != nil || result.Ownership == nil || result.Ownership.Outcome != ownership.Done {
			return
		}
		m.holder.StartSession(m.now(), result.Ownership.Session)
		m.log.Info().Uint64("session", uint64(result.Ownership.Session)).Msg("state: session open")
		go m.tick()
	}()
}

// onReply takes the answer to a renewal.
func (m *member) onReply(from protocol.RouterID, reply lease.Reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reply.Outcome == lease.Granted {
		m.leader = from
		m.awaiting = 0
	}
	switch m.holder.HandleReply(m.now(), reply) {
	case lease.OpenSession:
		m.awaiting = 0
		m.log.Warn().Msg("state: session was closed, opening another")
	}
	m.showLocked()
	due := m.holder.RenewalDue(m.now())
	if due {
		// The reply brought changes; the next renewal acknowledges them.
		go m.tick()
	}
}

// onPush takes changes that a leader sent unasked.
func (m *member) onPush(push lease.Push) {
	m.mu.Lock()
	if push.Session == m.holder.Session() {
		m.holder.HandleDelta(m.now(), push.Delta)
	}
	m.showLocked()
	m.mu.Unlock()
	// The renewal that this makes due is the acknowledgement that an operator
	// waits for.
	m.tick()
}

// showLocked passes view and lease on to the node core, the view first: the
// core must not serve under a lease that covers a newer revision.
func (m *member) showLocked() {
	view := m.holder.View()
	if view.Revision() > m.shown {
		m.shown = view.Revision()
		m.learnRouters(view)
		m.input(node.ViewChanged{View: buildView(view, m.holder.Session())})
		m.releaseMoving(view)
	}
	granted := node.LeaseChanged{Session: m.holder.Session()}
	if m.holder.Session() != ownership.NoSession && view.Revision() >= uint64(m.holder.Session()) {
		granted.Until = m.holder.ExpiresAt()
	}
	if granted != m.granted {
		m.granted = granted
		m.input(granted)
	}
}

// releaseMoving gives up what the leader asked for. The core has stopped
// admitting to it by now, because it has the view that says so.
func (m *member) releaseMoving(view *fleetstate.View) {
	session := m.holder.Session()
	held := heldBy(view, session, func(assignment ownership.Assignment) bool { return assignment.Moving })
	if len(held) > 0 {
		m.release(session, held)
	}
}

// heldBy lists what a session owns, as a release names it.
func heldBy(view *fleetstate.View, session ownership.SessionID, wanted func(ownership.Assignment) bool) []ownership.Held {
	var held []ownership.Held
	view.Assignments(func(assignment ownership.Assignment) {
		if assignment.Owner == session && wanted(assignment) {
			held = append(held, ownership.Held{Upstream: assignment.Upstream, Fence: assignment.Fence})
		}
	})
	return held
}

// learnRouters tells the mesh where the fleet's routers listen.
func (m *member) learnRouters(view *fleetstate.View) {
	view.Sessions(func(session ownership.Session) {
		if session.Router != m.identity.Router {
			m.learn(session.Router, session.Address)
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

// RegisterUpstream implements Proposer. Announcements repeat twice a second,
// so one registration of an upstream is under way at a time.
func (m *member) RegisterUpstream(out node.RegisterUpstream) {
	descriptor := registry.FromAnnouncement(out.Announcement)
	m.registryChange(descriptor.ID, fleetstate.Command{Register: &registry.Register{Descriptor: descriptor}})
}

// RemoveUpstream implements Proposer.
func (m *member) RemoveUpstream(out node.RemoveUpstream) {
	m.registryChange(out.Upstream, fleetstate.Command{Remove: &registry.Remove{
		ID: out.Upstream, Incarnation: out.Incarnation, Why: string(out.Reason),
	}})
}

func (m *member) registryChange(id protocol.UpstreamID, command fleetstate.Command) {
	m.registeringMu.Lock()
	busy := m.registering[id]
	m.registering[id] = true
	m.registeringMu.Unlock()
	if busy {
		return
	}
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		defer cancel()
		_, _ = m.propose(ctx, command, false)
		m.registeringMu.Lock()
		defer m.registeringMu.Unlock()
		delete(m.registering, id)
	}()
}

// release proposes to give up upstreams that this router was asked for.
func (m *member) release(session ownership.SessionID, held []ownership.Held) {
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		defer cancel()
		_, _ = m.propose(ctx, fleetstate.Command{Release: &ownership.Release{Session: session, Held: held}}, false)
	}()
}

// leave begins a planned stop: the session gets no more upstreams and gives
// up those it has, so that their next owners needn't wait for a lease.
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

// closeSession ends the session, after which nobody waits for its lease.
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

// currentLeader returns the voter that is believed to lead.
func (m *member) currentLeader() protocol.RouterID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

// turnFrom looks for another leader than the one that did not answer.
func (m *member) turnFrom(asked protocol.RouterID) {
	m.afterRefusal(asked, fleet.ProposeReply{}, false)
}

// read runs f on this router's view.
func (m *member) read(f func(*fleetstate.View)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.holder.View())
}

// routers lists the routers with an open session, this one included.
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

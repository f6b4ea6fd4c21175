package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/explain"
	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/orders"
	"endiveplank/coordination/table"
	"endiveplank/protocol"
	"endiveplank/protocol/wire"
	"endiveplank/transport/admin"
)

// query is a query of an operator that one process sends to another. Exactly one of its pointers
// is set.
type query struct {
	ID      uint64              `msgpack:"i"`
	Events  *explain.Query      `msgpack:"e,omitempty"`
	History *admin.HistoryQuery `msgpack:"h,omitempty"`
	Undo    *string             `msgpack:"u,omitempty"`
	Order   *orders.Key         `msgpack:"o,omitempty"`
}

// queryReply is the reply to a query.
type queryReply struct {
	ID uint64 `msgpack:"i"`
	// NotLeader means that only the leader can answer the query and that this process doesn't lead.
	NotLeader bool                 `msgpack:"n,omitempty"`
	Events    []explain.Event      `msgpack:"e,omitempty"`
	History   []table.HistoryEntry `msgpack:"h,omitempty"`
	Edits     []table.Edit         `msgpack:"u,omitempty"`
	Order     *orders.Record       `msgpack:"o,omitempty"`
	Problem   string               `msgpack:"p,omitempty"`
}

// queryClient sends queries to other processes and matches the replies with them.
type queryClient struct {
	mu          sync.Mutex
	lastID      uint64
	pending     map[uint64]chan queryReply
	send        func(to protocol.RouterID, kind wire.Kind, payload []byte, reliable bool) bool
	self        protocol.RouterID
	answerLocal func(query) queryReply
}

// do sends a query to one process and waits for the reply. It returns false if the context ends
// first.
func (c *queryClient) do(ctx context.Context, to protocol.RouterID, q query) (queryReply, bool) {
	if to == c.self {
		return c.answerLocal(q), true
	}
	replies := make(chan queryReply, 1)
	c.mu.Lock()
	c.lastID++
	q.ID = c.lastID
	c.pending[q.ID] = replies
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, q.ID)
		c.mu.Unlock()
	}()
	c.send(to, wire.KindQuery, wire.Encode(q), true)
	select {
	case reply := <-replies:
		return reply, true
	case <-ctx.Done():
		return queryReply{}, false
	}
}

// handleReply passes a reply to the goroutine that waits for it, if any still does.
func (c *queryClient) handleReply(reply queryReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if replies := c.pending[reply.ID]; replies != nil {
		select {
		case replies <- reply:
		default:
		}
	}
}

// answerQuery answers a query from the events and the state of this process.
func (d *Daemon) answerQuery(q query) queryReply {
	reply := queryReply{ID: q.ID}
	if q.Events != nil {
		reply.Events = d.runner.findEvents(*q.Events)
		return reply
	}
	if d.host == nil {
		reply.NotLeader = true
		return reply
	}
	return d.host.answerQuery(q)
}

// answerQuery answers a query about the replicated state. It checks after the read that this
// process still leads; any other process may be behind.
func (h *stateHost) answerQuery(q query) queryReply {
	reply := queryReply{ID: q.ID}
	h.read(func(machine *fleetstate.Machine) {
		switch {
		case q.History != nil:
			reply.History = machine.Table().History(q.History.Sheet, q.History.Key, q.History.Limit)
		case q.Undo != nil:
			edits, err := machine.Table().UndoEdits(*q.Undo)
			reply.Edits = edits
			if err != nil {
				reply.Problem = err.Error()
			}
		case q.Order != nil:
			if record, found := machine.Orders().Lookup(*q.Order); found {
				reply.Order = &record
			}
		}
	})
	reply.NotLeader = !h.replicatedLog.HoldsLease(h.now())
	return reply
}

// queryLeader sends a query to the leader and retries with other voters until the context ends.
func (d *Daemon) queryLeader(ctx context.Context, q query) (queryReply, error) {
	for {
		leader := d.member.currentLeader()
		reply, answered := d.queries.do(ctx, leader, q)
		if answered && !reply.NotLeader {
			return reply, nil
		}
		d.member.tryOtherVoter(leader)
		select {
		case <-ctx.Done():
			return queryReply{}, eris.Errorf("no leader answered in time; the last voter asked was %q", leader)
		case <-time.After(retryPause):
		}
	}
}

// Events implements admin.Fleet. It queries all routers at once.
func (d *Daemon) Events(ctx context.Context, wanted explain.Query) admin.EventsAnswer {
	routers := d.member.routers()
	type part struct {
		router protocol.RouterID
		reply  queryReply
		ok     bool
	}
	parts := make(chan part, len(routers))
	for _, router := range routers {
		go func() {
			reply, ok := d.queries.do(ctx, router, query{Events: &wanted})
			parts <- part{router, reply, ok}
		}()
	}
	var answer admin.EventsAnswer
	for range routers {
		got := <-parts
		if !got.ok {
			answer.Silent = append(answer.Silent, got.router)
			continue
		}
		answer.Events = append(answer.Events, got.reply.Events...)
	}
	sortEvents(answer.Events)
	return answer
}

// History implements admin.Fleet.
func (d *Daemon) History(ctx context.Context, wanted admin.HistoryQuery) ([]table.HistoryEntry, error) {
	reply, err := d.queryLeader(ctx, query{History: &wanted})
	return reply.History, err
}

// Undo implements admin.Fleet.
func (d *Daemon) Undo(ctx context.Context, changeID string) ([]table.Edit, error) {
	reply, err := d.queryLeader(ctx, query{Undo: &changeID})
	if err == nil && reply.Problem != "" {
		return nil, eris.New(reply.Problem)
	}
	return reply.Edits, err
}

// Order implements admin.Fleet.
func (d *Daemon) Order(ctx context.Context, key orders.Key) (orders.Record, bool, error) {
	reply, err := d.queryLeader(ctx, query{Order: &key})
	if err != nil || reply.Order == nil {
		return orders.Record{}, false, err
	}
	return *reply.Order, true, nil
}

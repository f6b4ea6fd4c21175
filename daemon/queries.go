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

// query is a question to another process. One field is set.
type query struct {
	ID      uint64              `msgpack:"i"`
	Events  *explain.Query      `msgpack:"e,omitempty"`
	History *admin.HistoryQuery `msgpack:"h,omitempty"`
	Undo    *string             `msgpack:"u,omitempty"`
	Order   *orders.Key         `msgpack:"o,omitempty"`
}

// queryReply answers a query.
type queryReply struct {
	ID uint64 `msgpack:"i"`
	// NotLeader means that the question is for the leader, which this process
	// isn't.
	NotLeader bool                 `msgpack:"n,omitempty"`
	Events    []explain.Event      `msgpack:"e,omitempty"`
	History   []table.HistoryEntry `msgpack:"h,omitempty"`
	Edits     []table.Edit         `msgpack:"u,omitempty"`
	Order     *orders.Record       `msgpack:"o,omitempty"`
	Problem   string               `msgpack:"p,omitempty"`
}

// questions pairs replies with their queries.
type questions struct {
	mu    sync.Mutex
	last  uint64
	open  map[uint64]chan queryReply
	send  func(to protocol.RouterID, kind wire.Kind, payload []byte, reliable bool) bool
	self  protocol.RouterID
	local func(query) queryReply
}

// ask puts a question to one process.
func (q *questions) ask(ctx context.Context, to protocol.RouterID, question query) (queryReply, bool) {
	if to == q.self {
		return q.local(question), true
	}
	replies := make(chan queryReply, 1)
	q.mu.Lock()
	q.last++
	question.ID = q.last
	q.open[question.ID] = replies
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		delete(q.open, question.ID)
		q.mu.Unlock()
	}()
	q.send(to, wire.KindQuery, wire.Encode(question), true)
	select {
	case reply := <-replies:
		return reply, true
	case <-ctx.Done():
		return queryReply{}, false
	}
}

// answered hands a reply to whoever asked.
func (q *questions) answered(reply queryReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if replies := q.open[reply.ID]; replies != nil {
		select {
		case replies <- reply:
		default:
		}
	}
}

// answerQuery answers a question from what this process knows.
func (d *Daemon) answerQuery(question query) queryReply {
	reply := queryReply{ID: question.ID}
	if question.Events != nil {
		reply.Events = d.runner.find(*question.Events)
		return reply
	}
	if d.host == nil {
		reply.NotLeader = true
		return reply
	}
	return d.host.answer(question)
}

// answer answers a question about the replicated state. Only the leader does,
// after it has read: another process may be behind.
func (h *stateHost) answer(question query) queryReply {
	reply := queryReply{ID: question.ID}
	h.read(func(machine *fleetstate.Machine) {
		switch {
		case question.History != nil:
			reply.History = machine.Table().History(question.History.Sheet, question.History.Key, question.History.Limit)
		case question.Undo != nil:
			edits, err := machine.Table().UndoEdits(*question.Undo)
			reply.Edits = edits
			if err != nil {
				reply.Problem = err.Error()
			}
		case question.Order != nil:
			if record, found := machine.Orders().Lookup(*question.Order); found {
				reply.Order = &record
			}
		}
	})
	reply.NotLeader = !h.log.HoldsLease(h.now())
	return reply
}

// askLeader puts a question to whichever voter leads.
func (d *Daemon) askLeader(ctx context.Context, question query) (queryReply, error) {
	for {
		leader := d.member.currentLeader()
		reply, answered := d.questions.ask(ctx, leader, question)
		if answered && !reply.NotLeader {
			return reply, nil
		}
		d.member.turnFrom(leader)
		select {
		case <-ctx.Done():
			return queryReply{}, eris.New("no leader answered in time")
		case <-time.After(askPause):
		}
	}
}

// Events implements admin.Fleet: it asks all routers at once.
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
			reply, ok := d.questions.ask(ctx, router, query{Events: &wanted})
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
	reply, err := d.askLeader(ctx, query{History: &wanted})
	return reply.History, err
}

// Undo implements admin.Fleet.
func (d *Daemon) Undo(ctx context.Context, changeID string) ([]table.Edit, error) {
	reply, err := d.askLeader(ctx, query{Undo: &changeID})
	if err == nil && reply.Problem != "" {
		return nil, eris.New(reply.Problem)
	}
	return reply.Edits, err
}

// Order implements admin.Fleet.
func (d *Daemon) Order(ctx context.Context, key orders.Key) (orders.Record, bool, error) {
	reply, err := d.askLeader(ctx, query{Order: &key})
	if err != nil || reply.Order == nil {
		return orders.Record{}, false, err
	}
	return *reply.Order, true, nil
}

package node

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"endiveplank/coordination/orders"
	"endiveplank/coordination/reason"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
)

// leastLookGap is the least time between two looks into the journal for one
// order. Each look is a command, which every voter syncs.
const leastLookGap = 250 * time.Millisecond

// order is the part of an entry that follows an order through the journal.
// What may be done with it is decided by orders.Entry; this file only carries
// its wishes out.
type order struct {
	flow   *orders.Entry
	key    orders.Key
	digest orders.Digest
	// lookAt is when the journal is to be read again, or zero.
	lookAt time.Duration
	// body is the answer's body when the journal doesn't keep it.
	body []byte
}

// newOrder prepares the flow of a request that may run at most once.
func (n *Node) newOrder(e *entry) *order {
	in := e.request
	fresh := &order{
		key:    orders.Key{Customer: e.customer.ID, Key: in.IdempotencyKey},
		digest: orderDigest(in),
	}
	fresh.flow = orders.NewEntry(fresh.key, fresh.digest, e.deadline)
	return fresh
}

// orderDigest identifies method, path and body, so that a key that comes back
// with another request is noticed.
func orderDigest(in CallerRequest) orders.Digest {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(in.Method), []byte(in.Path), in.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	var digest orders.Digest
	copy(digest[:], hash.Sum(nil))
	return digest
}

func (n *Node) startOrder(now time.Duration, e *entry) {
	e.phase = phaseJournal
	n.stepOrder(now, e, orders.Start{})
}

// stepOrder gives the flow one input and carries out what it wants.
func (n *Node) stepOrder(now time.Duration, e *entry, in orders.Input) {
	for _, out := range e.order.flow.Step(now, in) {
		n.performOrder(now, e, out)
	}
	if e.order.flow.Ended() {
		n.remove(now, e)
	}
}

func (n *Node) performOrder(now time.Duration, e *entry, out orders.Output) {
	switch out := out.(type) {
	case orders.Propose:
		n.emit(Journal{Caller: JournalCaller{Attempt: fleet.Attempt{Request: e.request.ID}}, Command: out.Command})
	case orders.ReadRecord:
		e.phase = phaseJournal
		e.order.lookAt = now + max(out.After, leastLookGap)
	case orders.Dispatch:
		e.template.Order = &fleet.Order{Key: e.order.key.Key, Digest: e.order.digest, Attempt: out.Attempt}
		n.place(now, e)
	case orders.Reply:
		n.answerOrder(e, out)
	default:
		panic("node: order flow wants something the entry doesn't know")
	}
}

// answerOrder tells the caller what the journal holds.
func (n *Node) answerOrder(e *entry, reply orders.Reply) {
	n.emit(Event{Request: e.request.ID, Customer: e.customer.ID, What: "answered", Reason: reason.Code(reply.Reason), Detail: "order " + string(reply.Outcome)})
	if reply.Answer == nil {
		n.emit(orderError(e, reply))
		return
	}
	body := reply.Answer.Body
	if reply.Answer.Dropped {
		body = e.order.body
	}
	id := e.request.ID
	headers := []fleet.Header{{Name: "Content-Type", Value: reply.Answer.ContentType}}
	n.emit(AnswerHead{Request: id, Status: int(reply.Answer.Status), Headers: headers, Outcome: protocol.Ran})
	n.emit(AnswerChunk{Request: id, Data: body})
	n.emit(AnswerEnd{Request: id, Reason: reason.Completed})
}

// orderError is the answer to an order without one of the service.
func orderError(e *entry, reply orders.Reply) AnswerError {
	answer := AnswerError{Request: e.request.ID, Outcome: reply.Outcome}
	switch reply.Reason {
	case orders.ReasonDigestConflict:
		answer.Status, answer.Reason = 422, reason.IdempotencyKeyReused
		answer.Detail = "this Idempotency-Key came before with another request; this one was not run"
	case orders.ReasonFull:
		answer.Status, answer.Reason = 503, reason.JournalUnavailable
		answer.Detail = "the journal of orders is full; nothing was run"
		answer.RetryAfter = statusRetryAfter
	case orders.ReasonMalformed:
		answer.Status, answer.Reason = 400, reason.IdempotencyKeyMissing
		answer.Detail = "the Idempotency-Key must have 1 to 128 bytes"
	case orders.ReasonSealed:
		answer.Status, answer.Reason = 503, reason.OrderSealed
		answer.Detail = "the order was not run, and this key will never run; send it under a new key"
		answer.RetryAfter = statusRetryAfter
	default:
		answer.Status, answer.Reason = 504, reason.OrderUnknown
		answer.Detail = "the order may have run; ask again with the same key, which never runs it twice"
		answer.RetryAfter = statusRetryAfter
	}
	return answer
}

// orderIsDue says whether the flow wants a look or a tick.
func (n *Node) orderIsDue(now time.Duration, e *entry) bool {
	if e.phase == phaseLimit {
		return now >= e.wakeAt
	}
	if e.order.lookAt > 0 && now >= e.order.lookAt {
		return true
	}
	if e.checkIsDue(now) {
		return true
	}
	switch e.phase {
	case phaseWaiting:
		if now >= e.wakeAt {
			return true
		}
	case phaseAsking:
		if now-e.progress > ownerPatience {
			return true
		}
	}
	return now >= e.order.flow.NextTick()
}

// orderDue acts on an order whose time has come.
func (n *Node) orderDue(now time.Duration, e *entry) {
	if e.order.lookAt > 0 && now >= e.order.lookAt {
		e.order.lookAt = 0
		look := orders.Command{Op: orders.OpReserve, Key: e.order.key, Digest: e.order.digest}
		n.performOrder(now, e, orders.Propose{Command: look})
	}
	if now >= e.order.flow.NextTick() {
		n.stepOrder(now, e, orders.Tick{})
		return
	}
	if e.checkIsDue(now) && n.check(now, e) {
		n.orderOwnerLost(now, e)
		return
	}
	switch e.phase {
	case phaseWaiting:
		if now >= e.wakeAt {
			n.place(now, e)
		}
	case phaseAsking:
		if now-e.progress > ownerPatience {
			n.orderOwnerLost(now, e)
		}
	}
}

// orderOwnerLost lets the flow read from the journal what became of the
// attempt. Another may follow only if the journal says that nobody holds it.
func (n *Node) orderOwnerLost(now time.Duration, e *entry) {
	e.phase = phaseJournal
	n.stepOrder(now, e, orders.DispatcherLost{})
}

// orderRefused seals the order at once: the fleet has given up on it, and the
// caller must not be held back until its deadline.
func (n *Node) orderRefused(now time.Duration, e *entry) {
	e.phase = phaseJournal
	n.stepOrder(now, e, orders.OwnersBusy{})
}

// orderCallerGone lets the order go on without its caller, who may ask for the
// outcome by the key.
func (n *Node) orderCallerGone(now time.Duration, e *entry) {
	n.stepOrder(now, e, orders.CallerGone{})
}

// orderReport takes an owner's word on an attempt.
func (n *Node) orderReport(now time.Duration, in PeerOrderReport) {
	e := n.live(in.Report.Attempt)
	if e == nil || e.order == nil {
		return
	}
	e.phase = phaseJournal
	e.order.body = in.Report.Body
	n.stepOrder(now, e, orders.Reported{Report: orders.Report{Kind: in.Report.Kind, Record: in.Report.Record}})
}

// journalResult hands a result to the flow that asked.
func (n *Node) journalResult(now time.Duration, in JournalResult) {
	input := orders.Input(orders.Committed{Op: in.Op, Result: in.Result})
	if in.Failed {
		input = orders.ProposalUncertain{Op: in.Op}
	}
	if in.Caller.Owner {
		n.stepDispatchOf(now, in.Caller.Attempt, input)
		return
	}
	if e := n.entries[in.Caller.Attempt.Request]; e != nil && e.order != nil {
		n.stepOrder(now, e, input)
	}
}

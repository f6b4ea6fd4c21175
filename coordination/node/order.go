package node

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"endiveplank/coordination/orders"
	"endiveplank/coordination/reason"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
)

// minJournalReadInterval is the minimum time between two reads of the journal
// for one order. Each read is a command, which every voter syncs to disk.
const minJournalReadInterval = 250 * time.Millisecond

// entryOrder is the part of an entryRequest that follows an order through the
// journal. orders.Entry makes the decisions; this file only carries out its
// outputs.
type entryOrder struct {
	flow   *orders.Entry
	key    orders.Key
	digest orders.Digest
	// readJournalAt is when to read the journal again, or zero.
	readJournalAt time.Duration
	// body is the body of the answer if the journal doesn't keep it.
	body []byte
}

// newOrder prepares the flow of a request that may run at most once.
func (n *Node) newOrder(e *entryRequest) *entryOrder {
	in := e.request
	o := &entryOrder{
		key:    orders.Key{Customer: e.customer.ID, Key: in.IdempotencyKey},
		digest: orderDigest(in),
	}
	o.flow = orders.NewEntry(o.key, o.digest, e.deadline)
	return o
}

// orderDigest identifies method, path and body, so that the journal detects an
// idempotency key that is reused for another request.
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

func (n *Node) startOrder(now time.Duration, e *entryRequest) {
	e.phase = phaseJournal
	n.stepOrder(now, e, orders.Start{})
}

// stepOrder passes one input to the flow and carries out its outputs.
func (n *Node) stepOrder(now time.Duration, e *entryRequest, in orders.Input) {
	for _, out := range e.order.flow.Step(now, in) {
		n.performOrderOutput(now, e, out)
	}
	if e.order.flow.Ended() {
		n.removeEntry(now, e)
	}
}

func (n *Node) performOrderOutput(now time.Duration, e *entryRequest, out orders.Output) {
	switch out := out.(type) {
	case orders.Propose:
		n.emit(Journal{Flow: JournalFlow{Attempt: fleet.Attempt{Request: e.request.ID}}, Command: out.Command})
	case orders.ReadRecord:
		e.phase = phaseJournal
		e.order.readJournalAt = now + max(out.After, minJournalReadInterval)
	case orders.Dispatch:
		e.template.Order = &fleet.Order{Key: e.order.key.Key, Digest: e.order.digest, Attempt: out.Attempt}
		n.place(now, e)
	case orders.Reply:
		n.answerOrder(e, out)
	default:
		panic(fmt.Sprintf("node: the entry router does not handle outputs of type %T of orders.Entry", out))
	}
}

// answerOrder sends the caller the outcome that the journal holds.
func (n *Node) answerOrder(e *entryRequest, reply orders.Reply) {
	n.emit(Event{Request: e.request.ID, Customer: e.customer.ID, Kind: "answered", Reason: reason.Code(reply.Reason), Detail: "order " + string(reply.Outcome)})
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

// orderError is the error for an order without an answer of the service.
func orderError(e *entryRequest, reply orders.Reply) AnswerError {
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

// orderIsDue reports whether the entry router must act on an order now.
func (n *Node) orderIsDue(now time.Duration, e *entryRequest) bool {
	if e.phase == phaseAwaitingLimit {
		return now >= e.wakeAt
	}
	if e.order.readJournalAt > 0 && now >= e.order.readJournalAt {
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
	case phasePlacing:
		if now-e.lastProgress > ownerReplyTimeout {
			return true
		}
	}
	return now >= e.order.flow.NextTick()
}

// handleOrderDue acts on an order that is due.
func (n *Node) handleOrderDue(now time.Duration, e *entryRequest) {
	if e.order.readJournalAt > 0 && now >= e.order.readJournalAt {
		e.order.readJournalAt = 0
		read := orders.Command{Op: orders.OpReserve, Key: e.order.key, Digest: e.order.digest}
		n.performOrderOutput(now, e, orders.Propose{Command: read})
	}
	if now >= e.order.flow.NextTick() {
		n.stepOrder(now, e, orders.Tick{})
		return
	}
	if e.checkIsDue(now) && n.checkOwner(now, e) {
		n.orderOwnerLost(now, e)
		return
	}
	switch e.phase {
	case phaseWaiting:
		if now >= e.wakeAt {
			n.place(now, e)
		}
	case phasePlacing:
		if now-e.lastProgress > ownerReplyTimeout {
			n.orderOwnerLost(now, e)
		}
	}
}

// orderOwnerLost makes the flow read the outcome of the attempt from the
// journal. Another attempt may follow only if no owner holds the order in the
// journal.
func (n *Node) orderOwnerLost(now time.Duration, e *entryRequest) {
	e.phase = phaseJournal
	n.stepOrder(now, e, orders.DispatcherLost{})
}

// orderRefused makes the flow seal the order at once: an owner has refused it,
// and the caller should not have to wait until the deadline.
func (n *Node) orderRefused(now time.Duration, e *entryRequest) {
	e.phase = phaseJournal
	n.stepOrder(now, e, orders.OwnersBusy{})
}

// orderCallerGone continues the order without its caller, who can ask for the
// outcome with the same key later.
func (n *Node) orderCallerGone(now time.Duration, e *entryRequest) {
	n.stepOrder(now, e, orders.CallerGone{})
}

// handleOrderReport handles an owner's report on an attempt.
func (n *Node) handleOrderReport(now time.Duration, in PeerOrderReport) {
	e := n.currentEntry(in.Report.Attempt)
	if e == nil || e.order == nil {
		return
	}
	e.phase = phaseJournal
	e.order.body = in.Report.Body
	n.stepOrder(now, e, orders.Reported{Report: orders.Report{Kind: in.Report.Kind, Record: in.Report.Record}})
}

// handleJournalResult passes a result to the flow that proposed the command.
func (n *Node) handleJournalResult(now time.Duration, in JournalResult) {
	input := orders.Input(orders.Committed{Op: in.Op, Result: in.Result})
	if in.Failed {
		input = orders.ProposalUncertain{Op: in.Op}
	}
	if in.Flow.Owner {
		n.stepDispatchOf(now, in.Flow.Attempt, input)
		return
	}
	if e := n.entries[in.Flow.Attempt.Request]; e != nil && e.order != nil {
		n.stepOrder(now, e, input)
	}
}

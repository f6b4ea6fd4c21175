package node

import (
	"fmt"
	"time"

	"endiveplank/coordination/orders"
	"endiveplank/coordination/quarantine"
	"endiveplank/protocol/fleet"
)

const (
	// maxOrderAnswer is the maximum size, in bytes, of an answer to an order,
	// which the owner buffers. A longer answer is truncated and counts as
	// broken.
	maxOrderAnswer = 1 << 20
	// lateAnswerTimeout is how long after its deadline a call for an order may
	// continue, because its answer still settles the order.
	lateAnswerTimeout = 60 * time.Second
)

// dispatch is the owner's side of one attempt of an order. orders.Dispatcher
// makes the decisions; this file only carries out its outputs.
type dispatch struct {
	flow           *orders.Dispatcher
	status         int
	contentType    string
	body           []byte
	overflow       bool
	called         bool
	deadlinePassed bool
}

// startOrderDispatch starts the flow that asks the journal for the right to send
// the order.
func (n *Node) startOrderDispatch(now time.Duration, r *relay) {
	n.lastToken++
	ask := r.place.Order
	holder := orders.Holder{Session: n.session, Token: n.lastToken, Attempt: ask.Attempt}
	key := orders.Key{Customer: r.place.Customer, Key: ask.Key}
	r.dispatch = &dispatch{flow: orders.NewDispatcher(key, ask.Digest, holder, r.deadline)}
	n.stepDispatchOf(now, r.place.Attempt, orders.Start{})
}

// stepDispatchOf passes one input to the flow of an attempt, if this router
// still relays the attempt.
func (n *Node) stepDispatchOf(now time.Duration, attempt fleet.Attempt, in orders.Input) {
	target := n.running[attempt]
	if target == nil {
		return
	}
	if r := target.running[attempt]; r.dispatch != nil {
		n.stepDispatch(now, target, r, in)
	}
}

// stepDispatch passes one input to the flow and carries out its outputs.
func (n *Node) stepDispatch(now time.Duration, target *ownedUpstream, r *relay, in orders.Input) {
	for _, out := range r.dispatch.flow.Step(now, n.leaseValid(now), in) {
		n.performDispatchOutput(target, r, out)
	}
	if r.dispatch.flow.Ended() && n.running[r.place.Attempt] != nil {
		n.removeRelay(now, target, r, quarantine.Completed, 0, false)
		n.startQueued(now, target)
	}
}

func (n *Node) performDispatchOutput(target *ownedUpstream, r *relay, out orders.Output) {
	switch out := out.(type) {
	case orders.Propose:
		n.emit(Journal{Flow: JournalFlow{Attempt: r.place.Attempt, Owner: true}, Command: out.Command})
	case orders.Call:
		r.dispatch.called = true
		n.emit(CallUpstream{Attempt: r.place.Attempt, Address: target.config.Address, Place: r.place})
	case orders.Report:
		report := OrderReport{Attempt: r.place.Attempt, Kind: out.Kind, Record: out.Record}
		if out.Record != nil && out.Record.Answer != nil && out.Record.Answer.Dropped {
			report.Body = r.dispatch.body
		}
		n.send(r.entryRouter, report)
	default:
		panic(fmt.Sprintf("node: the owner does not handle outputs of type %T of orders.Dispatcher", out))
	}
}

// addChunk buffers a chunk of the answer.
func (d *dispatch) addChunk(chunk fleet.Chunk) {
	if chunk.Status != 0 {
		d.status = chunk.Status
		for _, header := range chunk.Headers {
			if header.Name == "Content-Type" {
				d.contentType = header.Value
			}
		}
	}
	if len(d.body)+len(chunk.Data) > maxOrderAnswer {
		d.overflow = true
		return
	}
	d.body = append(d.body, chunk.Data...)
}

// dispatchEnded passes the end of the call to the flow.
func (n *Node) dispatchEnded(now time.Duration, target *ownedUpstream, r *relay, in UpstreamEnd) {
	n.stepDispatch(now, target, r, r.dispatch.endInput(in))
}

// endInput returns the flow's input for the end of a call.
func (d *dispatch) endInput(in UpstreamEnd) orders.Input {
	switch {
	case !in.Sent:
		return orders.NotConnected{}
	case !in.Complete || d.overflow:
		return orders.ConnectionBroken{}
	}
	return orders.Answered{Answer: orders.Answer{Status: uint16(d.status), ContentType: d.contentType, Body: d.body}}
}

// tickDispatch tells the flow that the deadline has passed, and cancels a call
// that has not ended lateAnswerTimeout after the deadline.
func (n *Node) tickDispatch(now time.Duration, target *ownedUpstream, r *relay) {
	if now < r.deadline {
		return
	}
	if !r.dispatch.deadlinePassed {
		r.dispatch.deadlinePassed = true
		n.stepDispatch(now, target, r, orders.Tick{})
		return
	}
	if now > r.deadline+lateAnswerTimeout {
		n.emit(CancelUpstream{Attempt: r.place.Attempt})
		n.removeRelay(now, target, r, quarantine.Interrupted, 0, false)
	}
}

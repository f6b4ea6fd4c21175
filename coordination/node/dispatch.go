package node

import (
	"time"

	"endiveplank/coordination/orders"
	"endiveplank/coordination/quarantine"
	"endiveplank/protocol/fleet"
)

const (
	// maxOrderAnswer bounds the answer to an order that the owner holds, in
	// bytes. What is beyond it is cut off, and the answer counts as broken.
	maxOrderAnswer = 1 << 20
	// lateAnswer is how long past its deadline a call for an order may still
	// bring the answer that settles it.
	lateAnswer = 60 * time.Second
)

// dispatch is the owner's side of one attempt of an order. What may be done is
// decided by orders.Dispatcher; this file only carries its wishes out.
type dispatch struct {
	flow        *orders.Dispatcher
	status      int
	contentType string
	body        []byte
	overflow    bool
	called      bool
	ticked      bool
}

// startDispatch asks the journal for the right to send the order.
func (n *Node) startDispatch(now time.Duration, r *relay) {
	n.token++
	ask := r.place.Order
	holder := orders.Holder{Session: n.session, Token: n.token, Attempt: ask.Attempt}
	key := orders.Key{Customer: r.place.Customer, Key: ask.Key}
	r.dispatch = &dispatch{flow: orders.NewDispatcher(key, ask.Digest, holder, r.deadline)}
	n.stepDispatchOf(now, r.place.Attempt, orders.Start{})
}

// stepDispatchOf gives the flow of an attempt one input, if it is still here.
func (n *Node) stepDispatchOf(now time.Duration, attempt fleet.Attempt, in orders.Input) {
	target := n.running[attempt]
	if target == nil {
		return
	}
	if r := target.running[attempt]; r.dispatch != nil {
		n.stepDispatch(now, target, r, in)
	}
}

// stepDispatch gives the flow one input and carries out what it wants.
func (n *Node) stepDispatch(now time.Duration, target *owned, r *relay, in orders.Input) {
	for _, out := range r.dispatch.flow.Step(now, n.mayServe(now), in) {
		n.performDispatch(target, r, out)
	}
	if r.dispatch.flow.Ended() && n.running[r.place.Attempt] != nil {
		n.drop(now, target, r, quarantine.Completed, 0, false)
		n.startQueued(now, target)
	}
}

func (n *Node) performDispatch(target *owned, r *relay, out orders.Output) {
	switch out := out.(type) {
	case orders.Propose:
		n.emit(Journal{Caller: JournalCaller{Attempt: r.place.Attempt, Owner: true}, Command: out.Command})
	case orders.Call:
		r.dispatch.called = true
		n.emit(CallUpstream{Attempt: r.place.Attempt, Address: target.config.Address, Place: r.place})
	case orders.Report:
		report := OrderReport{Attempt: r.place.Attempt, Kind: out.Kind, Record: out.Record}
		if out.Record != nil && out.Record.Answer != nil && out.Record.Answer.Dropped {
			report.Body = r.dispatch.body
		}
		n.send(r.from, report)
	default:
		panic("node: order flow wants something the owner doesn't know")
	}
}

// take keeps a piece of the answer.
func (d *dispatch) take(chunk fleet.Chunk) {
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

// dispatchEnded tells the flow how the call ended.
func (n *Node) dispatchEnded(now time.Duration, target *owned, r *relay, in UpstreamEnd) {
	n.stepDispatch(now, target, r, r.dispatch.ending(in))
}

// ending is the flow's input for the end of a call.
func (d *dispatch) ending(in UpstreamEnd) orders.Input {
	switch {
	case !in.Sent:
		return orders.NotConnected{}
	case !in.Complete || d.overflow:
		return orders.ConnectionBroken{}
	}
	return orders.Answered{Answer: orders.Answer{Status: uint16(d.status), ContentType: d.contentType, Body: d.body}}
}

// tickDispatch passes the deadline on, and ends a call that stays silent long
// past it.
func (n *Node) tickDispatch(now time.Duration, target *owned, r *relay) {
	if now < r.deadline {
		return
	}
	if !r.dispatch.ticked {
		r.dispatch.ticked = true
		n.stepDispatch(now, target, r, orders.Tick{})
		return
	}
	if now > r.deadline+lateAnswer {
		n.emit(CancelUpstream{Attempt: r.place.Attempt})
		n.drop(now, target, r, quarantine.Interrupted, 0, false)
	}
}

package diskvm

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/control"
	"endiveplank/coordination/evacuation"
	"endiveplank/coordination/roster"
	"endiveplank/daemon/lateness"
	"endiveplank/protocol"
)

// callerCheckDelay is how long a new order waits for the news that its caller has gone. The
// end of a connection that was held up on the network arrives just behind the call.
const callerCheckDelay = 5 * time.Millisecond

// ErrUnknownDataCentre means that an order names a data centre that the settings don't
// list and in which no upstream is.
var ErrUnknownDataCentre = eris.New("diskvm: no such data centre")

// Evacuation is the state of a data centre that operators have evacuated or taken back.
type Evacuation struct {
	evacuation.Record
	// RoutersInForce is how many routers are known to have the newest order of any data
	// centre in force, and Routers how many this VM is in touch with.
	RoutersInForce, Routers int
}

// Evacuate evacuates a data centre or, if evacuate is false, takes it back. It returns once
// the order is on a quorum of disks. Repeating an order is harmless. It returns
// ErrUnknownDataCentre, or ErrUnavailable if the outcome is unknown; the order can't be
// accepted any more once another one for the same data centre was. Of two operators' orders
// at once, the one that is accepted later holds.
func (vm *VM) Evacuate(ctx context.Context, dataCentre protocol.DataCentre, evacuate bool) error {
	order, known := vm.newOrder(dataCentre, evacuate)
	if !known {
		vm.countOrder("unknown-data-centre")
		return ErrUnknownDataCentre
	}
	// The order's base was read before this check: what passes it was read while the
	// caller waited.
	if sleep(ctx, callerCheckDelay); ctx.Err() != nil || vm.stalls.stalled(lateness.BootTime()) {
		return vm.orderUnanswered(order, "caller-gone-or-stalled")
	}
	for ctx.Err() == nil {
		switch vm.tryOrder(ctx, order) {
		case evacuation.Accepted:
			vm.countOrder(evacuation.Accepted.String())
			vm.log.Info().Str("event", "evacuation-order").Str("data_centre", string(dataCentre)).Bool("evacuate", evacuate).
				Uint64("revision", order.Revision).Uint64("base", order.Base).Stringer("outcome", evacuation.Accepted).Send()
			return nil
		case evacuation.Overtaken:
			return vm.orderUnanswered(order, evacuation.Overtaken.String())
		}
		sleep(ctx, retryDelay)
	}
	return vm.orderUnanswered(order, "no-quorum")
}

// orderUnanswered logs that an order got no clear answer, and why.
func (vm *VM) orderUnanswered(order evacuation.Order, why string) error {
	vm.countOrder("unanswered")
	vm.log.Warn().Str("event", "evacuation-order-unanswered").Str("data_centre", string(order.DataCentre)).Bool("evacuate", order.Evacuate).
		Uint64("base", order.Base).Str("why", why).Str("leader", string(vm.currentLeader())).Send()
	return ErrUnavailable
}

// newOrder returns the order of an operator's call, made from the last order that this VM
// knows. False means that the data centre is unknown.
func (vm *VM) newOrder(dataCentre protocol.DataCentre, evacuate bool) (evacuation.Order, bool) {
	vm.publishEvacuations()
	vm.mu.Lock()
	defer vm.mu.Unlock()
	base := vm.publisher.EvacuationRevision(dataCentre)
	if base == 0 && !vm.knowsDataCentre(dataCentre) {
		return evacuation.Order{}, false
	}
	id := vm.incarnation + vm.orders.Add(1)
	return evacuation.NewOrder(id, dataCentre, evacuate, base, time.Now()), true
}

// knowsDataCentre reports whether a data centre may be evacuated: the settings list it, or
// list none, or an upstream is there. The lock is held.
func (vm *VM) knowsDataCentre(dataCentre protocol.DataCentre) bool {
	listed := vm.settings.DataCentres
	if dataCentre == "" {
		return false
	}
	if len(listed) == 0 || slices.Contains(listed, dataCentre) {
		return true
	}
	return slices.ContainsFunc(vm.roster.Entries(), func(e roster.Entry) bool { return e.DataCentre == dataCentre })
}

// tryOrder attempts an order once. It returns 0 if the outcome is unknown.
func (vm *VM) tryOrder(ctx context.Context, order evacuation.Order) evacuation.Outcome {
	leader := vm.currentLeader()
	if leader == "" {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	if leader == vm.options.Settings.Self() {
		return vm.orderAsLeader(ctx, order)
	}
	reply, err := call[control.EvacuateReply](ctx, &vm.calls, func(number uint64) {
		vm.fabric.Send(leader, control.Evacuate{Call: number, Order: order})
	})
	if err != nil {
		vm.log.Warn().Str("event", "leader-silent").Str("leader", string(leader)).Str("data_centre", string(order.DataCentre)).Err(err).Send()
		return 0
	}
	return reply.Outcome
}

// orderAsLeader commits an order.
func (vm *VM) orderAsLeader(ctx context.Context, order evacuation.Order) evacuation.Outcome {
	if outcome := vm.machine.DecideOrder(order); outcome != evacuation.Accepted {
		return outcome
	}
	member := vm.member.Load()
	if member == nil {
		return 0
	}
	result, err := member.Propose(ctx, order.Encode())
	if err != nil {
		vm.log.Warn().Str("event", "not-committed").Str("data_centre", string(order.DataCentre)).Err(err).Send()
		return 0
	}
	return evacuation.Outcome(result[0])
}

// handleEvacuate executes the order of another disk VM, which considers this VM the leader,
// and replies.
func (vm *VM) handleEvacuate(from protocol.RouterID, m control.Evacuate) {
	ctx, cancel := context.WithTimeout(context.Background(), leaderTimeout)
	defer cancel()
	vm.fabric.Send(from, control.EvacuateReply{Call: m.Call, Outcome: vm.orderAsLeader(ctx, m.Order)})
}

// publishEvacuations announces newer orders to the routers. It also takes over orders that
// other disk VMs know: after a snapshot from a disk VM of a build without evacuations, the
// state machine here may lack them.
func (vm *VM) publishEvacuations() {
	records, _ := vm.machine.Evacuations()
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.fabric.SendAll(vm.publisher.MergeEvacuations(vm.now(), append(records, vm.follower.Evacuations()...)))
	newest := vm.publisher.Evacuations()
	if slices.Equal(newest, vm.loggedEvacuations) {
		return
	}
	for _, record := range newest {
		if !slices.Contains(vm.loggedEvacuations, record) {
			vm.log.Info().Str("event", "evacuation-in-force").Str("data_centre", string(record.DataCentre)).Bool("evacuated", record.Evacuated).
				Uint64("revision", record.Revision).Time("since", record.SinceTime()).Send()
		}
	}
	vm.loggedEvacuations = newest
	vm.saveTable(vm.published)
}

// ReadEvacuations returns the state of all data centres that were ever evacuated. It
// returns ErrUnavailable if this VM can't confirm that it is the newest.
func (vm *VM) ReadEvacuations(ctx context.Context) ([]Evacuation, error) {
	for ctx.Err() == nil {
		state, confirmed := vm.newestState(ctx)
		if confirmed {
			return vm.withRouters(state.evacuations), nil
		}
		sleep(ctx, retryDelay)
	}
	return nil, ErrUnavailable
}

// withRouters adds to each record on how many routers the orders are in force.
func (vm *VM) withRouters(records []evacuation.Record) []Evacuation {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	inForce, all := vm.publisher.RoutersInForce(vm.now())
	var list []Evacuation
	for _, record := range records {
		list = append(list, Evacuation{Record: record, RoutersInForce: inForce, Routers: all})
	}
	return list
}

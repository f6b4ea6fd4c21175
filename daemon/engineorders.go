package daemon

import (
	"context"
	"slices"
	"time"

	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/node"
	"endiveplank/coordination/registry"
	"endiveplank/coordination/table"
	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/protocol/wire"
)

const (
	// ordersEvery is how often the issuer is stepped.
	ordersEvery = 200 * time.Millisecond
	// surveyPatience is how long a new issuer waits for engines to be read
	// before it plans without those that can't be.
	surveyPatience = 10 * time.Second
	// engineRoom is how many models an engine is taken to hold. Engines don't
	// announce it; one that can't hold a second refuses, and is left alone.
	engineRoom = 2
)

// orderOffice is the issuer of orders to engines on the consensus leader.
type orderOffice struct {
	issuer *engineorders.Issuer
	poller *engineorders.StatePoller
	term   engineorders.Term
	tookAt time.Duration
	// scalers follow the demand that meter counts, from the replicas that
	// each model had when it was first planned.
	scalers    map[protocol.Model]*engineorders.Scaler
	meter      *engineorders.Meter
	stepped    time.Duration
	committing bool
}

// orderEngines takes office as issuer and steps it. Its caller holds the
// leader's lease and the lock. Without a row in the models sheet and without
// open orders there is nothing to do, and no engine is asked anything.
func (h *stateHost) orderEngines(now time.Duration) {
	models := h.machine.Table().Rows(table.Models)
	if len(models) == 0 && len(h.machine.Engines().Open()) == 0 {
		return
	}
	if h.orders == nil {
		h.orders = &orderOffice{scalers: map[protocol.Model]*engineorders.Scaler{}, meter: engineorders.NewMeter(), committing: true}
		h.commitOrders(h.orders, []engineorders.Command{{StartTerm: &engineorders.StartTerm{Router: h.self}}})
	}
	o := h.orders
	if o.issuer == nil || now-o.stepped < ordersEvery {
		return
	}
	o.stepped = now
	sends, commands := o.issuer.Step(now, h.machine.Engines(), h.engineOwner)
	sends = append(sends, o.poller.Step(now, h.restingEngines(), h.engineOwner)...)
	for _, send := range sends {
		h.sendEngineRequest(send.To, send.Request)
	}
	if o.committing {
		return
	}
	if len(commands) == 0 {
		commands = h.planOrders(now, o, models)
	}
	if len(commands) > 0 {
		o.committing = true
		h.commitOrders(o, commands)
	}
}

// commitOrders commits the issuer's commands, one batch at a time, so that
// the next plan sees the effect of this one.
func (h *stateHost) commitOrders(o *orderOffice, commands []engineorders.Command) {
	h.task(func(ctx context.Context) {
		for _, command := range commands {
			encoded, err := h.log.Propose(ctx, fleetstate.Command{Engine: &command}.Encode())
			if err != nil {
				break
			}
			h.orderCommitted(o, command, encoded)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		o.committing = false
		if o.issuer == nil && h.orders == o {
			// The Take failed; the next tick begins anew.
			h.orders = nil
		}
	})
}

// orderCommitted notes what a committed command means for the office.
func (h *stateHost) orderCommitted(o *orderOffice, command engineorders.Command, encoded []byte) {
	result, err := fleetstate.DecodeResult(encoded)
	if err != nil || result.Engine == nil || result.Engine.Outcome != engineorders.Done {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	switch {
	case command.StartTerm != nil:
		o.term = result.Engine.Term
		o.tookAt = now
		o.issuer = engineorders.NewIssuer(engineorders.DefaultTiming(), o.term, now)
		o.poller = engineorders.NewStatePoller(o.term)
	case command.Confirm != nil:
		o.poller.Invalidate(command.Confirm.Upstream)
	case command.Abandon != nil:
		o.poller.Invalidate(command.Abandon.Upstream)
		h.zlog.Warn().Str("upstream", string(command.Abandon.Upstream)).
			Str("reason", string(command.Abandon.Resolution)).Msg("state: order to engine given up")
	}
}

// planOrders returns the orders to issue now.
func (h *stateHost) planOrders(now time.Duration, o *orderOffice, rows []table.Row) []engineorders.Command {
	engines, whole := h.plannedEngines(now, o)
	if !whole && now-o.tookAt < surveyPatience {
		return nil
	}
	var models []engineorders.Model
	for _, row := range rows {
		models = append(models, h.wanted(now, o, engines, table.ModelOf(row)))
	}
	limits := engineorders.Limits{
		Loads:     engineorders.MaxOpenLoads - h.machine.Engines().OpenLoads(),
		RollShare: engineorders.RollShare,
	}
	var commands []engineorders.Command
	for _, planned := range engineorders.MakePlan(engines, models, limits) {
		h.zlog.Info().Str("upstream", string(planned.Upstream)).Str("reason", planned.Why).Msg("state: order to engine")
		commands = append(commands, engineorders.Command{Issue: &engineorders.Issue{
			Term: o.term, Upstream: planned.Upstream, Intent: planned.Intent,
		}})
	}
	return commands
}

// wanted is what a model should have. While its demand isn't known it keeps
// what it has, within the bounds of its row.
func (h *stateHost) wanted(now time.Duration, o *orderOffice, engines []engineorders.Engine, row table.Model) engineorders.Model {
	serving := h.servingCapacities(engines, row.Name)
	scaler := o.scalers[row.Name]
	if scaler == nil {
		scaler = engineorders.NewScaler(engineorders.DefaultScalerConfig(), now, len(serving))
		o.scalers[row.Name] = scaler
	}
	limits := engineorders.ReplicaLimits{Min: row.MinReplicas, Max: row.MaxReplicas}
	demand, known := o.meter.Demand(now, row.Name, serving)
	if !known {
		return engineorders.Model{Name: row.Name, Version: row.Version, Replicas: scaler.ReplicasWithoutDemand(limits)}
	}
	return engineorders.Model{Name: row.Name, Version: row.Version, Replicas: scaler.Replicas(now, demand, limits)}
}

// servingCapacities gives the capacity of each engine that serves a model.
func (h *stateHost) servingCapacities(engines []engineorders.Engine, model protocol.Model) map[protocol.UpstreamID]float64 {
	serving := map[protocol.UpstreamID]float64{}
	for _, engine := range engines {
		descriptor, known := h.machine.Registry().Get(engine.ID)
		if known && engine.Serves(model) {
			serving[engine.ID] = descriptor.Capacity
		}
	}
	return serving
}

// plannedEngines lists the engines for a plan, and says whether all were read.
func (h *stateHost) plannedEngines(now time.Duration, o *orderOffice) ([]engineorders.Engine, bool) {
	var engines []engineorders.Engine
	whole := true
	for _, descriptor := range h.machine.Registry().All() {
		if descriptor.Kind != upstreamapi.KindEngine {
			continue
		}
		engine, read := h.plannedEngine(now, o, descriptor)
		whole = whole && read
		engines = append(engines, engine)
	}
	return engines, whole
}

// plannedEngine is one engine for a plan. One that wasn't read counts with
// what it announced and gets no order.
func (h *stateHost) plannedEngine(now time.Duration, o *orderOffice, descriptor registry.Descriptor) (engineorders.Engine, bool) {
	state := h.machine.Engines()
	order, open := state.OpenOf(descriptor.ID)
	engine := engineorders.Engine{ID: descriptor.ID, MaxModels: engineRoom, Open: order.Intent}
	held, read := o.poller.LastState(descriptor.ID)
	engine.Models = held.Models
	if !read {
		for _, model := range descriptor.Models {
			engine.Models = append(engine.Models, upstreamapi.LoadedModel{Model: model, Ready: true})
		}
	}
	engine.Busy = open || !read || h.drained(descriptor.ID) || !o.issuer.BackoffExpired(now, state, descriptor.ID)
	return engine, read
}

func (h *stateHost) drained(upstream protocol.UpstreamID) bool {
	row, found := h.machine.Table().Row(table.Upstreams, string(upstream))
	return found && table.UpstreamOf(row).Drain
}

// restingEngines lists the engines without an open order. The others are read
// with their orders.
func (h *stateHost) restingEngines() []protocol.UpstreamID {
	var ids []protocol.UpstreamID
	for _, descriptor := range h.machine.Registry().All() {
		if _, open := h.machine.Engines().OpenOf(descriptor.ID); !open && descriptor.Kind == upstreamapi.KindEngine {
			ids = append(ids, descriptor.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// engineOwner says who owns an engine now.
func (h *stateHost) engineOwner(upstream protocol.UpstreamID) (engineorders.Owner, bool) {
	descriptor, known := h.machine.Registry().Get(upstream)
	assignment, assigned := h.machine.Ownership().Assignment(upstream)
	if !known || !assigned || assignment.Moving {
		return engineorders.Owner{}, false
	}
	session, open := h.machine.Ownership().Session(assignment.Owner)
	if !open {
		return engineorders.Owner{}, false
	}
	return engineorders.Owner{Router: session.Router, OwnershipFence: assignment.Fence, ChecksFence: descriptor.ChecksFence}, true
}

// engineReply handles an owner's reply to a request.
func (h *stateHost) engineReply(reply engineorders.Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.orders == nil || h.orders.issuer == nil {
		return
	}
	h.orders.poller.HandleReply(reply)
	h.orders.meter.HandleReply(h.now(), reply)
	if order, open := h.machine.Engines().OpenOf(reply.Upstream); open {
		h.orders.issuer.HandleReply(h.now(), order, reply)
	}
}

// sendEngineRequest sends a request to an owner, which may be this router. It is
// called under the state host's lock, which the answer needs too.
func (d *Daemon) sendEngineRequest(to protocol.RouterID, request engineorders.Request) {
	if to == d.settings.RouterID {
		go d.runner.Input(node.PeerEngineRequest{From: to, Request: request})
		return
	}
	d.mesh.Send(to, wire.KindEngineRequest, wire.Encode(request), false)
}

// sendEngineReply sends an owner's answer to the issuer, which may be here. It
// is called under the runner's lock.
func (d *Daemon) sendEngineReply(out node.ReplyIssuer) {
	if out.To != d.settings.RouterID {
		d.mesh.Send(out.To, wire.KindEngineReply, wire.Encode(out.Reply), false)
		return
	}
	if d.host != nil {
		go d.host.engineReply(out.Reply)
	}
}

// handleEngineOrder handles a request as an owner, or an owner's answer as the
// issuer.
func (d *Daemon) handleEngineOrder(from protocol.RouterID, frame wire.Frame) error {
	if frame.Kind == wire.KindEngineRequest {
		var request engineorders.Request
		if err := wire.Decode(frame.Payload, &request); err != nil {
			return err
		}
		d.runner.Input(node.PeerEngineRequest{From: from, Request: request})
		return nil
	}
	var reply engineorders.Reply
	if err := wire.Decode(frame.Payload, &reply); err != nil {
		return err
	}
	if d.host != nil {
		d.host.engineReply(reply)
	}
	return nil
}

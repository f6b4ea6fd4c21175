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
	// engineOrderInterval is how often the issuer's Step runs.
	engineOrderInterval = 200 * time.Millisecond
	// stateReadTimeout is how long a new issuer waits until the state of every engine is read. After
	// that it makes plans in which engines whose state wasn't read get no order.
	stateReadTimeout = 10 * time.Second
	// modelsPerEngine is how many models the plan assumes that an engine can hold. Engines don't
	// announce the number; an engine that can't hold a second model refuses the order and gets no
	// other for a while.
	modelsPerEngine = 2
)

// orderIssuer issues orders to engines (load, unload a model) on the consensus leader.
type orderIssuer struct {
	// issuer and poller are nil until the StartTerm command is committed.
	issuer    *engineorders.Issuer
	poller    *engineorders.StatePoller
	term      engineorders.Term
	startedAt time.Duration
	// scalers compute the wanted replicas of each model from the demand that meter measures. A
	// scaler starts with the replicas that its model had when it was first planned.
	scalers    map[protocol.Model]*engineorders.Scaler
	meter      *engineorders.Meter
	lastStep   time.Duration
	committing bool
}

// stepEngineOrders makes this process the issuer if it isn't, and runs the issuer's periodic step.
// The caller holds the consensus leader's lease and h.mu. Without a row in the models sheet and
// without open orders there is nothing to do, and no engine receives a request.
func (h *stateHost) stepEngineOrders(now time.Duration) {
	models := h.machine.Table().Rows(table.Models)
	if len(models) == 0 && len(h.machine.Engines().Open()) == 0 {
		return
	}
	if h.engineOrders == nil {
		h.engineOrders = &orderIssuer{scalers: map[protocol.Model]*engineorders.Scaler{}, meter: engineorders.NewMeter(), committing: true}
		h.commitEngineCommands(h.engineOrders, []engineorders.Command{{StartTerm: &engineorders.StartTerm{Router: h.self}}})
	}
	o := h.engineOrders
	if o.issuer == nil || now-o.lastStep < engineOrderInterval {
		return
	}
	o.lastStep = now
	requests, commands := o.issuer.Step(now, h.machine.Engines(), h.engineOwner)
	requests = append(requests, o.poller.Step(now, h.enginesWithoutOrder(), h.engineOwner)...)
	for _, outgoing := range requests {
		h.sendEngineRequest(outgoing.To, outgoing.Request)
	}
	if o.committing {
		return
	}
	if len(commands) == 0 {
		commands = h.planEngineOrders(now, o, models)
	}
	if len(commands) > 0 {
		o.committing = true
		h.commitEngineCommands(o, commands)
	}
}

// commitEngineCommands commits the issuer's commands. At most one batch is in progress at a time,
// so that the next plan sees the effect of this one.
func (h *stateHost) commitEngineCommands(o *orderIssuer, commands []engineorders.Command) {
	h.runTask(func(ctx context.Context) {
		for _, command := range commands {
			encoded, err := h.replicatedLog.Propose(ctx, fleetstate.Command{Engine: &command}.Encode())
			if err != nil {
				break
			}
			h.handleCommitted(o, command, encoded)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		o.committing = false
		if o.issuer == nil && h.engineOrders == o {
			// The StartTerm command failed; the next tick proposes it again.
			h.engineOrders = nil
		}
	})
}

// handleCommitted updates the issuer after one of its commands was committed.
func (h *stateHost) handleCommitted(o *orderIssuer, command engineorders.Command, encoded []byte) {
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
		o.startedAt = now
		o.issuer = engineorders.NewIssuer(engineorders.DefaultTiming(), o.term, now)
		o.poller = engineorders.NewStatePoller(o.term)
	case command.Confirm != nil:
		o.poller.Invalidate(command.Confirm.Upstream)
	case command.Abandon != nil:
		o.poller.Invalidate(command.Abandon.Upstream)
		h.log.Warn().Str("upstream", string(command.Abandon.Upstream)).
			Str("reason", string(command.Abandon.Resolution)).Msg("state: order to engine abandoned")
	}
}

// planEngineOrders returns the commands that issue the orders due now.
func (h *stateHost) planEngineOrders(now time.Duration, o *orderIssuer, rows []table.Row) []engineorders.Command {
	engines, allRead := h.enginesForPlan(now, o)
	if !allRead && now-o.startedAt < stateReadTimeout {
		return nil
	}
	var models []engineorders.Model
	for _, row := range rows {
		models = append(models, h.desiredModel(now, o, engines, table.ModelOf(row)))
	}
	limits := engineorders.Limits{
		Loads:     engineorders.MaxOpenLoads - h.machine.Engines().OpenLoads(),
		RollShare: engineorders.RollShare,
	}
	var commands []engineorders.Command
	for _, planned := range engineorders.MakePlan(engines, models, limits) {
		h.log.Info().Str("upstream", string(planned.Upstream)).Str("reason", planned.Why).Msg("state: issuing order to engine")
		commands = append(commands, engineorders.Command{Issue: &engineorders.Issue{
			Term: o.term, Upstream: planned.Upstream, Intent: planned.Intent,
		}})
	}
	return commands
}

// desiredModel returns the version and the number of replicas that a model should have. While its
// demand isn't known, it keeps the replicas that it has, within the bounds of its row.
func (h *stateHost) desiredModel(now time.Duration, o *orderIssuer, engines []engineorders.Engine, row table.Model) engineorders.Model {
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

// servingCapacities returns the capacity of each engine that serves a model.
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

// enginesForPlan lists the engines for a plan and reports whether the state of all of them was
// read.
func (h *stateHost) enginesForPlan(now time.Duration, o *orderIssuer) ([]engineorders.Engine, bool) {
	var engines []engineorders.Engine
	allRead := true
	for _, descriptor := range h.machine.Registry().All() {
		if descriptor.Kind != upstreamapi.KindEngine {
			continue
		}
		engine, read := h.engineForPlan(now, o, descriptor)
		allRead = allRead && read
		engines = append(engines, engine)
	}
	return engines, allRead
}

// engineForPlan describes one engine for a plan and reports whether its state was read. An engine
// whose state wasn't read counts with the models that it announced, and gets no order.
func (h *stateHost) engineForPlan(now time.Duration, o *orderIssuer, descriptor registry.Descriptor) (engineorders.Engine, bool) {
	state := h.machine.Engines()
	order, open := state.OpenOf(descriptor.ID)
	engine := engineorders.Engine{ID: descriptor.ID, MaxModels: modelsPerEngine, Open: order.Intent}
	held, read := o.poller.LastState(descriptor.ID)
	engine.Models = held.Models
	if !read {
		for _, model := range descriptor.Models {
			engine.Models = append(engine.Models, upstreamapi.LoadedModel{Model: model, Ready: true})
		}
	}
	engine.Busy = open || !read || h.isDraining(descriptor.ID) || !o.issuer.BackoffExpired(now, state, descriptor.ID)
	return engine, read
}

// isDraining reports whether an operator drains the upstream.
func (h *stateHost) isDraining(upstream protocol.UpstreamID) bool {
	row, found := h.machine.Table().Row(table.Upstreams, string(upstream))
	return found && table.UpstreamOf(row).Drain
}

// enginesWithoutOrder lists the engines without an open order. The poller reads only these; the
// issuer reads the others with their orders.
func (h *stateHost) enginesWithoutOrder() []protocol.UpstreamID {
	var ids []protocol.UpstreamID
	for _, descriptor := range h.machine.Registry().All() {
		if _, open := h.machine.Engines().OpenOf(descriptor.ID); !open && descriptor.Kind == upstreamapi.KindEngine {
			ids = append(ids, descriptor.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// engineOwner returns the owner of an engine. It returns false if the engine has no owner or is
// moving to another one.
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

// handleEngineReply passes an owner's reply to the poller, the meter and the issuer.
func (h *stateHost) handleEngineReply(reply engineorders.Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.engineOrders == nil || h.engineOrders.issuer == nil {
		return
	}
	h.engineOrders.poller.HandleReply(reply)
	h.engineOrders.meter.HandleReply(h.now(), reply)
	if order, open := h.machine.Engines().OpenOf(reply.Upstream); open {
		h.engineOrders.issuer.HandleReply(h.now(), order, reply)
	}
}

// sendEngineRequest sends the issuer's request to an owner, which may be this router. The caller
// holds the state host's lock, which the reply needs too; a local request therefore runs on a
// goroutine of its own.
func (d *Daemon) sendEngineRequest(to protocol.RouterID, request engineorders.Request) {
	if to == d.settings.RouterID {
		go d.runner.Input(node.PeerEngineRequest{From: to, Request: request})
		return
	}
	d.mesh.Send(to, wire.KindEngineRequest, wire.Encode(request), false)
}

// sendEngineReply sends an owner's reply to the issuer, which may be in this process. The caller
// holds the runner's lock, so a local reply runs on a goroutine of its own.
func (d *Daemon) sendEngineReply(out node.ReplyIssuer) {
	if out.To != d.settings.RouterID {
		d.mesh.Send(out.To, wire.KindEngineReply, wire.Encode(out.Reply), false)
		return
	}
	if d.host != nil {
		go d.host.handleEngineReply(out.Reply)
	}
}

// handleEngineOrder handles a request that this router receives as an owner, or an owner's reply
// that it receives as the issuer.
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
		d.host.handleEngineReply(reply)
	}
	return nil
}

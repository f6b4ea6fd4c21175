// Package daemon runs one process of the relay fleet: a router, a voter or a spare. New builds
// a Daemon from the settings. Its parts are the node core and the runner that drives it, the
// mesh of connections to the other processes, the membership gossip, the HTTP listeners for
// callers, upstreams and operators, and, on voters and spares, the consensus replica with the
// replicated state.
//
// Start opens the listeners and begins to serve. Stop ends the process as planned: the router
// first reports that it is unready, then refuses new requests, releases the upstreams that it
// owns, finishes the requests in flight, and at last closes its listeners and connections.
//
// Failures that the package guards against:
//
//   - The leader dies. A router that asked one voter after the other would find the next
//     leader only after its own lease had expired, so it asks all voters at once.
//   - A router dies while callers of other routers wait for its upstreams. Gossip reports the
//     loss to those routers long before the lease expires.
//   - So many voters are lost for good that the others have no quorum. Recover makes one
//     survivor the only voter; it never creates an empty state at a mistyped path.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	randv2 "math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"endiveplank/coordination/consensus/repair"
	"endiveplank/coordination/explain"
	"endiveplank/coordination/node"
	"endiveplank/coordination/ownership"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/wire"
	"endiveplank/settings"
	"endiveplank/state/disk"
	"endiveplank/state/replica"
	"endiveplank/transport/admin"
	"endiveplank/transport/announce"
	"endiveplank/transport/callers"
	"endiveplank/transport/limited"
	"endiveplank/transport/peer"
	"endiveplank/transport/tracing"
	"endiveplank/transport/upstream"
)

// lostAfter is how long a peer may be unreachable before its requests are moved elsewhere.
const lostAfter = 2 * time.Second

// leadershipTransferWait is how long a stopping leader waits for its leadership transfer to take
// effect. Without the transfer the fleet would elect a leader only after an election timeout.
const leadershipTransferWait = 100 * time.Millisecond

// Shares of the process's file descriptors that the connections of each listener may have. Requests
// need another one each for their upstreams.
const (
	callerDescriptorShare   = 0.4
	upstreamDescriptorShare = 0.1
	adminDescriptorShare    = 0.05
	peerDescriptorShare     = 0.2
)

// Daemon is one running process.
type Daemon struct {
	// limits are what all clients together may take of the process.
	limits     *limited.Budgets
	settings   settings.Settings
	log        zerolog.Logger
	startedAt  time.Time
	counters   *counters
	runner     *runner
	mesh       *peer.Mesh
	member     *member
	gossip     *gossip
	host       *stateHost
	replica    *replica.Replica
	servers    []*http.Server
	queries    *queryClient
	tracer     *tracing.Tracer
	admin      *admin.Handler
	dataFolder *disk.OS
	quit       chan struct{}
}

// New builds a process from its settings. It opens the data folder, but no listener yet.
func New(s settings.Settings, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings:  s,
		log:       log.With().Str("router", string(s.RouterID)).Logger(),
		startedAt: time.Now(),
		counters:  newCounters(),
		limits:    limited.New(limited.Options{MemoryBytes: s.Memory.LimitBytes(), Processor: s.Processor.Share, Descriptors: s.Descriptors.Limit}),
		quit:      make(chan struct{}),
	}
	incarnation := uint64(time.Now().UnixMilli())
	if err := d.provisionMesh(incarnation); err != nil {
		return nil, err
	}
	tracer, err := tracing.New(s.Traces, s.RouterID, s.DataCentre)
	if err != nil {
		return nil, err
	}
	d.tracer = tracer
	d.admin = admin.New(d, s.Operators)
	d.provisionRunner()
	d.provisionGossip(incarnation)
	d.provisionMember(incarnation)
	if s.KeepsState() {
		if err := d.provisionState(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// now is the monotonic time that all parts share.
func (d *Daemon) now() time.Duration { return time.Since(d.startedAt) }

func (d *Daemon) provisionMesh(incarnation uint64) error {
	server, client, err := peer.LoadTLS(d.settings.TLS)
	if err != nil {
		return err
	}
	// The mesh detects a silent connection within two StallTimeouts. Half of timing.stall_ms keeps
	// that within timing.stall_ms.
	d.mesh = peer.New(peer.Options{
		Self:         d.settings.RouterID,
		DataCentre:   d.settings.DataCentre,
		Address:      d.settings.Listen.Peers,
		Incarnation:  incarnation,
		ServerTLS:    server,
		ClientTLS:    client,
		StallTimeout: d.settings.Timing.Stall() / 2,
		LostAfter:    lostAfter,
		MaxAccepted:  d.limits.Connections(peerDescriptorShare),
		Handler:      d,
		Log:          d.log,
	})
	for _, known := range d.settings.Peers {
		if known.RouterID != d.settings.RouterID {
			d.mesh.SetAddress(known.RouterID, known.Address)
		}
	}
	return nil
}

func (d *Daemon) provisionRunner() {
	d.runner = &runner{
		startedAt:  d.startedAt,
		mesh:       d.mesh,
		log:        d.log,
		self:       d.settings.RouterID,
		counters:   d.counters,
		answers:    map[protocol.RequestID]*callers.Answer{},
		events:     explain.NewRing(eventRingSize),
		ownerSpans: ownerSpans{tracer: d.tracer, open: map[fleet.Attempt]ownerSpan{}},
		core: node.New(node.Config{
			Self:            d.settings.RouterID,
			DataCentre:      d.settings.DataCentre,
			Multiple:        d.settings.Load.Multiple,
			ReuseWeight:     d.settings.Load.ReuseWeight,
			StallTimeout:    d.settings.Timing.Stall(),
			DefaultDeadline: time.Duration(d.settings.Callers.DeadlineMS) * time.Millisecond,
			Incarnation:     uint32(d.startedAt.Unix()),
			Random:          newRandom(),
		}),
	}
	d.runner.client = upstream.New(d.runner, d.tracer)
	d.runner.sendEngineReply = d.sendEngineReply
}

// newRandom returns a random source that is seeded from the operating system.
func newRandom() *randv2.Rand {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	return randv2.New(randv2.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

func (d *Daemon) provisionMember(incarnation uint64) {
	d.member = &member{
		identity: ownership.Open{
			Router:      d.settings.RouterID,
			Incarnation: incarnation,
			DataCentre:  d.settings.DataCentre,
			Address:     d.settings.Listen.Peers,
			Capacity:    routerCapacity,
		},
		voters:     votersAndSpares(d.settings),
		send:       d.mesh.Send,
		input:      d.runner.Input,
		setAddress: d.mesh.SetAddress,
		now:        d.now,
		log:        d.log,
		quit:       d.quit,
	}
	d.runner.proposer = d.member
	d.queries = &queryClient{
		pending:     map[uint64]chan queryReply{},
		send:        d.mesh.Send,
		self:        d.settings.RouterID,
		answerLocal: d.answerQuery,
	}
}

// provisionState opens the data folder and the consensus replica that is stored in it.
func (d *Daemon) provisionState() error {
	folder, err := disk.Open(d.settings.DataFolder)
	if err != nil {
		return eris.Wrap(err, "open data folder")
	}
	d.dataFolder = folder
	d.host = newStateHost(d.now, d.log, d.sendPush)
	d.host.self = d.settings.RouterID
	d.host.sendEngineRequest = d.sendEngineRequest
	d.replica, err = replica.New(replica.Config{
		Self:          d.settings.RouterID,
		Peers:         votersAndSpares(d.settings),
		InitialVoters: d.settings.Voters,
		Disk:          folder,
		Transport:     consensusTransport{d.mesh},
		Machine:       d.host,
		Random:        newRandom(),
		Now:           d.now,
		Repair:        repair.Settings{SilentAfter: time.Duration(d.settings.Timing.ReplaceVoterMS) * time.Millisecond},
		OnFailed: func(err error) {
			d.log.Error().Err(err).Msg("state: replica failed and stopped")
		},
	})
	if err != nil {
		return eris.Wrap(err, "open replicated state")
	}
	d.host.replicatedLog = replicaLog{d.replica}
	d.member.local = d.host
	return nil
}

// votersAndSpares lists all processes that may keep the replicated state.
func votersAndSpares(s settings.Settings) []protocol.RouterID {
	return append(append([]protocol.RouterID(nil), s.Voters...), s.Spares...)
}

// Start opens the listeners and begins to serve. If it returns an error, the process can't run.
func (d *Daemon) Start() error {
	if err := d.mesh.Listen(d.settings.Listen.Peers); err != nil {
		return err
	}
	if d.replica != nil {
		d.replica.Start()
		d.host.start()
	}
	d.member.start()
	go d.runner.tick(d.quit)
	go d.gossip.run(d.quit)
	return d.listenAll()
}

// listenAll opens the HTTP listeners.
func (d *Daemon) listenAll() error {
	prefix := string(d.settings.RouterID) + "-" + strconv.FormatInt(d.startedAt.UnixMilli(), 36)
	callersServer := callers.New(d.runner, d.settings.Callers, prefix, d.tracer).Server()
	limits := d.settings.Callers
	upstreamsServer := &http.Server{Handler: announce.New(d.runner), ReadTimeout: requestTimeout * 5, WriteTimeout: requestTimeout * 5, MaxHeaderBytes: limits.MaxHeaderBytes}
	adminServer := &http.Server{Handler: d.admin, ReadTimeout: requestTimeout * 30, MaxHeaderBytes: limits.MaxHeaderBytes}
	for _, item := range []struct {
		address string
		server  *http.Server
		share   float64
	}{
		{d.settings.Listen.Callers, callersServer, callerDescriptorShare},
		{d.settings.Listen.Upstreams, upstreamsServer, upstreamDescriptorShare},
		{d.settings.Listen.Admin, adminServer, adminDescriptorShare},
	} {
		if err := d.listen(item.address, item.server, item.share); err != nil {
			return err
		}
	}
	d.log.Info().Str("callers", d.settings.Listen.Callers).Msg("daemon: listening")
	return nil
}

// listen listens at an address, whose connections may have a share of the file descriptors, and
// serves it in the background.
func (d *Daemon) listen(address string, server *http.Server, share float64) error {
	listener, err := limited.Open(address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	d.servers = append(d.servers, server)
	bounded := d.limits.Listen(listener, server, share)
	go func() {
		if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error().Err(err).Msg("daemon: listener failed")
		}
	}()
	return nil
}

// Stop ends the process as planned. It returns false if ctx ended while requests were still in
// flight; these were cut off.
func (d *Daemon) Stop(ctx context.Context) bool {
	d.log.Info().Msg("daemon: draining")
	d.runner.Input(node.Drain{})
	// The platform's load balancer needs a moment to see that this router is unready and to send
	// new callers elsewhere. Until then the router serves them.
	sleep(ctx, d.settings.Timing.Unready())
	d.runner.Input(node.Drain{Refuse: true})
	d.member.leave(ctx)
	finished := d.awaitIdle(ctx)
	d.member.closeSession(ctx)
	d.gossip.leave()
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.mesh.Flush(requestTimeout)
	close(d.quit)
	d.member.done.Wait()
	if d.replica != nil {
		d.host.stop()
		transferCtx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		_ = d.replica.TransferLeadership(transferCtx)
		cancel()
		sleep(context.Background(), leadershipTransferWait)
		d.replica.Stop()
		_ = d.dataFolder.Close()
	}
	d.mesh.Close()
	d.closeTracer()
	d.log.Info().Bool("whole", finished).Msg("daemon: stopped")
	return finished
}

// closeTracer exports the last spans. It has a timeout of its own, because the context of Stop may
// have ended by then.
func (d *Daemon) closeTracer() {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if err := d.tracer.Close(ctx); err != nil {
		d.log.Warn().Err(err).Msg("daemon: last spans not exported")
	}
}

// sleep waits for the duration, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// abort ends all parts at once, as a crash would. Only tests use it.
func (d *Daemon) abort() {
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.mesh.Close()
	close(d.quit)
	if d.replica != nil {
		d.replica.Stop()
		d.host.stop()
	}
}

// awaitIdle waits until no request is in flight. It returns false if the context ends first.
func (d *Daemon) awaitIdle(ctx context.Context) bool {
	for {
		entries, relayed := d.runner.inFlight()
		if entries == 0 && relayed == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			d.log.Error().Int("requests", entries).Int("relayed", relayed).Msg("daemon: stop timeout reached, requests in flight cut off")
			return false
		case <-time.After(node.TickInterval):
		}
	}
}

// HandleFrame implements peer.Handler.
func (d *Daemon) HandleFrame(from protocol.RouterID, frame wire.Frame) {
	if err := d.dispatchFrame(from, frame); err != nil {
		d.log.Warn().Err(err).Str("peer", string(from)).Msg("daemon: frame dropped")
	}
}

// HandlePeerLost implements peer.Handler.
func (d *Daemon) HandlePeerLost(lost protocol.RouterID) {
	d.log.Warn().Str("peer", string(lost)).Msg("daemon: peer lost")
	d.runner.Input(node.PeerLost{Peer: lost})
}

// Package daemon puts one endiveplankd process together from its parts and
// runs it: the node core with its runner, the mesh to the other processes, the
// listeners for callers, upstreams and operators, and on VMs with a disk the
// consensus member with the replicated state.
//
// Each part has a lifecycle of its own. New provisions them all and returns
// the first error; Start begins; Stop ends the process as planned: unready
// first, then ownership handed over, then requests in flight finished, then
// listeners and connections closed.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	randv2 "math/rand/v2"
	"net"
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
	"endiveplank/transport/peer"
	"endiveplank/transport/tracing"
	"endiveplank/transport/upstream"
)

// lostAfter is how long a peer may be unreachable before its work is moved.
const lostAfter = 2 * time.Second

// handOverTime is what a leader that stops as planned needs to pass its office
// on. Without it the fleet would elect one after an election timeout.
const handOverTime = 100 * time.Millisecond

// Daemon is one running process.
type Daemon struct {
	settings  settings.Settings
	log       zerolog.Logger
	epoch     time.Time
	counters  *counters
	runner    *runner
	mesh      *peer.Mesh
	member    *member
	gossip    *gossip
	host      *stateHost
	replica   *replica.Replica
	servers   []*http.Server
	questions *questions
	tracer    *tracing.Tracer
	admin     *admin.Handler
	folder    *disk.OS
	quit      chan struct{}
}

// New provisions a process. It opens the data folder and listens nowhere yet.
func New(s settings.Settings, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		log:      log.With().Str("router", string(s.RouterID)).Logger(),
		epoch:    time.Now(),
		counters: newCounters(),
		quit:     make(chan struct{}),
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
func (d *Daemon) now() time.Duration { return time.Since(d.epoch) }

func (d *Daemon) provisionMesh(incarnation uint64) error {
	server, client, err := peer.LoadTLS(d.settings.TLS)
	if err != nil {
		return err
	}
	d.mesh = peer.New(peer.Options{
		Self:         d.settings.RouterID,
		DataCentre:   d.settings.DataCentre,
		Address:      d.settings.Listen.Peers,
		Incarnation:  incarnation,
		ServerTLS:    server,
		ClientTLS:    client,
		StallTimeout: d.settings.Timing.Stall() / 2,
		LostAfter:    lostAfter,
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
		epoch:    d.epoch,
		mesh:     d.mesh,
		log:      d.log,
		self:     d.settings.RouterID,
		counters: d.counters,
		answers:  map[protocol.RequestID]*callers.Answer{},
		events:   explain.NewRing(eventRingSize),
		hops:     hops{tracer: d.tracer, open: map[fleet.Attempt]hop{}},
		core: node.New(node.Config{
			Self:            d.settings.RouterID,
			DataCentre:      d.settings.DataCentre,
			Multiple:        d.settings.Load.Multiple,
			ReuseWeight:     d.settings.Load.ReuseWeight,
			StallTimeout:    d.settings.Timing.Stall(),
			DefaultDeadline: time.Duration(d.settings.Callers.DeadlineMS) * time.Millisecond,
			Incarnation:     uint32(d.epoch.Unix()),
			Random:          newRandom(),
		}),
	}
	d.runner.client = upstream.New(d.runner, d.tracer)
	d.runner.replyIssuer = d.sendEngineReply
}

// newRandom returns a random source with a seed of its own.
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
			Capacity:    ordinaryCapacity,
		},
		voters: stateKeepers(d.settings),
		send:   d.mesh.Send,
		input:  d.runner.Input,
		learn:  d.mesh.SetAddress,
		now:    d.now,
		log:    d.log,
		quit:   d.quit,
	}
	d.runner.proposer = d.member
	d.questions = &questions{
		open:  map[uint64]chan queryReply{},
		send:  d.mesh.Send,
		self:  d.settings.RouterID,
		local: d.answerQuery,
	}
}

// provisionState opens the data folder and the consensus member in it.
func (d *Daemon) provisionState() error {
	folder, err := disk.Open(d.settings.DataFolder)
	if err != nil {
		return eris.Wrap(err, "open data folder")
	}
	d.folder = folder
	d.host = newStateHost(d.now, d.log, d.sendPush)
	d.host.self = d.settings.RouterID
	d.host.sendEngineRequest = d.sendEngineRequest
	d.replica, err = replica.New(replica.Config{
		Self:          d.settings.RouterID,
		Peers:         stateKeepers(d.settings),
		InitialVoters: d.settings.Voters,
		Disk:          folder,
		Transport:     consensusTransport{d.mesh},
		Machine:       d.host,
		Random:        newRandom(),
		Now:           d.now,
		Repair:        repair.Settings{SilentAfter: time.Duration(d.settings.Timing.ReplaceVoterMS) * time.Millisecond},
		OnFailed: func(err error) {
			d.log.Error().Err(err).Msg("state: voter stopped")
		},
	})
	if err != nil {
		return eris.Wrap(err, "open replicated state")
	}
	d.host.log = replicaLog{d.replica}
	d.member.local = d.host
	return nil
}

// stateKeepers lists all processes that may keep state.
func stateKeepers(s settings.Settings) []protocol.RouterID {
	return append(append([]protocol.RouterID(nil), s.Voters...), s.Spares...)
}

// Start listens and begins to serve. On an error the process can't run.
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
	prefix := string(d.settings.RouterID) + "-" + strconv.FormatInt(d.epoch.UnixMilli(), 36)
	callersServer := callers.New(d.runner, d.settings.Callers, prefix, d.tracer).Server()
	upstreamsServer := &http.Server{Handler: announce.New(d.runner), ReadTimeout: askTimeout * 5}
	adminServer := &http.Server{Handler: d.admin, ReadTimeout: askTimeout * 30}
	for _, item := range []struct {
		address string
		server  *http.Server
	}{
		{d.settings.Listen.Callers, callersServer},
		{d.settings.Listen.Upstreams, upstreamsServer},
		{d.settings.Listen.Admin, adminServer},
	} {
		if err := d.listen(item.address, item.server); err != nil {
			return err
		}
	}
	d.log.Info().Str("callers", d.settings.Listen.Callers).Msg("daemon: listening")
	return nil
}

func (d *Daemon) listen(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error().Err(err).Msg("daemon: listener failed")
		}
	}()
	return nil
}

// Stop ends the process as planned. It returns false when requests in flight
// were cut because the patience of the settings ran out.
func (d *Daemon) Stop(ctx context.Context) bool {
	d.log.Info().Msg("daemon: draining")
	d.runner.Input(node.Drain{})
	// The platform's balancer needs a moment to see it and send new callers
	// elsewhere; until then they are served.
	sleep(ctx, d.settings.Timing.Unready())
	d.runner.Input(node.Drain{Refuse: true})
	d.member.leave(ctx)
	whole := d.awaitIdle(ctx)
	d.member.closeSession(ctx)
	d.gossip.leave()
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.mesh.Flush(askTimeout)
	close(d.quit)
	d.member.done.Wait()
	if d.replica != nil {
		d.host.stop()
		handOver, cancel := context.WithTimeout(context.Background(), askTimeout)
		_ = d.replica.TransferLeadership(handOver)
		cancel()
		sleep(context.Background(), handOverTime)
		d.replica.Stop()
		_ = d.folder.Close()
	}
	d.mesh.Close()
	d.closeTracer()
	d.log.Info().Bool("whole", whole).Msg("daemon: stopped")
	return whole
}

// closeTracer sends the last spans, also when the stop's own patience is over.
func (d *Daemon) closeTracer() {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	if err := d.tracer.Close(ctx); err != nil {
		d.log.Warn().Err(err).Msg("daemon: spans dropped")
	}
}

// sleep waits, at most until the context ends.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// abort ends the process's parts at once, as a crash would, for tests.
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

// awaitIdle waits until no request is in flight.
func (d *Daemon) awaitIdle(ctx context.Context) bool {
	for {
		entries, relayed := d.runner.inFlight()
		if entries == 0 && relayed == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			d.log.Error().Int("requests", entries).Int("relayed", relayed).Msg("daemon: requests cut")
			return false
		case <-time.After(node.TickInterval):
		}
	}
}

// HandleFrame implements peer.Handler.
func (d *Daemon) HandleFrame(from protocol.RouterID, frame wire.Frame) {
	if err := d.handle(from, frame); err != nil {
		d.log.Warn().Err(err).Str("peer", string(from)).Msg("daemon: frame dropped")
	}
}

// HandlePeerLost implements peer.Handler.
func (d *Daemon) HandlePeerLost(lost protocol.RouterID) {
	d.log.Warn().Str("peer", string(lost)).Msg("daemon: peer lost")
	d.runner.Input(node.PeerLost{Peer: lost})
}

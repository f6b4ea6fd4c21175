package router

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/builds"
	"endiveplank/coordination/control"
	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/coordination/routing"
	"endiveplank/daemon/fabric"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect/dialecttest"
	"endiveplank/settings/direct"
	"endiveplank/transport/forward"
)

// waitTimeout bounds waits for what usually takes some tens of milliseconds.
const waitTimeout = 20 * time.Second

// diskVM is the part of a disk VM that answers a router's watches.
type diskVM struct {
	address   protocol.RouterID
	fabric    *fabric.Fabric
	started   time.Time
	mu        sync.Mutex
	publisher *control.Publisher
	builds    *builds.Set
	// dropAnnouncements makes it ignore announcements, without an acknowledgement.
	dropAnnouncements bool
	// announceAddresses are where routers take announcements, by their last watches.
	announceAddresses map[protocol.RouterID]string
}

// handleAnnouncements acknowledges announcements that a router forwards.
func (vm *diskVM) handleAnnouncements(from protocol.RouterID, announced control.Announcements) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if !vm.dropAnnouncements {
		ack, _, _ := vm.publisher.HandleAnnouncements(time.Since(vm.started), from, announced)
		vm.fabric.SendAll([]control.Message{ack})
	}
}

// linkRate is the bandwidth of a disk VM's link, in bytes a second.
const linkRate = 2 << 20

// startDiskVM starts a disk VM that lists upstreams, u1 and so on, and has a table of version 7.
func startDiskVM(t *testing.T, address string, upstreams ...string) *diskVM {
	t.Helper()
	var entries []roster.Entry
	for i, upstream := range upstreams {
		id := protocol.UpstreamID(fmt.Sprint("u", i+1))
		entries = append(entries, roster.Entry{ID: id, Service: "s", Address: upstream, State: roster.Ready, Sequence: 1})
	}
	return startDiskVMListing(t, address, entries)
}

// startDiskVMListing starts a disk VM that lists the given upstreams and has a table of version 7.
func startDiskVMListing(t *testing.T, address string, entries []roster.Entry) *diskVM {
	t.Helper()
	vm := &diskVM{announceAddresses: map[protocol.RouterID]string{}, started: time.Now(), address: protocol.RouterID(address), builds: builds.NewSet()}
	vm.list(entries)
	vm.fabric = fabric.New(fabric.Options{
		Self: protocol.RouterID(address), Listen: address, Incarnation: 1, Receiver: vm, Log: zerolog.Nop(),
	})
	assert.NilError(t, vm.fabric.Listen())
	t.Cleanup(vm.fabric.Close)
	return vm
}

// list replaces the listed upstreams while no router watches. Builds that were listed before still count
// as lately listed.
func (vm *diskVM) list(entries []roster.Entry) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	known := roster.New(roster.DefaultSettings())
	for _, e := range entries {
		known.Merge(0, e)
		vm.builds.Restore(0, []builds.Pair{{Service: e.Service, Build: e.Build}})
	}
	vm.publisher = control.NewPublisher(known, linkRate)
	table := document.New(7, []byte("a table"))
	vm.publisher.SetDocument(0, table, document.MakeChange(nil, table))
	vm.publisher.SetDiskVMs([]protocol.RouterID{vm.address})
}

// Receive implements fabric.Receiver.
func (vm *diskVM) Receive(from protocol.RouterID, body any) {
	if announced, ok := body.(control.Announcements); ok {
		vm.handleAnnouncements(from, announced)
		return
	}
	if read, ok := body.(builds.Read); ok {
		vm.mu.Lock()
		defer vm.mu.Unlock()
		vm.fabric.Send(from, vm.builds.Reply(time.Since(vm.started), read))
		return
	}
	watch, ok := body.(control.Watch)
	if !ok {
		return
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	now := time.Since(vm.started)
	vm.announceAddresses[from] = watch.AnnounceAddress
	vm.fabric.SendAll(vm.publisher.HandleWatch(now, from, watch))
	vm.fabric.SendAll(vm.publisher.SendWaiting(now))
}

// parseTable returns a table with a route of plain requests and one of streams that may be
// resumed, whatever the body is.
func parseTable(version uint64, _ []byte) (*routing.Table, error) {
	return &routing.Table{
		Version:  version,
		Services: []routing.Service{{Name: "s"}},
		Limits:   routing.Limits{MaxBodyBytes: 1000},
		Routes: []routing.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Public: true, Timeout: 5 * time.Second, Objective: time.Second,
			MaxAttempts: 1, Split: []routing.Share{{Service: "s", Weight: 1}},
		}, {
			Name: "stream", Host: "h", PathPrefix: "/stream/", Public: true, Timeout: 5 * time.Second, Objective: time.Second,
			Stream: true, Resumable: true, MaxAttempts: 3, Split: []routing.Share{{Service: "s", Weight: 1}},
		}, {
			Name: "once", Host: "h", PathPrefix: "/once/", Public: true, Timeout: 5 * time.Second, Objective: time.Second,
			Stream: true, MaxAttempts: 1, Split: []routing.Share{{Service: "s", Weight: 1}},
		}},
	}, nil
}

// portsGiven holds the ports that freePort has returned.
var portsGiven sync.Map

// freePort returns a port that is free on the loopback addresses of a test's processes, another one
// each time, of those that the system doesn't use for outgoing connections: one of these could take
// it before a process listens at it. Other packages' tests use other ports.
func freePort(t *testing.T) int {
	t.Helper()
	const first, count = 20_000, 5_000
	for range 100 {
		port := first + rand.IntN(count)
		if _, given := portsGiven.LoadOrStore(port, true); given {
			continue
		}
		if isFree("127.0.0.1", port) && isFree("127.0.0.2", port) && isFree("127.0.0.3", port) && isFree("127.0.0.4", port) {
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

func isFree(ip string, port int) bool {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// rig is a router under test and its settings.
type rig struct {
	t        *testing.T
	router   *Router
	settings direct.Settings
}

// newRig starts a router whose disk VM isn't running yet. It returns the address at which
// the disk VM has to listen: another loopback address, since all processes listen for peers
// at the same port. unready is how long a stopping router still takes callers.
func newRig(t *testing.T, unready time.Duration) (*rig, string) {
	t.Helper()
	peers := freePort(t)
	r := startRig(t, "127.0.0.1", peers, func(options *Options) { options.Settings.Stop.UnreadyMS = float64(unready.Milliseconds()) })
	return r, fmt.Sprintf("127.0.0.2:%d", peers)
}

// startRig starts a router at a loopback address. All processes of a fleet listen for peers at
// the same port, and its disk VM at 127.0.0.2.
func startRig(t *testing.T, ip string, peers int, change func(*Options)) *rig {
	t.Helper()
	s := direct.Defaults()
	s.Role, s.Name, s.DataCentre = direct.RoleRouter, "r1", "dc1"
	s.Listen.Peers = fmt.Sprintf("%s:%d", ip, peers)
	s.Listen.Callers = fmt.Sprintf("%s:%d", ip, freePort(t))
	s.Listen.Readiness = fmt.Sprintf("%s:%d", ip, freePort(t))
	s.Seeds = []string{fmt.Sprintf("127.0.0.2:%d", freePort(t))}
	s.Stop.UnreadyMS, s.Stop.GraceMS = 0, 30_000
	// Routers send no retries before they have counted for a window.
	s.Retries.WindowMS = 100
	options := Options{
		Settings: s, Dialect: dialecttest.Plain{}, ParseTable: parseTable, Log: zerolog.Nop(), RequestLog: zerolog.Nop(),
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	change(&options)
	r, err := New(options)
	assert.NilError(t, err)
	return &rig{t: t, router: r, settings: options.Settings}
}

// ready asks the router whether it is ready, as the load balancer does.
func (r *rig) ready() bool {
	response, err := http.Get("http://" + r.settings.Listen.Readiness + "/")
	if err != nil {
		return false
	}
	assert.NilError(r.t, response.Body.Close())
	return response.StatusCode == http.StatusOK
}

// call sends a request and returns the answer's status and body.
func (r *rig) call() (int, string) {
	return r.callPath("/x")
}

// callPath sends a request to a path and returns the answer's status and body.
func (r *rig) callPath(path string) (int, string) {
	request, err := http.NewRequest("GET", "http://"+r.settings.Listen.Callers+path, nil)
	assert.NilError(r.t, err)
	request.Host = "h"
	request.Header.Set("T-Id", "7")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(r.t, err)
	return response.StatusCode, string(body)
}

// eventually waits until a condition holds and fails the test after waitTimeout.
func (r *rig) eventually(what string, holds func() bool) {
	r.t.Helper()
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	r.t.Fatalf("not within %s: %s", waitTimeout, what)
}

// startUpstream starts an upstream that sends to received for each request, and answers once
// release is closed.
func startUpstream(t *testing.T, release <-chan struct{}, received chan<- struct{}) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received <- struct{}{}
		<-release
		w.Header().Set("T-Id", "7")
		w.Header().Set("T-Signed", "yes")
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestRouterIsReadyWithTableAndUpstreamsAndServesOnWithoutTheDiskVM(t *testing.T) {
	// Guards against callers being sent to a router that can't serve them yet, and against
	// a router that stops serving when the disk VMs are lost. The router starts before its
	// disk VM, so it isn't ready and answers 503 at once or nearly so. It serves once the disk
	// VM is up, and after the disk VM is gone by the last table and roster that it knows.
	r, diskAddress := newRig(t, 0)
	assert.Assert(t, !r.ready())
	status, _ := r.call()
	assert.Equal(t, status, http.StatusServiceUnavailable)

	release, received := make(chan struct{}), make(chan struct{}, 10)
	close(release)
	vm := startDiskVM(t, diskAddress, startUpstream(t, release, received))
	r.eventually("the router is ready", r.ready)
	status, body := r.call()
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "done")

	vm.fabric.Close()
	status, _ = r.call()
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, r.ready())
	assert.Assert(t, r.router.Stop())
}

func TestAPlannedStopEndsAfterTheLastAnswer(t *testing.T) {
	// Guards against answers that are cut by a rolling restart. A stopping router first
	// reports that it isn't ready, still takes new requests, and ends once the last answer
	// is sent.
	r, diskAddress := newRig(t, 2*time.Second)
	release, received := make(chan struct{}), make(chan struct{}, 10)
	startDiskVM(t, diskAddress, startUpstream(t, release, received))
	r.eventually("the router is ready", r.ready)

	answers := make(chan string, 2)
	request := func() {
		_, body := r.call()
		answers <- body
	}
	go request()
	<-received
	stopped := make(chan bool, 1)
	go func() { stopped <- r.router.Stop() }()
	r.eventually("the router says that it isn't ready", func() bool { return !r.ready() })
	go request()
	<-received
	select {
	case <-stopped:
		t.Fatal("the router stopped with two answers in flight")
	default:
	}
	close(release)
	assert.Equal(t, <-answers, "done")
	assert.Equal(t, <-answers, "done")
	assert.Assert(t, <-stopped)
}

func TestAnIdleConnectionMayStillBeUsedWhenAStopBegins(t *testing.T) {
	// Guards against requests that get no answer because the router closes idle connections
	// when a stop begins, while a caller's next request is already on its way over one.
	r, diskAddress := newRig(t, 2*time.Second)
	release, received := make(chan struct{}), make(chan struct{}, 10)
	close(release)
	startDiskVM(t, diskAddress, startUpstream(t, release, received))
	r.eventually("the router is ready", r.ready)
	connection, err := net.Dial("tcp", r.settings.Listen.Callers)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	answers := bufio.NewReader(connection)
	assert.Assert(t, !sendOver(t, connection, answers).Close, "the connection stays open before the stop")

	stopped := make(chan bool, 1)
	go func() { stopped <- r.router.Stop() }()
	r.eventually("the router says that it isn't ready", func() bool { return !r.ready() })
	assert.Assert(t, sendOver(t, connection, answers).Close, "the caller has to connect to another router")
	assert.Assert(t, <-stopped)
}

// sendOver sends a request over a connection and returns the answer.
func sendOver(t *testing.T, connection net.Conn, answers *bufio.Reader) *http.Response {
	t.Helper()
	_, err := io.WriteString(connection, "GET /x HTTP/1.1\r\nHost: h\r\nT-Id: 7\r\n\r\n")
	assert.NilError(t, err)
	answer, err := http.ReadResponse(answers, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "done")
	return answer
}

func TestChangedAnnouncementIsAcceptedOnlyOnceADiskVMHasIt(t *testing.T) {
	// Guards against a lost departure: an upstream announces to a router that it is leaving.
	// If the router accepted that before a disk VM had it, all other routers might go on
	// sending requests to the upstream.
	r, diskAddress := newRig(t, 0)
	release := make(chan struct{})
	close(release)
	vm := startDiskVM(t, diskAddress, startUpstream(t, release, make(chan struct{}, 10)))
	r.eventually("the router is ready", r.ready)
	known := roster.Entry{ID: "u1", Service: "s", Address: "10.0.0.1:80", State: roster.Ready, Sequence: 2}
	assert.Assert(t, r.router.handleAnnouncement(t.Context(), known))
	leaving := known
	leaving.State, leaving.Sequence = roster.Draining, 3
	vm.mu.Lock()
	vm.dropAnnouncements = true
	vm.mu.Unlock()
	assert.Assert(t, !r.router.handleAnnouncement(t.Context(), leaving))
	vm.mu.Lock()
	vm.dropAnnouncements = false
	vm.mu.Unlock()
	leaving.Build, leaving.Sequence = "v2", 4
	assert.Assert(t, r.router.handleAnnouncement(t.Context(), leaving))
	assert.Equal(t, len(r.router.announcements.waiting), 0)
	assert.Assert(t, r.router.Stop())
	assert.Assert(t, !r.router.handleAnnouncement(t.Context(), known), "a stopping router accepts no announcements")
}

func TestRouterLimitsLoadToWhatUpstreamsAnswerInTime(t *testing.T) {
	// Guards against requests that only wait behind others: the upstream's answers have begun
	// late since it had forty requests in flight, so the router refuses more. It still sends a
	// request that was already lost once at another upstream.
	r, diskAddress := newRig(t, 0)
	release := make(chan struct{})
	close(release)
	startDiskVM(t, diskAddress, startUpstream(t, release, make(chan struct{}, 10)))
	r.eventually("the router is ready", r.ready)
	job := forward.Job{Service: "s", Route: &r.router.Table().Table().Routes[0]}
	for range 20 {
		r.router.AnswerTimed(job, balance.Choice{Load: 10}, true)
		r.router.AnswerTimed(job, balance.Choice{Load: 40}, false)
	}
	choice := r.router.Choose(t.Context(), job)
	assert.Equal(t, choice.ID, protocol.UpstreamID("u1"))
	for range 100 {
		if choice = r.router.Choose(t.Context(), job); choice.ID == "" {
			break
		}
	}
	assert.Equal(t, choice.Reason, balance.ReasonNoCapacity)
	assert.Assert(t, choice.Limit > 10 && choice.Limit <= 40, "%d", choice.Limit)
	job.Tried = []protocol.UpstreamID{"u0"}
	assert.Equal(t, r.router.Choose(t.Context(), job).ID, protocol.UpstreamID("u1"))
	assert.Assert(t, r.router.Stop())
}

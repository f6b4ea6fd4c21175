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

// patience is how long a test waits for what takes some tens of milliseconds.
const patience = 20 * time.Second

// diskVM answers a router's watches, as a disk VM does.
type diskVM struct {
	fabric    *fabric.Fabric
	started   time.Time
	mu        sync.Mutex
	publisher *control.Publisher
	// deaf VMs take no announcements.
	deaf bool
}

// takeAnnounced takes what a router hands over.
func (vm *diskVM) takeAnnounced(from protocol.RouterID, announced control.Announcements) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if !vm.deaf {
		ack, _ := vm.publisher.HandleAnnouncements(time.Since(vm.started), from, announced)
		vm.fabric.SendAll([]control.Message{ack})
	}
}

// linkRate is what a disk VM's link carries, in bytes a second.
const linkRate = 2 << 20

// startDiskVM starts one that lists an upstream and has a table of one version.
func startDiskVM(t *testing.T, address, upstream string) *diskVM {
	t.Helper()
	known := roster.New(roster.DefaultSettings())
	known.Merge(0, roster.Entry{ID: "u1", Service: "s", Address: upstream, State: roster.Ready, Sequence: 1})
	vm := &diskVM{started: time.Now(), publisher: control.NewPublisher(known, linkRate)}
	table := document.New(7, []byte("a table"))
	vm.publisher.SetDocument(0, table, document.MakeChange(nil, table))
	vm.publisher.SetDiskVMs([]protocol.RouterID{protocol.RouterID(address)})
	vm.fabric = fabric.New(fabric.Options{
		Self: protocol.RouterID(address), Listen: address, Incarnation: 1, Receiver: vm, Log: zerolog.Nop(),
	})
	assert.NilError(t, vm.fabric.Listen())
	t.Cleanup(vm.fabric.Close)
	return vm
}

// Receive implements fabric.Receiver.
func (vm *diskVM) Receive(from protocol.RouterID, body any) {
	if announced, is := body.(control.Announcements); is {
		vm.takeAnnounced(from, announced)
		return
	}
	watch, is := body.(control.Watch)
	if !is {
		return
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	now := time.Since(vm.started)
	vm.fabric.SendAll(vm.publisher.HandleWatch(now, from, watch))
	vm.fabric.SendAll(vm.publisher.SendWaiting(now))
}

// readTable returns a table with one route, whatever the body says.
func readTable(version uint64, _ []byte) (*routing.Table, error) {
	return &routing.Table{
		Version:  version,
		Services: []routing.Service{{Name: "s"}},
		Limits:   routing.Limits{MaxBodyBytes: 1000},
		Routes: []routing.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Public: true, Timeout: 5 * time.Second, Objective: time.Second,
			MaxAttempts: 1, Split: []routing.Share{{Service: "s", Weight: 1}},
		}},
	}, nil
}

// freePort returns a port at which nobody listens at either loopback address.
func freePort(t *testing.T) int {
	t.Helper()
	for range 100 {
		one, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		port := one.Addr().(*net.TCPAddr).Port
		two, err := net.Listen("tcp", fmt.Sprintf("127.0.0.2:%d", port))
		assert.NilError(t, one.Close())
		if err == nil {
			assert.NilError(t, two.Close())
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

// rig is a router, its disk VM and an upstream.
type rig struct {
	t        *testing.T
	router   *Router
	settings direct.Settings
}

// newRig starts a router whose disk VM isn't there yet, and returns the address for
// that one: another loopback address, as all processes' peers have the same port.
// unready is how long a stopping router still takes callers.
func newRig(t *testing.T, unready time.Duration) (*rig, string) {
	t.Helper()
	peers := freePort(t)
	s := direct.Defaults()
	s.Role, s.Name, s.DataCentre = direct.RoleRouter, "r1", "dc1"
	s.Listen.Peers = fmt.Sprintf("127.0.0.1:%d", peers)
	s.Listen.Callers = fmt.Sprintf("127.0.0.1:%d", freePort(t))
	s.Listen.Readiness = fmt.Sprintf("127.0.0.1:%d", freePort(t))
	s.Seeds = []string{fmt.Sprintf("127.0.0.2:%d", freePort(t))}
	s.Stop.UnreadyMS, s.Stop.GraceMS = int(unready.Milliseconds()), 30_000
	r, err := New(Options{
		Settings: s, Dialect: dialecttest.Plain{}, ReadTable: readTable, Log: zerolog.Nop(), RequestLog: zerolog.Nop(),
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	assert.NilError(t, err)
	return &rig{t: t, router: r, settings: s}, fmt.Sprintf("127.0.0.2:%d", peers)
}

// ready asks as the balancer does.
func (r *rig) ready() bool {
	response, err := http.Get("http://" + r.settings.Listen.Readiness + "/")
	if err != nil {
		return false
	}
	assert.NilError(r.t, response.Body.Close())
	return response.StatusCode == http.StatusOK
}

// call sends a request and returns status and body.
func (r *rig) call() (int, string) {
	request, err := http.NewRequest("GET", "http://"+r.settings.Listen.Callers+"/x", nil)
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

// eventually waits until something holds.
func (r *rig) eventually(what string, holds func() bool) {
	r.t.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	r.t.Fatalf("not within %s: %s", patience, what)
}

// startUpstream starts one that answers when released is closed.
func startUpstream(t *testing.T, released <-chan struct{}, taken chan<- struct{}) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		taken <- struct{}{}
		<-released
		w.Header().Set("T-Id", "7")
		w.Header().Set("T-Signed", "yes")
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestARouterServesOnceItKnowsTableAndUpstreamsAndOnWithoutTheDiskVM(t *testing.T) {
	// A router starts before any disk VM is up: the balancer must not send
	// callers, and those that come get 503 at once or nearly so. Then a disk VM
	// comes, tells table and upstreams, and is lost again. Callers are served by
	// the last that is known.
	r, diskAddress := newRig(t, 0)
	assert.Assert(t, !r.ready())
	status, _ := r.call()
	assert.Equal(t, status, http.StatusServiceUnavailable)

	released, taken := make(chan struct{}), make(chan struct{}, 10)
	close(released)
	vm := startDiskVM(t, diskAddress, startUpstream(t, released, taken))
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
	// Routers are rolled while callers wait for long answers. The one that stops
	// says so to the balancer first, still takes who comes, and leaves with the
	// last answer out.
	r, diskAddress := newRig(t, 2*time.Second)
	released, taken := make(chan struct{}), make(chan struct{}, 10)
	startDiskVM(t, diskAddress, startUpstream(t, released, taken))
	r.eventually("the router is ready", r.ready)

	answers := make(chan string, 2)
	ask := func() {
		_, body := r.call()
		answers <- body
	}
	go ask()
	<-taken
	stopped := make(chan bool, 1)
	go func() { stopped <- r.router.Stop() }()
	r.eventually("the router says that it isn't ready", func() bool { return !r.ready() })
	go ask()
	<-taken
	select {
	case <-stopped:
		t.Fatal("it stopped with two answers outstanding")
	default:
	}
	close(released)
	assert.Equal(t, <-answers, "done")
	assert.Equal(t, <-answers, "done")
	assert.Assert(t, <-stopped)
}

func TestAnIdleConnectionMayStillBeUsedWhenAStopBegins(t *testing.T) {
	// A caller keeps a connection open between its requests. A planned stop begins
	// and closes idle connections; in the same moment the caller's next request is
	// on its way. It gets neither an answer nor a refusal, though nothing failed.
	r, diskAddress := newRig(t, 2*time.Second)
	released, taken := make(chan struct{}), make(chan struct{}, 10)
	close(released)
	startDiskVM(t, diskAddress, startUpstream(t, released, taken))
	r.eventually("the router is ready", r.ready)
	connection, err := net.Dial("tcp", r.settings.Listen.Callers)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	answers := bufio.NewReader(connection)
	assert.Assert(t, !askOver(t, connection, answers).Close, "the connection is kept before the stop")

	stopped := make(chan bool, 1)
	go func() { stopped <- r.router.Stop() }()
	r.eventually("the router says that it isn't ready", func() bool { return !r.ready() })
	assert.Assert(t, askOver(t, connection, answers).Close, "the caller has to open another one elsewhere")
	assert.Assert(t, <-stopped)
}

// askOver sends a request over a connection and returns the whole answer.
func askOver(t *testing.T, connection net.Conn, answers *bufio.Reader) *http.Response {
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

func TestAnAnnouncementWithNewsIsKnownToADiskVMBeforeItIsTaken(t *testing.T) {
	// An upstream tells a router that it leaves. If the router said that it has
	// heard that, and no disk VM had, all other routers would go on sending there.
	r, diskAddress := newRig(t, 0)
	released := make(chan struct{})
	close(released)
	vm := startDiskVM(t, diskAddress, startUpstream(t, released, make(chan struct{}, 10)))
	r.eventually("the router is ready", r.ready)
	known := roster.Entry{ID: "u1", Service: "s", Address: "10.0.0.1:80", State: roster.Ready, Sequence: 2}
	assert.Assert(t, r.router.takeAnnouncement(t.Context(), known))
	leaving := known
	leaving.State, leaving.Sequence = roster.Draining, 3
	vm.mu.Lock()
	vm.deaf = true
	vm.mu.Unlock()
	assert.Assert(t, !r.router.takeAnnouncement(t.Context(), leaving))
	vm.mu.Lock()
	vm.deaf = false
	vm.mu.Unlock()
	leaving.Build, leaving.Sequence = "v2", 4
	assert.Assert(t, r.router.takeAnnouncement(t.Context(), leaving))
	assert.Equal(t, len(r.router.announcements.waiting), 0)
	assert.Assert(t, r.router.Stop())
	assert.Assert(t, !r.router.takeAnnouncement(t.Context(), known), "it leaves")
}

func TestARouterSendsNoMoreThanBeginsInTime(t *testing.T) {
	// An upstream has begun all answers late since it had forty requests. The next
	// callers would only wait behind the others; one whose request was already lost
	// once elsewhere isn't turned away after that.
	r, diskAddress := newRig(t, 0)
	released := make(chan struct{})
	close(released)
	startDiskVM(t, diskAddress, startUpstream(t, released, make(chan struct{}, 10)))
	r.eventually("the router is ready", r.ready)
	job := forward.Job{Service: "s", Route: &r.router.Table().Table().Routes[0]}
	for range 20 {
		r.router.AnswerTimed(job, balance.Choice{Load: 10}, true)
		r.router.AnswerTimed(job, balance.Choice{Load: 40}, false)
	}
	made := r.router.Choose(t.Context(), job)
	assert.Equal(t, made.ID, protocol.UpstreamID("u1"))
	for range 100 {
		if made = r.router.Choose(t.Context(), job); made.ID == "" {
			break
		}
	}
	assert.Equal(t, made.Reason, balance.ReasonNoCapacity)
	assert.Assert(t, made.Limit > 10 && made.Limit <= 40, "%d", made.Limit)
	job.Tried = []protocol.UpstreamID{"u0"}
	assert.Equal(t, r.router.Choose(t.Context(), job).ID, protocol.UpstreamID("u1"))
	assert.Assert(t, r.router.Stop())
}

package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/settings/direct"
)

// The size of the fleet and the time limits that the test checks.
const (
	diskVMCount = 3
	routerCount = 3
	// leaveWithin is the time after which a leaving upstream must get no new
	// requests. drainSlack is added to it because the machine may be busy.
	leaveWithin = 2 * time.Second
	drainSlack  = time.Second
	// applyWithin is the time after which an accepted table must be in force on
	// every router that is connected.
	applyWithin = 3 * time.Second
	// calmAfter is the time after the last fault from which on every running
	// process must be connected to the fleet again.
	calmAfter = 5 * time.Second

	chatService = "chat"
	deskService = "desk"
	// deskSlots is how many slots upstreams announce.
	deskSlots = 8
)

// run records how the upstreams ran one request.
type run struct {
	times int    // how often upstreams started to run it
	body  string // of the first run
}

// harness is one fleet with its callers, upstreams and operators.
type harness struct {
	t       *testing.T
	seed    uint64
	folder  string
	ports   ports
	diskVMs []*process
	routers []*process
	client  *http.Client

	mu           sync.Mutex
	random       *rand.Rand
	upstreams    []*upstream
	nextUpstream int
	runs         map[string]*run
	// senders holds where each request comes from, and departures when routers first passed
	// on that upstreams leave.
	senders    map[string]sender
	departures map[departure]time.Time
	violations []string
	counts     map[string]int
	// endless holds the requests that were answered with bytes without end.
	endless map[string]bool
	// surgeMu is held during a surge.
	surgeMu sync.Mutex
	surges  surgeState
	// accepted is the highest version of a table that a disk VM has accepted, lastVersion the
	// highest that an operator has sent.
	accepted, lastVersion uint64
	// killsDiskVMsAtEnd says that all disk VMs are killed at the end, after a table was accepted.
	killsDiskVMsAtEnd bool
	// emptied is the data centre that may get no new request any more, "" for none.
	emptied protocol.DataCentre
	// lastFault is when a fault last started or ended.
	lastFault time.Time
	quit      chan struct{}
	done      sync.WaitGroup
	// builds is guarded by mu.
	builds builds
	// withoutPath holds the routers that have lost their paths to all upstreams, and servedBy the
	// requests of each router's callers.
	withoutPath map[*process]bool
	servedBy    map[callersOf]served
	// refusedLate counts connections of routers without a path that were closed too late.
	refusedLate atomic.Int64
	// servedIn counts the same in slices of time.
	servedIn map[servedSlice]served
	// fragileUntil is until when desks are fragile. judgesOverload says that routers without a path
	// must serve as often as others also while fragile desks refuse half of all requests.
	fragileUntil   time.Time
	judgesOverload bool
	budgets        map[protocol.Service]*sentTo
	// crashing is the part of prompts that crashes engines at the moment, nil for none.
	crashing *crashingPart
	// concentration tells of the router that gets most new connections. judgesConcentration says
	// that no other fault makes requests fail.
	concentration       *concentration
	judgesConcentration bool
	// pathsMu, fragileMu, partMu and concentrateMu allow one such fault at a time.
	pathsMu, fragileMu, partMu, concentrateMu sync.Mutex
	// diskVMsMu and upstreamsMu allow one fault of disk VMs and one of upstreams
	// at a time.
	diskVMsMu   sync.Mutex
	upstreamsMu sync.Mutex
}

// newHarness starts the processes and the upstreams of a fleet.
func newHarness(t *testing.T, seed uint64) *harness {
	t.Helper()
	requireSocketInode(t)
	h := &harness{
		t: t, seed: seed, folder: t.TempDir(), ports: freePorts(t), random: rand.New(rand.NewPCG(seed, 1)),
		runs: map[string]*run{}, builds: builds{newest: firstBuild}, servedBy: map[callersOf]served{}, servedIn: map[servedSlice]served{}, senders: map[string]sender{}, departures: map[departure]time.Time{}, counts: map[string]int{}, endless: map[string]bool{}, budgets: map[protocol.Service]*sentTo{}, concentration: &concentration{}, quit: make(chan struct{}), lastFault: time.Now(),
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for n := 1; n <= diskVMCount; n++ {
		h.diskVMs = append(h.diskVMs, h.newProcess(n, direct.RoleDiskVM))
	}
	for n := diskVMCount + 1; n <= diskVMCount+routerCount; n++ {
		h.routers = append(h.routers, h.newProcess(n, direct.RoleRouter))
	}
	for _, p := range h.processes() {
		p.start()
	}
	for range 3 {
		h.startUpstream(chatService)
		h.startUpstream(deskService)
	}
	return h
}

func (h *harness) processes() []*process {
	return append(append([]*process(nil), h.diskVMs...), h.routers...)
}

// violation records that a guarantee was violated, which fails the test.
func (h *harness) violation(format string, values ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, values...))
}

// count counts an event by its name. The counts are logged at the end.
func (h *harness) count(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[what]++
}

// intN returns a random number below n from the run's seeded random source.
func (h *harness) intN(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// recordRun records that an upstream started to run a request. A request must
// always run with the body that its caller sent, and at most once on a /once/ path.
func (h *harness) recordRun(id string, r *http.Request, body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.runs[id]
	if known == nil {
		known = &run{body: string(body)}
		h.runs[id] = known
	}
	known.times++
	if known.body != string(body) || !strings.HasPrefix(string(body), id) {
		h.violations = append(h.violations, "request "+id+" ran with another body")
	}
	if known.times > 1 && strings.HasPrefix(r.URL.Path, "/once/") {
		h.violations = append(h.violations, "request "+id+" may run once and ran twice")
	}
}

// hasRun reports whether any upstream started to run a request.
func (h *harness) hasRun(id string) bool { return h.timesRun(id) > 0 }

// timesRun returns how often upstreams started to run a request.
func (h *harness) timesRun(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runs[id] == nil {
		return 0
	}
	return h.runs[id].times
}

// callDiskVM sends a request to the disk VMs in random order until one replies with
// status 200. It reports whether one did.
func (h *harness) callDiskVM(method, path string, body []byte) bool {
	for _, n := range h.perm(diskVMCount) {
		request, err := http.NewRequest(method, "http://"+bindAddress(n+1, h.ports.control)+path, bytes.NewReader(body))
		assert.NilError(h.t, err)
		response, err := h.client.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (h *harness) perm(n int) []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.Perm(n)
}

// awaitRouters waits until all routers are ready. It records a violation if they
// aren't ready before the timeout.
func (h *harness) awaitRouters(timeout time.Duration) {
	h.t.Helper()
	deadline := time.Now().Add(timeout)
	for _, p := range h.routers {
		for !h.isReady(p) {
			if time.Now().After(deadline) {
				h.violation("%s is not ready %s after the last fault", p.settings.Name, timeout)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (h *harness) isReady(p *process) bool {
	response, err := h.client.Get("http://" + p.settings.Listen.Readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// isCalm reports whether no fault has started or ended within calmAfter.
func (h *harness) isCalm() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.lastFault) > calmAfter
}

// noteFault records that a fault starts or ends now.
func (h *harness) noteFault() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastFault = time.Now()
}

// stop stops the callers, processes and upstreams. If a guarantee was violated, it
// fails the test and writes the processes' logs to a folder.
func (h *harness) stop() {
	close(h.quit)
	h.done.Wait()
	var ended sync.WaitGroup
	for _, p := range h.processes() {
		ended.Go(func() {
			p.stop(syscall.SIGTERM)
			p.proxy.Close()
			if p.routersProxy != nil {
				p.routersProxy.Close()
			}
		})
	}
	ended.Wait()
	for _, u := range h.upstreams {
		u.stop()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.t.Logf("seed %d: %v", h.seed, h.counts)
	if len(h.violations) == 0 {
		return
	}
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", h.seed))
	assert.NilError(h.t, err)
	for _, p := range h.processes() {
		assert.NilError(h.t, os.WriteFile(filepath.Join(folder, p.settings.Name+".log"), p.log.Bytes(), 0o600))
	}
	h.t.Errorf("seed %d, logs in %s:\n%s", h.seed, folder, strings.Join(h.violations[:min(len(h.violations), 20)], "\n"))
}

// dial opens a connection to the address at which a router listens for callers.
func (h *harness) dial(p *process) (net.Conn, error) {
	return net.DialTimeout("tcp", p.settings.Listen.Callers, time.Second)
}

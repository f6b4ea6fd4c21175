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
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/settings/direct"
)

// The fleet under test, and what the pages promise of it.
const (
	diskVMs = 3
	routers = 3
	// leaveWithin is how soon a leaving upstream must get no new work, and
	// drainSlack what a busy machine may take on top.
	leaveWithin = 2 * time.Second
	drainSlack  = time.Second
	// applyWithin is how soon an accepted table is in force on every router that
	// is in touch.
	applyWithin = 3 * time.Second
	// calmFor is how long a process must have been left alone to be in touch.
	calmFor = 5 * time.Second

	chatService = "chat"
	deskService = "desk"
)

// run is one request as the upstreams saw it.
type run struct {
	times int
	body  string
}

// world is one fleet, its callers, upstreams and operators.
type world struct {
	t      *testing.T
	seed   uint64
	folder string
	ports  ports
	vms    []*process
	fronts []*process
	client *http.Client

	mu           sync.Mutex
	random       *rand.Rand
	upstreams    []*upstream
	nextUpstream int
	runs         map[string]*run
	violations   []string
	counts       map[string]int
	// accepted is the newest table whose acceptance an operator has seen.
	accepted uint64
	// disturbed is when a fault was last begun or ended.
	disturbed time.Time
	quit      chan struct{}
	done      sync.WaitGroup
	// vmsBusy and upstreamsBusy keep faults of the same kind apart.
	vmsBusy       sync.Mutex
	upstreamsBusy sync.Mutex
}

func newWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	w := &world{
		t: t, seed: seed, folder: t.TempDir(), ports: freePorts(t), random: rand.New(rand.NewPCG(seed, 1)),
		runs: map[string]*run{}, counts: map[string]int{}, quit: make(chan struct{}), disturbed: time.Now(),
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for n := 1; n <= diskVMs; n++ {
		w.vms = append(w.vms, w.newProcess(n, direct.RoleDiskVM))
	}
	for n := diskVMs + 1; n <= diskVMs+routers; n++ {
		w.fronts = append(w.fronts, w.newProcess(n, direct.RoleRouter))
	}
	for _, p := range w.processes() {
		p.start()
	}
	for range 3 {
		w.startUpstream(chatService)
		w.startUpstream(deskService)
	}
	return w
}

func (w *world) processes() []*process { return append(append([]*process(nil), w.vms...), w.fronts...) }

// broken notes a broken promise.
func (w *world) broken(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, values...))
}

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

// intN draws from the run's random source.
func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// ran notes that an upstream began to run a request.
func (w *world) ran(id string, r *http.Request, body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.runs[id]
	if known == nil {
		known = &run{body: string(body)}
		w.runs[id] = known
	}
	known.times++
	if known.body != string(body) || !strings.HasPrefix(string(body), id) {
		w.violations = append(w.violations, "request "+id+" ran with another body")
	}
	if known.times > 1 && strings.HasPrefix(r.URL.Path, "/once/") {
		w.violations = append(w.violations, "request "+id+" may run once and ran twice")
	}
}

// hasRun reports whether any upstream began to run a request.
func (w *world) hasRun(id string) bool { return w.timesRun(id) > 0 }

// timesRun returns how often upstreams began to run a request.
func (w *world) timesRun(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[id] == nil {
		return 0
	}
	return w.runs[id].times
}

// tellControl calls the disk VMs in random order until one answers.
func (w *world) tellControl(method, path string, body []byte) bool {
	for _, n := range w.perm(diskVMs) {
		request, err := http.NewRequest(method, "http://"+ownAddress(n+1, w.ports.control)+path, bytes.NewReader(body))
		assert.NilError(w.t, err)
		response, err := w.client.Do(request)
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

func (w *world) perm(n int) []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Perm(n)
}

// settled waits until all routers are ready.
func (w *world) settled(patience time.Duration) {
	w.t.Helper()
	deadline := time.Now().Add(patience)
	for _, p := range w.fronts {
		for !w.isReady(p) {
			if time.Now().After(deadline) {
				w.broken("%s isn't ready %s after the last fault", p.settings.Name, patience)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (w *world) isReady(p *process) bool {
	response, err := w.client.Get("http://" + p.settings.Listen.Readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// isCalm reports whether no fault was begun or ended for a while.
func (w *world) isCalm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.disturbed) > calmFor
}

func (w *world) disturb() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed = time.Now()
}

// end stops everything and keeps the logs of a failed run.
func (w *world) end() {
	close(w.quit)
	w.done.Wait()
	var ended sync.WaitGroup
	for _, p := range w.processes() {
		ended.Go(func() {
			p.stop(syscall.SIGTERM)
			p.way.Close()
		})
	}
	ended.Wait()
	for _, u := range w.upstreams {
		u.end()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.t.Logf("seed %d: %v", w.seed, w.counts)
	if len(w.violations) == 0 {
		return
	}
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", w.seed))
	assert.NilError(w.t, err)
	for _, p := range w.processes() {
		assert.NilError(w.t, os.WriteFile(filepath.Join(folder, p.settings.Name+".log"), p.log.Bytes(), 0o600))
	}
	w.t.Errorf("seed %d, logs in %s:\n%s", w.seed, folder, strings.Join(w.violations[:min(len(w.violations), 20)], "\n"))
}

// dial opens a connection to a router's callers' address.
func (w *world) dial(p *process) (net.Conn, error) {
	return net.DialTimeout("tcp", p.settings.Listen.Callers, time.Second)
}

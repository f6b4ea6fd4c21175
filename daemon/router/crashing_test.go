package router

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
	"endiveplank/daemon/diskvm"
	"endiveplank/protocol"
	"endiveplank/settings/direct"
)

// crashingPart is the part of a prompt that crashes engines, as do all that begin with it.
const crashingPart = "crashes"

// downFor is how long a crashed engine takes no connections.
const downFor = 700 * time.Millisecond

// crashingFleet is a disk VM, routers and engines that crash on a part of a prompt.
type crashingFleet struct {
	t       *testing.T
	peers   int
	folder  string
	vm      *diskvm.VM
	routers []*rig
	engines []*crashingEngine
	// reached counts the requests with the part that reached engines, crashes the engines that
	// crashed.
	reached, crashes atomic.Int64
	sent             atomic.Int64
}

// crashingEngine is one engine. Each start is a new incarnation of the same upstream.
type crashingEngine struct {
	fleet   *crashingFleet
	id      protocol.UpstreamID
	address string
	mu      sync.Mutex
	server  *http.Server
}

// newCrashingFleet starts the fleet.
func newCrashingFleet(t *testing.T, routers, engines int) *crashingFleet {
	t.Helper()
	f := &crashingFleet{t: t, peers: freePort(t), folder: t.TempDir()}
	f.startDiskVM()
	for i := range engines {
		e := &crashingEngine{fleet: f, id: protocol.UpstreamID(fmt.Sprint("u", i)), address: fmt.Sprintf("127.0.0.1:%d", freePort(t))}
		e.start()
		f.engines = append(f.engines, e)
	}
	for i := range routers {
		f.routers = append(f.routers, f.startRouter(i))
	}
	for _, r := range f.routers {
		r.eventually("the router is ready", r.ready)
	}
	t.Cleanup(func() {
		for _, r := range f.routers {
			r.router.Stop()
		}
		f.vm.Stop()
	})
	return f
}

// startDiskVM starts the disk VM on its folder.
func (f *crashingFleet) startDiskVM() {
	s := direct.Defaults()
	s.Role, s.Name, s.DataCentre, s.DataFolder = direct.RoleDiskVM, "vm", "dc1", f.folder
	s.Listen.Peers, s.Listen.Control = fmt.Sprintf("127.0.0.2:%d", f.peers), "127.0.0.2:1"
	s.Seeds, s.FirstStart, s.DiskLosses = []string{"127.0.0.2:1"}, f.vm == nil, 0
	vm, err := diskvm.New(diskvm.Options{
		Settings: s, Log: zerolog.Nop(), Random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 2)),
		CheckTable: func(uint64, []byte) error { return nil },
	})
	assert.NilError(f.t, err)
	first := f.vm == nil
	f.vm = vm
	for began := time.Now(); first; time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := vm.PutTable(ctx, 7, []byte("a table"))
		cancel()
		if err == nil {
			break
		}
		assert.Assert(f.t, time.Since(began) < waitTimeout, "the table isn't accepted: %v", err)
	}
}

// startRouter starts a router.
func (f *crashingFleet) startRouter(i int) *rig {
	return startRig(f.t, fmt.Sprintf("127.0.0.%d", 3+i), f.peers, func(*Options) {})
}

// start begins an incarnation and announces it.
func (e *crashingEngine) start() {
	listener, err := net.Listen("tcp", e.address)
	assert.NilError(e.fleet.t, err)
	server := &http.Server{Handler: e}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	e.fleet.t.Cleanup(func() { _ = server.Close() })
	e.fleet.vm.Announce(context.Background(), roster.Entry{
		ID: e.id, Service: "s", Address: e.address, State: roster.Ready, StartedAt: time.Now().UnixMilli(), Sequence: 1,
	})
}

// crash ends all connections of the incarnation. The next one starts after downFor.
func (e *crashingEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return
	}
	_ = e.server.Close()
	e.server = nil
	e.fleet.crashes.Add(1)
	time.AfterFunc(downFor, e.start)
}

// ServeHTTP answers with a stream, and crashes before its first event if the prompt has the part.
func (e *crashingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	w.Header().Set("T-Signed", "yes")
	if strings.Contains(r.Header.Get("T-Parts"), crashingPart) {
		e.fleet.reached.Add(1)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
		e.crash()
		return
	}
	for id := 1; id <= streamEvents; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventGap)
	}
}

// send sends a request with these parts and a last one of its own, and reports whether it was
// served.
func (f *crashingFleet) send(router int, path, parts string) bool {
	number := f.sent.Add(1)
	request, err := http.NewRequest(http.MethodPost, "http://"+f.routers[router].settings.Listen.Callers+path, strings.NewReader(fmt.Sprint("body ", number)))
	assert.NilError(f.t, err)
	request.Host = "h"
	request.Header.Set("T-Id", fmt.Sprint(number))
	request.Header.Set("T-Parts", fmt.Sprintf("%s,last%d", parts, number))
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// crashEngines sends requests with the crashing part until it isn't sent on, or n engines have
// crashed. Sound requests with the same first part come in between.
func (f *crashingFleet) crashEngines(n int64) {
	for i := 0; f.crashes.Load() < n && i < 2*int(n); i++ {
		f.send(i%len(f.routers), "/once/x", fmt.Sprintf("system,%s,subject%d", crashingPart, i))
		for sound := range 5 {
			f.send((i+sound)%len(f.routers), "/once/x", fmt.Sprintf("system,sound%d", sound))
			time.Sleep(60 * time.Millisecond)
		}
	}
}

// expectNothingReaches sends requests with the crashing part to a router, of which at most a few may
// reach an engine.
func (f *crashingFleet) expectNothingReaches(router int, when string) {
	f.t.Helper()
	before := f.reached.Load()
	for i := range 20 {
		f.send(router, "/once/x", fmt.Sprintf("system,%s,other%d", crashingPart, i))
	}
	reached := f.reached.Load() - before
	assert.Assert(f.t, reached <= 3, "%s: %d of 20 requests with the part reached engines", when, reached)
}

// Guards: requests that have one part of their prompts in common, and no content, crash engine after
// engine.
func TestPartThatCrashesEnginesIsNotSentAnyMore(t *testing.T) {
	f := newCrashingFleet(t, 3, 8)
	f.crashEngines(5)
	time.Sleep(time.Second)
	for router := range f.routers {
		f.expectNothingReaches(router, fmt.Sprint("at router ", router))
	}
	served := 0
	for i := range 20 {
		if f.send(i%len(f.routers), "/once/x", "system,sound") {
			served++
		}
	}
	assert.Assert(t, served >= 18, "%d of 20 sound requests with the same first part are served", served)
}

// Guards: a part is found only where other parts come before it, or two parts that crash engines at
// the same time hide each other.
func TestTwoPartsThatCrashEnginesAreFoundWhereverTheyStand(t *testing.T) {
	f := newCrashingFleet(t, 3, 10)
	first, middle := crashingPart+"1", crashingPart+"2"
	prompts := func(i int) string {
		if i%2 == 0 {
			return fmt.Sprintf("%s,system,subject%d", first, i)
		}
		return fmt.Sprintf("system,%s,subject%d", middle, i)
	}
	for i := range 24 {
		f.send(i%len(f.routers), "/once/x", prompts(i))
		for sound := range 4 {
			f.send((i+sound)%len(f.routers), "/once/x", fmt.Sprintf("system,sound%d", sound))
			time.Sleep(60 * time.Millisecond)
		}
	}
	for _, part := range []string{first, middle} {
		before := f.reached.Load()
		for i := range 12 {
			f.send(i%len(f.routers), "/once/x", fmt.Sprintf("system,other,%s", part))
			f.send(i%len(f.routers), "/once/x", fmt.Sprintf("%s,other", part))
		}
		reached := f.reached.Load() - before
		assert.Assert(t, reached <= 3, "%d of 24 requests with %s reached engines", reached, part)
	}
	assert.Assert(t, f.crashes.Load() <= 12, "%d engines crashed", f.crashes.Load())
	assert.Assert(t, f.send(0, "/once/x", "system,sound1"))
}

// Guards: engines crash for reasons of their own, and parts of the sound requests that they had are
// refused.
func TestEnginesThatCrashWithoutAPartRefuseNobody(t *testing.T) {
	f := newCrashingFleet(t, 3, 8)
	prompt := func(i int) string { return fmt.Sprintf("system%d,subject%d", i%2, i%12) }
	quit := make(chan struct{})
	var calling sync.WaitGroup
	for n := range f.routers {
		calling.Go(func() {
			for i := n; ; i += len(f.routers) {
				select {
				case <-quit:
					return
				case <-time.After(5 * time.Millisecond):
				}
				f.send(n, "/once/x", prompt(i))
			}
		})
	}
	for i := range 12 {
		time.Sleep(250 * time.Millisecond)
		f.engines[i%len(f.engines)].crash()
	}
	close(quit)
	calling.Wait()
	time.Sleep(2 * downFor)
	for i := range 24 {
		assert.Assert(t, f.send(i%len(f.routers), "/once/x", prompt(i)), "the prompt %s isn't served", prompt(i))
	}
	assert.Assert(t, f.crashes.Load() >= 8)
}

// Guards: sound requests with the same caller and first part as those that crash engines are lost with
// them; and a router that has just started sends on what the others refuse.
func TestSoundRequestsBeginAsOftenAsInACalmTime(t *testing.T) {
	f := newCrashingFleet(t, 3, 8)
	served := func(requests int) (count int) {
		for i := range requests {
			if f.send(i%len(f.routers), "/once/x", fmt.Sprintf("system,sound%d", i%5)) {
				count++
			}
		}
		return count
	}
	calm := served(60)
	f.crashEngines(2)
	assert.Assert(t, f.routers[1].router.Stop())
	f.routers[1] = f.startRouter(1)
	f.routers[1].eventually("the router is ready", f.routers[1].ready)
	f.crashEngines(5)
	time.Sleep(time.Second)
	during := 0
	reached := f.reached.Load()
	for i := range 20 {
		f.send(i%len(f.routers), "/once/x", fmt.Sprintf("system,%s,more%d", crashingPart, i))
		during += served(3)
	}
	assert.Assert(t, f.reached.Load()-reached <= 3, "%d of 20 requests with the part reached engines", f.reached.Load()-reached)
	assert.Assert(t, 10*during >= 9*calm, "%d of 60 sound requests are served while the others come, %d in a calm time", during, calm)
}

// Guards: a router that has just started doesn't know which parts crash engines.
func TestRouterThatStartsKnowsWhichPartsCrashEngines(t *testing.T) {
	f := newCrashingFleet(t, 3, 8)
	f.crashEngines(5)
	assert.Assert(t, f.routers[0].router.Stop())
	f.routers[0] = f.startRouter(0)
	f.routers[0].eventually("the router is ready", f.routers[0].ready)
	time.Sleep(time.Second)
	f.expectNothingReaches(0, "after the router's restart")
}

// Guards: all processes stop, and afterwards none knows which parts crash engines.
func TestPartsThatCrashEnginesAreKnownAfterARestartOfAll(t *testing.T) {
	f := newCrashingFleet(t, 2, 8)
	f.crashEngines(5)
	time.Sleep(2 * time.Second)
	for _, r := range f.routers {
		assert.Assert(t, r.router.Stop())
	}
	f.vm.Stop()
	f.startDiskVM()
	for _, e := range f.engines {
		f.vm.Announce(context.Background(), roster.Entry{ID: e.id, Service: "s", Address: e.address, State: roster.Ready, StartedAt: time.Now().UnixMilli(), Sequence: 1})
	}
	for i := range f.routers {
		f.routers[i] = f.startRouter(i)
	}
	for i, r := range f.routers {
		r.eventually("the router is ready", r.ready)
		f.expectNothingReaches(i, "after a restart of all")
	}
}

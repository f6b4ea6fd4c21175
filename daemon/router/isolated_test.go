package router

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
	"endiveplank/standin/relay"
)

// path is one router's network path to all upstreams.
type path struct {
	mu     sync.Mutex
	mode   pathMode
	relays map[string]*relay.Relay
}

// pathMode says what a path does to connections.
type pathMode string

const (
	pathOpen pathMode = "open"
	// pathResets closes the connections that are open and refuses new ones.
	pathResets pathMode = "resets"
	// pathHangs lets nothing through and answers no new connection.
	pathHangs pathMode = "hangs"
	// pathCloses closes the connections that are open, and new ones as soon as they are open.
	pathCloses pathMode = "closes"
	// pathKeeps keeps the connections that are open and refuses new ones.
	pathKeeps pathMode = "keeps"
)

// hungDial is how long a connection attempt over a path that hangs takes to fail.
const hungDial = 400 * time.Millisecond

// newPath returns an open path.
func newPath(t *testing.T) *path {
	p := &path{mode: pathOpen, relays: map[string]*relay.Relay{}}
	t.Cleanup(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, r := range p.relays {
			r.Close()
		}
	})
	return p
}

// set changes what the path does.
func (p *path) set(mode pathMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for _, r := range p.relays {
		switch mode {
		case pathResets:
			r.Cut()
		case pathCloses:
			r.Set(relay.Faults{Refuse: true})
			r.Cut()
		case pathHangs:
			r.Set(relay.Faults{Silent: relay.Both})
		default:
			r.Set(relay.Faults{})
		}
	}
}

// dial opens a connection to an upstream.
func (p *path) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	mode := p.mode
	r := p.relays[address]
	if r == nil {
		started, err := relay.Start("127.0.0.1:0", address)
		if err != nil {
			p.mu.Unlock()
			return nil, err
		}
		p.relays[address], r = started, started
	}
	p.mu.Unlock()
	switch mode {
	case pathResets, pathKeeps:
		return nil, syscall.ECONNREFUSED
	case pathHangs:
		select {
		case <-ctx.Done():
		case <-time.After(hungDial):
		}
		return nil, context.DeadlineExceeded
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", r.Address())
}

// testFleet is a fleet of routers before some upstreams, each router with a path of its own.
type testFleet struct {
	routers []*rig
	paths   []*path
	lines   []*lockedBuffer
	// starts start each of the routers anew.
	starts []func() *rig
	diskVM *diskVM
}

// lockedBuffer holds the log of a router.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

// count returns how many times a text occurs.
func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), text)
}

// startFleet starts three routers, the disk VM and some upstreams.
func startFleet(t *testing.T, upstreams ...string) *testFleet {
	t.Helper()
	return startFleetListing(t, func(diskAddress string) *diskVM { return startDiskVM(t, diskAddress, upstreams...) })
}

// startFleetListing starts three routers and a disk VM.
func startFleetListing(t *testing.T, startDiskVM func(address string) *diskVM) *testFleet {
	t.Helper()
	peers, proxies, announcements := freePort(t), freePort(t), freePort(t)
	f := &testFleet{}
	for _, ip := range []string{"127.0.0.1", "127.0.0.3", "127.0.0.4"} {
		p, lines := newPath(t), &lockedBuffer{}
		f.paths, f.lines = append(f.paths, p), append(f.lines, lines)
		f.starts = append(f.starts, func() *rig {
			return startRig(t, ip, peers, func(options *Options) {
				options.Dial = p.dial
				options.Settings.Retries.Slack = 1000
				options.Settings.Stop.UnreadyMS = 2 * float64(proxyIdle.Milliseconds())
				options.Settings.Listen.Routers = fmt.Sprintf("%s:%d", ip, proxies)
				options.Settings.Listen.Announcements = fmt.Sprintf("%s:%d", ip, announcements)
				options.AnnouncementHandler = func(func(context.Context, roster.Entry) bool, func()) http.Handler { return http.NotFoundHandler() }
				options.Log, options.RequestLog = zerolog.New(lines), zerolog.New(lines)
			})
		})
		f.routers = append(f.routers, f.starts[len(f.starts)-1]())
	}
	f.diskVM = startDiskVM(fmt.Sprintf("127.0.0.2:%d", peers))
	f.await()
	return f
}

// await waits until all routers serve and know each other.
func (f *testFleet) await() {
	for _, r := range f.routers {
		r.eventually("the router is ready", r.ready)
		r.eventually("the router knows the others", func() bool { return r.router.knownRouters() == len(f.routers)-1 })
	}
}

// knownRouters returns the number of other routers that a router knows.
func (r *Router) knownRouters() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.others)
}

// stop stops the routers.
func (f *testFleet) stop(t *testing.T) {
	var stopping sync.WaitGroup
	for _, r := range f.routers {
		stopping.Go(func() { assert.Check(t, r.router.Stop()) })
	}
	stopping.Wait()
}

// quickAnswer is how long upstreams take.
const quickAnswer = 5 * time.Millisecond

// startUpstreams starts upstreams that answer each request after some time.
func startUpstreams(t *testing.T, n int, after time.Duration) []string {
	var addresses []string
	for range n {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(after)
			w.Header().Set("T-Id", "7")
			w.Header().Set("T-Signed", "yes")
			_, _ = io.WriteString(w, "done")
		}))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return addresses
}

// callFor sends requests from several callers, one after the other each, and returns how many
// were sent and how many served.
func (r *rig) callFor(period time.Duration) (sent, served int) {
	const callers = 20
	var all, ok atomic.Int64
	var calling sync.WaitGroup
	for range callers {
		calling.Go(func() {
			for began := time.Now(); time.Since(began) < period; time.Sleep(20 * time.Millisecond) {
				if status, _ := r.callPath(fmt.Sprint("/", all.Add(1))); status == http.StatusOK {
					ok.Add(1)
				}
			}
		})
	}
	calling.Wait()
	return int(all.Load()), int(ok.Load())
}

// learnWithin is the time after which routers without a path must serve their callers.
const learnWithin = 3 * time.Second

func TestCallersOfRoutersWithoutAPathToUpstreamsAreServed(t *testing.T) {
	// Guards: most routers lose their paths to all upstreams, which the others reach, and refuse
	// every caller until the paths are back.
	for _, mode := range []pathMode{pathResets, pathHangs, pathCloses, pathKeeps} {
		t.Run(string(mode), func(t *testing.T) {
			f := startFleet(t, startUpstreams(t, 4, quickAnswer)...)
			isolated, others := f.routers[:2], f.routers[2]
			for _, r := range f.routers {
				_, served := r.callFor(200 * time.Millisecond)
				assert.Assert(t, served > 0)
			}
			for i := range isolated {
				f.paths[i].set(mode)
			}
			for _, r := range isolated {
				go r.callFor(learnWithin)
			}
			time.Sleep(learnWithin)

			otherSent, otherServed := others.callFor(time.Second)
			for _, r := range isolated {
				sent, served := r.callFor(time.Second)
				failed := sent - served
				fair := served*otherSent*3 >= 2*otherServed*sent
				assert.Check(t, fair || failed <= 10+sent/50, "a router without a path served %d of %d requests, one with a path %d of %d", served, sent, otherServed, otherSent)
			}
			for i := range isolated {
				f.paths[i].set(pathOpen)
			}
			f.stop(t)
		})
	}
}

// cutInFlight resets the paths of the first two routers while every router has requests to slow
// upstreams in flight, to paths that pathOf gives.
func (f *testFleet) cutInFlight(pathOf func(n int) string) {
	const callers, requests = 20, 3
	var calling sync.WaitGroup
	for i, r := range f.routers {
		for caller := range callers {
			calling.Go(func() {
				for n := range requests {
					r.callPath(pathOf(n + requests*(caller+callers*i)))
				}
			})
		}
	}
	time.Sleep(slowAnswer * 3 / 2)
	f.paths[0].set(pathResets)
	f.paths[1].set(pathResets)
	calling.Wait()
}

// slowAnswer is how long slow upstreams take, so that many requests are in flight.
const slowAnswer = time.Second

func TestUpstreamsThatSomeRoutersCantReachAreUsedByTheOthers(t *testing.T) {
	// Guards: routers without a path report broken connections as failures of all upstreams, and
	// the others avoid upstreams that answer them.
	f := startFleet(t, startUpstreams(t, 4, slowAnswer)...)
	f.cutInFlight(func(n int) string { return fmt.Sprint("/", n) })
	assert.Equal(t, f.lines[2].count(`"event":"upstream-avoided"`), 0)
	assert.Equal(t, f.lines[2].count(`"last-resort"`), 0)
	assert.Equal(t, f.lines[2].count(`"passed_over"`), 0)
	f.stop(t)
}

func TestRequestsOfALostPathAreNotQuarantined(t *testing.T) {
	// Guards: requests of the same content are on three connections that break with the paths of
	// two routers, and all routers refuse them as if they crashed upstreams.
	f := startFleet(t, startUpstreams(t, 4, slowAnswer)...)
	f.cutInFlight(func(n int) string { return fmt.Sprint("/", n%4) })
	for i := range f.routers {
		assert.Equal(t, f.lines[i].count(`"event":"request-condemned"`), 0, "router %d", i)
	}
	f.stop(t)
}

func TestPlannedStopOfAProxyCutsNoAnswer(t *testing.T) {
	// Guards: a router that sends requests for others stops as planned and cuts their answers.
	f := startFleet(t, startUpstreams(t, 4, quickAnswer)...)
	f.paths[0].set(pathResets)
	f.routers[0].eventually("the router is isolated", func() bool {
		f.routers[0].callFor(50 * time.Millisecond)
		return f.routers[0].router.isIsolated()
	})
	f.routers[0].callFor(300 * time.Millisecond)
	sent, served := make(chan int, 1), make(chan int, 1)
	go func() {
		s, ok := f.routers[0].callFor(3 * time.Second)
		sent <- s
		served <- ok
	}()
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, f.routers[1].router.Stop())
	assert.Equal(t, <-served, <-sent)
	assert.Assert(t, f.lines[1].count(`"event":"proxied"`) > 0)
	f.routers = []*rig{f.routers[0], f.routers[2]}
	f.stop(t)
}

func TestProxiesLearnWhatUpstreamsWantFromOthersRequestsToo(t *testing.T) {
	// Guards: an upstream that wants no requests for a while says so to a request that a router
	// sends for another one, and gets the next ones of both.
	upstream := &busyUpstream{retryAfter: 2 * time.Second}
	f := startFleet(t, append(startUpstreams(t, 3, quickAnswer), upstream.start(t))...)
	f.paths[0].set(pathResets)
	f.routers[0].eventually("the router is isolated", func() bool {
		f.routers[0].callFor(20 * time.Millisecond)
		return f.routers[0].router.isIsolated()
	})
	f.routers[0].callFor(3 * time.Second)
	assert.Assert(t, f.lines[1].count(`"event":"proxied"`)+f.lines[2].count(`"event":"proxied"`) > 0)
	upstream.mu.Lock()
	assert.Assert(t, len(upstream.arrivals) > 0)
	upstream.mu.Unlock()
	early := upstream.early()
	const proxies, allowed = 2, 2
	assert.Assert(t, early <= proxies*allowed, "%d requests reached the upstream before its Retry-After had passed", early)
	f.stop(t)
}

func TestIsolatedRouterAsksForNoAnnouncements(t *testing.T) {
	// Guards: upstreams are told to announce themselves to a router that they can't reach, wait a
	// second for its answer each time, and call a disk VM after all.
	f := startFleet(t, startUpstreams(t, 4, quickAnswer)...)
	r := f.routers[0]
	announced := func() string {
		f.diskVM.mu.Lock()
		defer f.diskVM.mu.Unlock()
		return f.diskVM.announceAddresses[r.router.options.Settings.Self()]
	}
	assert.Equal(t, announced(), r.settings.Listen.Announcements)
	f.paths[0].set(pathResets)
	r.eventually("the router asks for none", func() bool {
		r.callFor(50 * time.Millisecond)
		return announced() == ""
	})
	f.paths[0].set(pathOpen)
	r.eventually("the router asks for them again", func() bool { return announced() == r.settings.Listen.Announcements })
	f.stop(t)
}

// isIsolated reports whether a router has no path to upstreams.
func (r *Router) isIsolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paths.IsIsolated()
}

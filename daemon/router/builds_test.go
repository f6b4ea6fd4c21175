package router

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/builds"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// The events of a stream in these tests, and how many its first upstream or its caller gets
// before it breaks off.
const (
	streamEvents = 6
	brokenAfter  = 3
)

// eventGap is the time between two events.
const eventGap = 2 * time.Millisecond

// startBuilds starts two upstreams of each build. Each event holds the upstream's build, and no
// upstream checks where a stream began. Paths that end with "breaks" break off in a stream's first
// answer.
func startBuilds(t *testing.T, builds ...string) []roster.Entry {
	var entries []roster.Entry
	for _, build := range builds {
		for range 2 {
			id := protocol.UpstreamID(fmt.Sprint("u", len(entries)+1))
			server := httptest.NewServer(streamsOf(build))
			t.Cleanup(server.Close)
			entries = append(entries, roster.Entry{
				ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Build: build, State: roster.Ready, Sequence: 1,
			})
		}
	}
	return entries
}

// streamsOf answers with the events after the caller's last one.
func streamsOf(build string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("T-Id", r.Header.Get("T-Id"))
		w.Header().Set("T-Signed", "yes")
		last, _ := strconv.Atoi(r.Header.Get("T-Last")) // 0 if there is none
		for id := last + 1; id <= streamEvents; id++ {
			if last == 0 && id > brokenAfter && strings.HasSuffix(r.URL.Path, "breaks") {
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, build)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(eventGap)
		}
	}
}

// streamCall is a caller's request for a stream.
type streamCall struct {
	path, id string
	// last and resumes are set if the caller takes a stream up again.
	last    int
	resumes string
	// leaveAfter is after how many events the caller closes its connection, 0 for never.
	leaveAfter int
}

// received is what a caller got.
type received struct {
	status int
	// builds are those of the events, in their order.
	builds []string
	whole  bool
}

// stream sends a request for a stream and reads the events.
func (r *rig) stream(call streamCall) received {
	r.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+r.settings.Listen.Callers+"/stream/"+call.path, strings.NewReader(call.id))
	assert.NilError(r.t, err)
	request.Host = "h"
	request.Header.Set("T-Id", call.id)
	if call.last > 0 {
		request.Header.Set("T-Last", strconv.Itoa(call.last))
	}
	if call.resumes != "" {
		request.Header.Set("T-Resumes", call.resumes)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return received{}
	}
	defer func() { _ = response.Body.Close() }()
	got := received{status: response.StatusCode}
	lines := bufio.NewReader(response.Body)
	for call.leaveAfter == 0 || len(got.builds) < call.leaveAfter {
		line, err := lines.ReadString('\n')
		if err != nil {
			got.whole = err == io.EOF && call.last+len(got.builds) == streamEvents
			break
		}
		if build, is := strings.CutPrefix(strings.TrimSpace(line), "data: "); is {
			got.builds = append(got.builds, build)
		}
	}
	return got
}

// mixed reports whether events are of more than one build.
func mixed(builds ...string) bool {
	for _, build := range builds {
		if build != builds[0] {
			return true
		}
	}
	return false
}

// startFleetOf starts three routers before two upstreams of each build.
func startFleetOf(t *testing.T, builds ...string) *testFleet {
	entries := startBuilds(t, builds...)
	return startFleetListing(t, func(address string) *diskVM { return startDiskVMListing(t, address, entries) })
}

// streamsTried is how many streams a test breaks off.
const streamsTried = 40

func TestBrokenStreamGoesOnAtItsBuild(t *testing.T) {
	// Guards: an upstream breaks a stream off, and its router goes on with it at an upstream that
	// runs another version of the software.
	f := startFleetOf(t, "v1", "v2")
	mixedStreams, whole := 0, 0
	for i := range streamsTried {
		got := f.routers[i%len(f.routers)].stream(streamCall{path: "breaks", id: fmt.Sprint("a", i)})
		if mixed(got.builds...) {
			mixedStreams++
		}
		if got.whole {
			whole++
		}
	}
	assert.Check(t, mixedStreams == 0, "%d of %d streams hold events of two builds", mixedStreams, streamsTried)
	assert.Check(t, 2*whole >= streamsTried, "%d of %d streams went on", whole, streamsTried)
	f.stop(t)
}

// begin begins streams at the routers in turn and returns the build of each.
func (f *testFleet) begin(t *testing.T) []string {
	var begun []string
	for i := range streamsTried {
		got := f.routers[i%len(f.routers)].stream(streamCall{id: fmt.Sprint("a", i), leaveAfter: brokenAfter})
		assert.Equal(t, len(got.builds), brokenAfter)
		begun = append(begun, got.builds[0])
	}
	return begun
}

// takeUp takes begun streams up again at one router for each, and checks that they go on at their
// build, and that half of them or more go on.
func (f *testFleet) takeUp(t *testing.T, begun []string, at func(i int) *rig) {
	t.Helper()
	mixedStreams, whole := 0, 0
	for i, build := range begun {
		id := fmt.Sprint("a", i)
		got := at(i).stream(streamCall{id: id + "-again", last: brokenAfter, resumes: id})
		if mixed(append(got.builds, build)...) {
			mixedStreams++
		}
		if got.whole {
			whole++
		}
	}
	assert.Check(t, mixedStreams == 0, "%d of %d streams hold events of two builds", mixedStreams, len(begun))
	assert.Check(t, 2*whole >= len(begun), "%d of %d streams went on", whole, len(begun))
}

func TestCallersStreamGoesOnAtItsBuildOnAnyRouter(t *testing.T) {
	// Guards: a caller takes a stream up at another router, which doesn't know where it began and
	// goes on at an upstream that runs another version of the software.
	f := startFleetOf(t, "v1", "v2")
	f.takeUp(t, f.begin(t), func(i int) *rig { return f.routers[(i+1)%len(f.routers)] })
	f.stop(t)
}

func TestCallersStreamGoesOnAtItsBuildAfterItsRouterIsGone(t *testing.T) {
	// Guards: the router that began streams ends, or starts again, and nobody knows where they
	// began.
	f := startFleetOf(t, "v1", "v2")
	begun := f.begin(t)
	gone := f.routers[0]
	assert.Assert(t, gone.router.Stop())
	f.takeUp(t, begun, func(i int) *rig { return f.routers[1+i%2] })
	f.routers[0] = f.starts[0]()
	f.await()
	f.takeUp(t, begun, func(int) *rig { return f.routers[0] })
	f.stop(t)
}

func TestStreamGoesOnAtItsBuildThroughAProxy(t *testing.T) {
	// Guards: a router without a path to the upstreams goes on with a stream through another one,
	// at an upstream that runs another version of the software.
	f := startFleetOf(t, "v1", "v2")
	begun := f.begin(t)
	f.paths[0].set(pathResets)
	f.takeUp(t, begun, func(int) *rig { return f.routers[0] })
	f.paths[0].set(pathOpen)
	f.stop(t)
}

// takeUpUnknown takes a stream up of which nobody knows where it began.
func (r *rig) takeUpUnknown(id string) received {
	return r.stream(streamCall{id: id, last: brokenAfter, resumes: "never-seen-" + id})
}

func TestStreamOfUnknownOriginIsRefusedWhileThereAreTwoBuilds(t *testing.T) {
	// Guards: a router that doesn't know where a stream began goes on with it all the same, at
	// whichever build.
	f := startFleetOf(t, "v1", "v2")
	for _, call := range []streamCall{{id: "a", last: brokenAfter}, {id: "b", last: brokenAfter, resumes: "never-seen"}} {
		got := f.routers[0].stream(call)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
	}
	f.stop(t)
}

func TestStreamOfUnknownOriginGoesOnWhileThereIsOneBuild(t *testing.T) {
	// Guards: callers who don't name the attempt that began their stream, or whose routers are all
	// gone, are refused although there is nothing to mix.
	f := startFleetOf(t, "v1")
	for i, call := range []streamCall{{id: "a", last: brokenAfter}, {id: "b", last: brokenAfter, resumes: "never-seen"}} {
		got := f.routers[i].stream(call)
		assert.Assert(t, got.whole, "%v", got)
	}
	f.stop(t)
}

func TestStreamOfUnknownOriginIsRefusedByARouterOutOfTouch(t *testing.T) {
	// Guards: a router that no disk VM answers takes the only build that it has heard of for the
	// only one.
	f := startFleetOf(t, "v1")
	f.diskVM.fabric.Close()
	began := time.Now()
	got := f.routers[0].takeUpUnknown("a")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Check(t, time.Since(began) < 3*time.Second)
	assert.Equal(t, f.routers[0].stream(streamCall{id: "new"}).status, http.StatusOK, "streams begin all the same")
	f.stop(t)
}

func TestStreamsBeginOnlyAtBuildsThatAMajorityOfDiskVMsTellsOf(t *testing.T) {
	// Guards: a router begins streams at a build that one disk VM alone lists, and another one
	// takes the old build for the only one.
	f := startFleetOf(t, "v1", "v2")
	f.diskVM.mu.Lock()
	f.diskVM.builds = builds.NewSet()
	f.diskVM.builds.Restore(0, []builds.Pair{{Service: "s", Build: "v1"}})
	f.diskVM.mu.Unlock()
	router := f.routers[0].router
	f.routers[0].eventually("the router doubts the other build", func() bool {
		router.mu.Lock()
		defer router.mu.Unlock()
		router.builds.quorum.Ask(0)
		router.tickBuilds(router.now())
		return len(router.builds.doubted["s"]) == 1
	})
	for i := range streamsTried {
		got := f.routers[0].stream(streamCall{id: fmt.Sprint("a", i)})
		assert.Equal(t, got.builds[0], "v1")
	}
	f.stop(t)
}

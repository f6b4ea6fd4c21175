package router

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
)

// entriesOf returns the upstreams of a build.
func entriesOf(entries []roster.Entry, build string) []roster.Entry {
	var found []roster.Entry
	for _, e := range entries {
		if e.Build == build {
			found = append(found, e)
		}
	}
	return found
}

// restartAll ends all routers, lets the disk VM list other upstreams, and starts the routers again, with
// nothing of what they knew.
func (f *testFleet) restartAll(t *testing.T, listed []roster.Entry) {
	f.stop(t)
	f.diskVM.list(listed)
	for i, start := range f.starts {
		f.routers[i] = start()
	}
	f.await()
}

// checkNoneMixed takes begun streams up again at all routers in turn, and checks that each goes on at its
// build or is refused as not run.
func (f *testFleet) checkNoneMixed(t *testing.T, begun []string) {
	t.Helper()
	for i, build := range begun {
		id := fmt.Sprint("a", i)
		got := f.routers[i%len(f.routers)].stream(streamCall{id: id + "-again", last: brokenAfter, resumes: id})
		assert.Check(t, !mixed(append(got.builds, build)...), "stream %d of %s goes on with %v", i, build, got.builds)
		assert.Check(t, got.whole || got.status == http.StatusServiceUnavailable, "%+v", got)
	}
}

// Guards: all routers end at once while two versions of the software serve, or just after the servers of
// the old one have left, and the take-ups of streams are answered with the text of the other version.
func TestNoTakeUpIsAnsweredByAnotherBuildAfterAllRoutersWereLost(t *testing.T) {
	upstreams := startBuilds(t, "v1", "v2")
	before, after := entriesOf(upstreams, "v1"), entriesOf(upstreams, "v2")
	for name, tc := range map[string]struct{ begin, back []roster.Entry }{
		"two builds serve":                    {upstreams, upstreams},
		"the old build left with the routers": {upstreams, after},
		"the new build came with the routers": {before, upstreams},
		"one followed the other":              {before, after},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleetListing(t, func(address string) *diskVM { return startDiskVMListing(t, address, tc.begin) })
			begun := f.begin(t)
			f.restartAll(t, tc.back)
			f.checkNoneMixed(t, begun)
			assert.Check(t, f.routers[0].stream(streamCall{id: "new"}).whole, "new streams begin")
			f.stop(t)
		})
	}
}

package router

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/settings/direct"
	"endiveplank/transport/forward"
)

// stoppableClock is a router's clock that stands still once it is stopped.
type stoppableClock struct {
	started time.Time
	stopped atomic.Int64
}

// now returns the time since the start, or that at which the clock was stopped.
func (c *stoppableClock) now() time.Duration {
	if at := c.stopped.Load(); at != 0 {
		return time.Duration(at)
	}
	return time.Since(c.started)
}

// stoppedAt is when the routers' clocks stand still: long after the start.
const stoppedAt = time.Minute

// startChoosing starts a router that knows twelve upstreams with six slots each, and stops its
// clock. It draws the same random numbers each time.
func startChoosing(t *testing.T, admission direct.Admission) *rig {
	t.Helper()
	peers, clock := freePort(t), &stoppableClock{started: time.Now()}
	r := startRig(t, "127.0.0.1", peers, func(options *Options) {
		options.Settings.Admission, options.Now = admission, clock.now
	})
	var entries []roster.Entry
	for i := range 12 {
		entries = append(entries, roster.Entry{
			ID: protocol.UpstreamID(fmt.Sprint("u", i)), Service: "s", Address: "127.0.0.1:1", State: roster.Ready, Sequence: 1, Slots: 6,
			DataCentre: protocol.DataCentre(fmt.Sprint("dc", i%3)),
		})
	}
	startDiskVMListing(t, fmt.Sprintf("127.0.0.2:%d", peers), entries)
	r.eventually("the router is ready", r.ready)
	r.router.mu.Lock()
	clock.stopped.Store(int64(stoppedAt))
	r.router.random = rand.New(rand.NewPCG(5, 6))
	r.router.mu.Unlock()
	return r
}

// chooser makes the same choices on any router.
type chooser struct {
	random *rand.Rand
	routes []forward.Job
}

func newChooser(r *rig) *chooser {
	table := r.router.Table().Table()
	sticky := table.Routes[0]
	sticky.Sticky = true
	return &chooser{random: rand.New(rand.NewPCG(7, 8)), routes: []forward.Job{
		{Service: "s", Route: &table.Routes[0], Customer: "acme"},
		{Service: "s", Route: &sticky, Prompt: &dialect.Prompt{Parts: []dialect.Part{{Key: 1}, {Key: 2}}}},
	}}
}

// next returns the next request. Some were sent before.
func (c *chooser) next() forward.Job {
	job := c.routes[c.random.IntN(len(c.routes))]
	job.Priority, job.Digest, job.Remaining = c.random.IntN(4), c.random.Uint64(), time.Second
	if c.random.IntN(10) == 0 {
		job.Tried, job.Attempts = []protocol.UpstreamID{"u3"}, 1
	}
	return job
}

// choosesAsBefore is the hash of the choices that a router made before there was admission.
const choosesAsBefore = "11852121088056078235"

func TestChoicesWithoutAdmissionAreAsBefore(t *testing.T) {
	// Guards: a router whose settings don't switch admission on chooses other upstreams than before
	// there was admission.
	r := startChoosing(t, direct.Defaults().Admission)
	requests, hash := newChooser(r), fnv.New64a()
	var inFlight []balance.Choice
	for range 400 {
		job := requests.next()
		choice := r.router.Choose(t.Context(), job)
		_, _ = fmt.Fprintln(hash, choice.ID, choice.Reason, choice.Load, choice.Limit)
		inFlight = append(inFlight, choice)
		if len(inFlight) > 40 {
			r.router.AttemptEnded(job, inFlight[0], balance.Served)
			inFlight = inFlight[1:]
		}
	}
	assert.Equal(t, fmt.Sprint(hash.Sum64()), choosesAsBefore)
	assert.Assert(t, r.router.Stop())
}

func TestChoicesWhileNoServiceIsShortAreAsWithoutAdmission(t *testing.T) {
	// Guards: admission changes choices of services that aren't short of capacity, as by numbers
	// that it draws.
	without, with := startChoosing(t, direct.Defaults().Admission), startChoosing(t, direct.Admission{Enabled: true, Floor: 0.3})
	requests := newChooser(without)
	refused := 0
	for range 20 {
		for _, r := range []*rig{without, with} {
			r.router.AnswerTimed(requests.routes[0], balance.Choice{Load: 3}, true)
			r.router.AnswerTimed(requests.routes[0], balance.Choice{Load: 30}, false)
		}
	}
	for range 1000 {
		job := requests.next()
		want, got := without.router.Choose(t.Context(), job), with.router.Choose(t.Context(), job)
		assert.DeepEqual(t, got, want)
		_, limited := with.router.ScheduleRetry(job)
		assert.Assert(t, !limited)
		if want.ID == "" {
			refused++
		}
	}
	assert.Assert(t, refused > 100, "the load limit refuses as before: %d", refused)
	assert.Assert(t, without.router.Stop())
	assert.Assert(t, with.router.Stop())
}

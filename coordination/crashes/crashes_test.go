package crashes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestARequestThatCrashesUpstreamsIsRefusedEverywhere(t *testing.T) {
	// One request crashes whatever runs it. Its caller sends it again under
	// other names and through other routers, and the fleet loses an upstream
	// each time. After the third crash, told by whatever router, all refuse it.
	r := New(DefaultSettings())
	now := time.Hour
	assert.Assert(t, !r.Note(now, Crash{Digest: 7, Attempt: 1}))
	assert.Assert(t, !r.Note(now, Crash{Digest: 7, Attempt: 1}), "one crash told twice counts once")
	assert.Assert(t, !r.Note(now+time.Second, Crash{Digest: 7, Attempt: 2}))
	assert.Assert(t, !r.Condemned(now+time.Second, 7))
	assert.Assert(t, r.Note(now+2*time.Second, Crash{Digest: 7, Attempt: 3}))
	assert.Assert(t, r.Condemned(now+3*time.Second, 7))
	assert.Assert(t, !r.Condemned(now+3*time.Second, 8))
	assert.Assert(t, !r.Condemned(now+2*time.Minute, 7), "an upstream that was mended must get it again")
}

func TestMemoryIsBounded(t *testing.T) {
	// The way to an upstream breaks again and again under heavy load. The
	// record must not grow with every request that was under way.
	settings := DefaultSettings()
	r := New(settings)
	for i := range uint64(3 * settings.Most) {
		r.Note(time.Duration(i), Crash{Digest: i, Attempt: i})
	}
	assert.Assert(t, len(r.suspects) <= settings.Most)
	assert.Assert(t, r.suspects[uint64(3*settings.Most)-1] != nil, "the newest is kept")
}

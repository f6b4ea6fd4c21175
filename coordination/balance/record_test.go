package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// warmedUp returns a router's Balancer after forty requests of each prompt, half-way
// through which a third of the engines joined, and the record of a disk VM.
func warmedUp(engines, prompts int) (*Balancer, *CacheHolderRecord) {
	b, record, random := newBalancer(engines*2/3), NewCacheHolderRecord(), seeded()
	var inFlight []protocol.UpstreamID
	for i := range 40 * prompts {
		if i == 20*prompts {
			b.SetRoster(entries(engines))
		}
		choice := pickAnswered(b, now, random, prompt(uint64(i%prompts)*7919))
		b.Started(choice.ID)
		inFlight = append(inFlight, choice.ID)
		if len(inFlight) > 3*engines {
			at := random.IntN(len(inFlight))
			b.Ended(now, inFlight[at], Served)
			inFlight = append(inFlight[:at], inFlight[at+1:]...)
		}
		record.Add(now, b.TakeUnrecorded())
	}
	for _, id := range inFlight {
		b.Ended(now, id, Served)
	}
	return b, record
}

// holderShare returns the share of the prompts that a router sends, one after the other, to
// an engine that another router's Balancer considers a cache holder.
func holderShare(b, reference *Balancer, prompts int) float64 {
	cached := 0
	for i := range prompts {
		key := uint64(i) * 7919
		choice := pickAnswered(b, now, seeded(), prompt(key))
		for _, u := range holders(reference, now, key) {
			if u.entry.ID == choice.ID {
				cached++
			}
		}
	}
	return float64(cached) / float64(prompts)
}

func TestRestartedRouterSendsPromptsToCacheHolders(t *testing.T) {
	// Guards: after a restart, engines prefill prompts that other engines still have
	// cached. All VMs lose power, the engines run on, and the callers come back at once.
	const engines, prompts = 18, 220
	before, record := warmedUp(engines, prompts)
	unrestored := newBalancer(engines)
	restored := newBalancer(engines)
	restored.RestoreCacheHolders(now, record.Newest(now))
	without, with := holderShare(unrestored, before, prompts), holderShare(restored, before, prompts)
	assert.Assert(t, without < 0.8, "%.2f", without)
	assert.Assert(t, with > 0.97, "%.2f", with)
}

func TestRestoredHoldersWaitForTheRosterAndYieldToUpdates(t *testing.T) {
	// Guards: a disk VM's cache holders are lost or replace newer ones. They arrive
	// before its roster, and name an engine that is gone. Meanwhile other routers have
	// announced a newer holder.
	b := NewBalancer(Settings{Multiple: 2, Slack: 3})
	b.RestoreCacheHolders(now, []CachedPrefix{{Prefix: 1, ID: ShortIDOf("u01")}, {Prefix: 2, ID: ShortIDOf("u01")}, {Prefix: 3, ID: ShortIDOf("gone")}})
	b.SetRoster(entries(3))
	assert.Equal(t, b.Pick(now, seeded(), prompt(1)).ID, protocol.UpstreamID("u01"))
	assert.Equal(t, b.Pick(now, seeded(), prompt(1)).Reason, ReasonCacheHolder)
	b.applyCached(now, []CachedPrefix{{Prefix: 5, ID: ShortIDOf("u02")}})
	b.RestoreCacheHolders(now, []CachedPrefix{{Prefix: 5, ID: ShortIDOf("u00")}})
	assert.Equal(t, b.Pick(now, seeded(), prompt(5)).ID, protocol.UpstreamID("u02"))
	assert.Equal(t, len(b.restored), 1)
	b.Expire(now + 2*restoredTTL)
	assert.Equal(t, len(b.restored), 0)
}

func TestRecordIsBoundedAndExpires(t *testing.T) {
	// Guards: a disk VM's record grows with every prompt, or gives out expired cache
	// holders.
	r := NewCacheHolderRecord()
	for i := range 3 * maxPrefixes {
		r.Add(now, []CachedPrefix{{Prefix: uint64(i), ID: 1}})
	}
	assert.Assert(t, len(r.prefixes) <= maxPrefixes)
	assert.Equal(t, len(r.Newest(now)), maxRestored)
	assert.Equal(t, len(r.Newest(now+holderTTL+1)), 0)
}

func TestRecordSurvivesARestart(t *testing.T) {
	// Guards: a disk VM's record is lost or loses its ages when the process restarts.
	r := NewCacheHolderRecord()
	r.Add(now-10*time.Second, []CachedPrefix{{Prefix: 1, ID: 11}})
	r.Add(now-time.Second, []CachedPrefix{{Prefix: 2, ID: 12}})
	var entries []AgedPrefix
	assert.NilError(t, codec.Unmarshal(codec.MarshalArrays(r.Entries(now)), &entries))
	again := NewCacheHolderRecord()
	again.Restore(time.Second, entries)
	assert.DeepEqual(t, again.Newest(time.Second), []CachedPrefix{{Prefix: 2, ID: 12}, {Prefix: 1, ID: 11}})
	assert.DeepEqual(t, again.Newest(maxRestoredAge-5*time.Second), []CachedPrefix{{Prefix: 2, ID: 12}})
	assert.Equal(t, len(again.Entries(maxRestoredAge-5*time.Second)), 2)
}

func TestCacheHolderListPacksAndUnpacks(t *testing.T) {
	// Guards: a packed list is read back wrongly, or an incomplete entry at its end is
	// used.
	cached := []CachedPrefix{{Prefix: 1 << 63, ID: 1 << 31}, {Prefix: 2, ID: 3}}
	packed := NewCacheHolderList(cached)
	assert.DeepEqual(t, packed.Unpack(), cached)
	packed.Packed = packed.Packed[:entryBytes+5]
	assert.DeepEqual(t, packed.Unpack(), cached[:1])
}

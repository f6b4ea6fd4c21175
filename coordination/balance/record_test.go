package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// warmed returns a router's book after some seconds of prompts, in which a third of
// the engines have joined, and what a disk VM was told of them.
func warmed(engines, prompts int) (*Book, *KeeperRecord) {
	b, record, random := newBook(engines*2/3), NewKeeperRecord(), seeded()
	var flights []protocol.UpstreamID
	for i := range 40 * prompts {
		if i == 20*prompts {
			b.SetRoster(entries(engines))
		}
		made := pickAnswered(b, now, random, prompt(uint64(i%prompts)*7919))
		b.Started(made.ID)
		flights = append(flights, made.ID)
		if len(flights) > 3*engines {
			at := random.IntN(len(flights))
			b.Ended(now, flights[at], Served)
			flights = append(flights[:at], flights[at+1:]...)
		}
		record.Note(now, b.Unrecorded())
	}
	for _, id := range flights {
		b.Ended(now, id, Served)
	}
	return b, record
}

// keptShare returns the share of the prompts that a router sends, one after the
// other, to an engine that another router's book knows as a keeper.
func keptShare(b, knows *Book, prompts int) float64 {
	kept := 0
	for i := range prompts {
		key := uint64(i) * 7919
		made := pickAnswered(b, now, seeded(), prompt(key))
		for _, u := range knows.keepersOf(now, key, knows.services["s"]) {
			if u.entry.ID == made.ID {
				kept++
			}
		}
	}
	return float64(kept) / float64(prompts)
}

func TestARouterThatStartsSendsPromptsWhereTheyAreKept(t *testing.T) {
	// All VMs lose power and the engines run on. The callers come back at once, and
	// wait while engines read prompts that other engines still keep.
	const engines, prompts = 18, 220
	before, record := warmed(engines, prompts)
	blind := newBook(engines)
	told := newBook(engines)
	told.RecallKeepers(now, record.Newest(now))
	without, with := keptShare(blind, before, prompts), keptShare(told, before, prompts)
	assert.Assert(t, without < 0.8, "%.2f", without)
	assert.Assert(t, with > 0.97, "%.2f", with)
}

func TestWhatIsRecollectedWaitsForTheListOfUpstreamsAndGivesWayToNews(t *testing.T) {
	// A disk VM's word on prompts comes before its list of upstreams, and names an
	// engine that is gone. Other routers have told of a newer keeper meanwhile.
	b := NewBook(Settings{Multiple: 2, Slack: 3})
	b.RecallKeepers(now, []Kept{{Prompt: 1, ID: shortOf("u01")}, {Prompt: 2, ID: shortOf("u01")}, {Prompt: 3, ID: shortOf("gone")}})
	b.SetRoster(entries(3))
	assert.Equal(t, b.Pick(now, seeded(), prompt(1)).ID, protocol.UpstreamID("u01"))
	assert.Equal(t, b.Pick(now, seeded(), prompt(1)).Reason, ReasonKeeper)
	b.takeKept(now, []Kept{{Prompt: 5, ID: shortOf("u02")}})
	b.RecallKeepers(now, []Kept{{Prompt: 5, ID: shortOf("u00")}})
	assert.Equal(t, b.Pick(now, seeded(), prompt(5)).ID, protocol.UpstreamID("u02"))
	assert.Equal(t, len(b.recalled), 1)
	b.Expire(now + 2*recalledFor)
	assert.Equal(t, len(b.recalled), 0)
}

func TestARecordIsBoundedAndForgets(t *testing.T) {
	r := NewKeeperRecord()
	for i := range 3 * mostPrompts {
		r.Note(now, []Kept{{Prompt: uint64(i), ID: 1}})
	}
	assert.Assert(t, len(r.prompts) <= mostPrompts)
	assert.Equal(t, len(r.Newest(now)), mostRecalled)
	assert.Equal(t, len(r.Newest(now+keeperLife+1)), 0)
}

func TestARecordOutlivesItsProcess(t *testing.T) {
	r := NewKeeperRecord()
	r.Note(now-10*time.Second, []Kept{{Prompt: 1, ID: 11}})
	r.Note(now-time.Second, []Kept{{Prompt: 2, ID: 12}})
	var entries []RememberedKeeper
	assert.NilError(t, codec.Unmarshal(codec.MarshalArrays(r.Entries(now)), &entries))
	again := NewKeeperRecord()
	again.Recall(time.Second, entries)
	assert.DeepEqual(t, again.Newest(time.Second), []Kept{{Prompt: 2, ID: 12}, {Prompt: 1, ID: 11}})
	assert.DeepEqual(t, again.Newest(recalledLife-5*time.Second), []Kept{{Prompt: 2, ID: 12}})
	assert.Equal(t, len(again.Entries(recalledLife-5*time.Second)), 2)
}

func TestKeepsTravelPacked(t *testing.T) {
	kept := []Kept{{Prompt: 1 << 63, ID: 1 << 31}, {Prompt: 2, ID: 3}}
	packed := NewKeeperList(kept)
	assert.DeepEqual(t, packed.Kept(), kept)
	packed.Packed = packed.Packed[:keptBytes+5]
	assert.DeepEqual(t, packed.Kept(), kept[:1])
}

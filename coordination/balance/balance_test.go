package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const now = time.Hour

func entries(n int) []roster.Entry {
	var list []roster.Entry
	for i := range n {
		list = append(list, roster.Entry{
			ID: protocol.UpstreamID(fmt.Sprintf("u%02d", i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i),
			State: roster.Ready, DataCentre: protocol.DataCentre(fmt.Sprint("dc", i%3)),
		})
	}
	return list
}

func newBook(upstreams int) *Book {
	b := NewBook(Settings{Multiple: 2, Slack: 3, DataCentre: "dc0"})
	b.SetRoster(entries(upstreams))
	return b
}

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func plain() Request { return Request{Service: "s"} }

func prompt(key uint64) Request { return Request{Service: "s", Prompt: key, HasPrompt: true} }

func TestLoadsOfOtherRoutersAreAddedAndLapse(t *testing.T) {
	// A router sends ten requests and dies. Its requests must count while it
	// lives, and not for ever.
	a, b := newBook(3), newBook(3)
	for range 10 {
		a.Started("u01")
	}
	loads, any := a.OwnLoads(false)
	assert.Assert(t, any)
	b.TakeLoads(now, "a", loads)
	load, _ := b.Load("u01")
	assert.Equal(t, load, 10)

	_, any = a.OwnLoads(false)
	assert.Assert(t, !any, "nothing has changed since")
	a.Ended(now, "u01", Served)
	loads, _ = a.OwnLoads(false)
	b.TakeLoads(now, "a", loads)
	b.TakeLoads(now, "a", loads)
	load, _ = b.Load("u01")
	assert.Equal(t, load, 9, "told twice, counted once")

	assert.DeepEqual(t, b.Expire(now+loadsLife+1), []protocol.RouterID{"a"})
	load, _ = b.Load("u01")
	assert.Equal(t, load, 0)
}

func TestALostMessageIsMadeUpForByWholeLoads(t *testing.T) {
	a, b := newBook(3), newBook(3)
	a.Started("u01")
	a.Started("u02")
	loads, _ := a.OwnLoads(false)
	b.TakeLoads(now, "a", loads)
	a.Ended(now, "u01", Served)
	a.OwnLoads(false) // lost on the way
	whole, any := a.OwnLoads(true)
	assert.Assert(t, any)
	b.TakeLoads(now, "a", whole)
	load, _ := b.Load("u01")
	assert.Equal(t, load, 0)
	load, _ = b.Load("u02")
	assert.Equal(t, load, 1)
}

func TestPlainRequestsGoToTheLeastLoaded(t *testing.T) {
	b := newBook(3)
	random := seeded()
	assert.Equal(t, b.Pick(now, random, plain()).ID, protocol.UpstreamID("u00"), "in the own data centre among equals")
	b.Started("u00")
	b.Started("u01")
	assert.Equal(t, b.Pick(now, random, plain()).ID, protocol.UpstreamID("u02"))
	tried := plain()
	tried.Tried = []protocol.UpstreamID{"u02"}
	assert.Equal(t, b.Pick(now, random, tried).ID, protocol.UpstreamID("u00"))
}

func TestUpstreamsThatLeaveGetNothingNew(t *testing.T) {
	b := newBook(2)
	list := entries(2)
	list[0].State = roster.Draining
	changed := b.SetRoster(list)
	assert.Equal(t, len(changed), 1)
	for range 20 {
		assert.Equal(t, b.Pick(now, seeded(), plain()).ID, protocol.UpstreamID("u01"))
	}
	list[1].State = roster.Gone
	b.SetRoster(list)
	assert.Equal(t, b.Pick(now, seeded(), plain()).Reason, ReasonNone)
}

func TestAnUpstreamThatFailsPartOfItsRequestsIsFoundByAllTogether(t *testing.T) {
	// One of three upstreams fails half of its requests and its health check is
	// good. Each of nine routers sees one request of it a second, too few to
	// judge; together they see it within a second.
	books := make([]*Book, 9)
	for i := range books {
		books[i] = newBook(3)
	}
	at := now
	for step := range 10 {
		for i, b := range books {
			id := protocol.UpstreamID(fmt.Sprintf("u%02d", (i+step)%3))
			b.Started(id)
			result := Served
			if id == "u01" && (i+step)%2 == 0 {
				result = Failed
			}
			b.Ended(at, id, result)
		}
		for i, b := range books {
			loads, _ := b.OwnLoads(false)
			for j, other := range books {
				if j != i {
					other.TakeLoads(at, protocol.RouterID(fmt.Sprint(i)), loads)
				}
			}
		}
		at += 100 * time.Millisecond
	}
	for _, b := range books {
		for range 20 {
			assert.Assert(t, b.Pick(at, seeded(), plain()).ID != "u01")
		}
	}
}

func TestWhatIsBelievedOfAnUpstreamIsToldOnceEachTime(t *testing.T) {
	// An upstream crashes without a word. Whoever reads the logs of a lost request
	// has to find that its router left the upstream alone, by what, and since when
	// it no longer does. Refusals of a full one aren't told: they pass in 100 ms.
	b := newBook(3)
	b.Ended(now, "u00", Refused)
	assert.Equal(t, len(b.Judgements(now)), 0)
	for range 3 {
		b.Ended(now, "u01", Failed)
	}
	b.Ended(now, "u02", Unreachable)
	told := b.Judgements(now)
	assert.Equal(t, len(told), 2)
	assert.Equal(t, told[0], Judgement{ID: "u01", Avoided: true, Failed: 3})
	assert.Equal(t, told[1], Judgement{ID: "u02", Avoided: true, Failed: 1, Alone: unreachableFor})
	assert.Equal(t, len(b.Judgements(now+time.Millisecond)), 0)

	told = b.Judgements(now + unreachableFor)
	assert.Equal(t, len(told), 2)
	for _, judgement := range told {
		assert.Assert(t, !judgement.Avoided, "%+v", judgement)
	}
	assert.Equal(t, len(b.Judgements(now+time.Second)), 0)
}

func TestAServiceThatFailsOneInSevenIsNotJudged(t *testing.T) {
	// One request in seven fails on every upstream, as this service does. None
	// of them is worse than the others, and none may be left out for long.
	b := newBook(3)
	random := seeded()
	out := 0
	at := now
	for range 3000 {
		at += 30 * time.Millisecond
		choice := b.Pick(at, random, plain())
		b.Started(choice.ID)
		result := Served
		if random.IntN(7) == 0 {
			result = Failed
		}
		b.Ended(at, choice.ID, result)
		list, _ := b.usable(at, plain())
		out += 3 - len(list)
	}
	assert.Assert(t, out < 3*3000/50, "left out %d of %d times", out, 3*3000)
}

func TestABadJudgementNeverEmptiesTheSet(t *testing.T) {
	// The network fails for some seconds and with it all upstreams. Left out
	// for that, there would be nobody to send to when it is well again.
	b := newBook(3)
	for _, u := range []protocol.UpstreamID{"u00", "u01", "u02"} {
		for range 10 {
			b.Started(u)
			b.Ended(now, u, Unreachable)
		}
	}
	choice := b.Pick(now, seeded(), plain())
	assert.Assert(t, choice.ID != "")
	assert.Equal(t, choice.Reason, ReasonLastResort)
}

func TestAnUnreachableUpstreamIsLeftAloneLongerEachTime(t *testing.T) {
	b := newBook(2)
	alone := func(at time.Duration) bool {
		list, _ := b.usable(at, plain())
		return !slices.ContainsFunc(list, func(u *upstream) bool { return u.entry.ID == "u00" })
	}
	b.Started("u00")
	b.Ended(now, "u00", Unreachable)
	assert.Assert(t, alone(now+unreachableFor-1))
	assert.Assert(t, !alone(now+unreachableFor))
	b.Started("u00")
	b.Ended(now+unreachableFor, "u00", Unreachable)
	assert.Assert(t, alone(now+2*unreachableFor))
	b.Started("u00")
	b.Ended(now+4*unreachableFor, "u00", Served)
	assert.Assert(t, !alone(now+4*unreachableFor))
}

// pickAnswered picks the engine of a prompt, which begins to answer it at once.
func pickAnswered(b *Book, at time.Duration, random *rand.Rand, r Request) Choice {
	made := b.Pick(at, random, r)
	b.Keeps(at, made.ID, r.Prompt, r.Beginnings)
	return made
}

func TestAPromptGoesWhereItsBeginningIsKept(t *testing.T) {
	// Reading ten thousand tokens again takes a fifth of a second of an
	// engine's time; every router has to find the engine that has read them.
	a, b := newBook(12), newBook(12)
	first := pickAnswered(a, now, seeded(), prompt(7))
	assert.Equal(t, first.CopyFrom, "")
	a.Started(first.ID)
	loads, _ := a.OwnLoads(false)
	b.TakeLoads(now, "a", loads)
	second := pickAnswered(b, now, seeded(), prompt(7))
	assert.Equal(t, second.ID, first.ID)
	assert.Equal(t, second.Reason, ReasonKeeper)
	assert.Equal(t, second.CopyFrom, "")
}

func TestAPromptInDemandIsCopiedAndNotReadAgain(t *testing.T) {
	// A third of all requests begin alike. Their engine has its fill, and the
	// next one copies the beginning from it.
	b := newBook(12)
	first := pickAnswered(b, now, seeded(), prompt(7))
	for range 10 {
		b.Started(first.ID)
	}
	next := pickAnswered(b, now, seeded(), prompt(7))
	assert.Assert(t, next.ID != first.ID)
	assert.Equal(t, next.CopyFrom, first.Address)
	again := pickAnswered(b, now, seeded(), prompt(7))
	assert.Equal(t, again.ID, next.ID)
	assert.Equal(t, again.CopyFrom, "", "it keeps it by now")
}

// Guards: an engine that failed a prompt unread is taken for its keeper by this router
// and all others.
func TestAnEngineThatFailedAPromptUnreadKeepsNothing(t *testing.T) {
	b := newBook(12)
	kept := pickAnswered(b, now, seeded(), prompt(7))
	for range 10 {
		b.Started(kept.ID)
	}
	failed := b.Pick(now, seeded(), prompt(7))
	assert.Assert(t, failed.ID != kept.ID)
	assert.Equal(t, b.Pick(now, seeded(), prompt(7)).ID, failed.ID, "while it may be reading it")
	told := len(b.keepers.news)
	b.NotKept(failed.ID, 7)
	b.NotKept(kept.ID, 7)
	assert.Equal(t, b.Pick(now, seeded(), prompt(7)).CopyFrom, kept.Address, "the other one has read it")
	assert.Equal(t, len(b.keepers.news), told)

	b.NotKept(b.Pick(now, seeded(), prompt(8)).ID, 8)
	assert.Equal(t, len(b.keepers.prompts[8]), 0)
}

// Guards: an engine is asked for what it is still reading.
func TestNothingIsCopiedFromAnEngineThatStillReads(t *testing.T) {
	b := newBook(12)
	first := b.Pick(now, seeded(), prompt(7))
	for range 10 {
		b.Started(first.ID)
	}
	assert.Equal(t, b.Pick(now, seeded(), prompt(7)).CopyFrom, "")
	b.Keeps(now, first.ID, 7, nil)
	assert.Equal(t, b.Pick(now, seeded(), prompt(7)).CopyFrom, first.Address)
}

func TestALeavingEngineIsCopiedFromWhileItIsThere(t *testing.T) {
	b := newBook(12)
	first := pickAnswered(b, now, seeded(), prompt(7))
	list := entries(12)
	at := slices.IndexFunc(list, func(e roster.Entry) bool { return e.ID == first.ID })
	list[at].State = roster.Draining
	b.SetRoster(list)
	next := pickAnswered(b, now, seeded(), prompt(7))
	assert.Assert(t, next.ID != first.ID)
	assert.Equal(t, next.CopyFrom, first.Address)
	list[at].State = roster.Gone
	b.SetRoster(list)
	other := pickAnswered(b, now, seeded(), prompt(7))
	assert.Equal(t, other.CopyFrom, "")
}

func TestAnEngineThatStartedAnewKeepsNothing(t *testing.T) {
	// An engine crashes and starts again under its name. What it kept is gone;
	// copied from it, a prompt would be read whole after a vain question.
	b := newBook(2)
	first := pickAnswered(b, now, seeded(), prompt(7))
	list := entries(2)
	at := slices.IndexFunc(list, func(e roster.Entry) bool { return e.ID == first.ID })
	list[at].StartedAt = 99
	b.SetRoster(list)
	assert.Equal(t, len(b.keepersOf(now, 7, b.services["s"])), 0)
}

func TestMemoryOfPromptsIsBounded(t *testing.T) {
	b := newBook(3)
	for key := range uint64(3 * mostPrompts) {
		pickAnswered(b, now, seeded(), prompt(key))
	}
	assert.Assert(t, len(b.keepers.prompts) <= mostPrompts)
}

func TestPromptsStayWithinTheBoundAndAreHardlyReadTwice(t *testing.T) {
	// Nine routers with views a tenth of a second old send 140 prompts, some in
	// demand, to twelve engines, two of which come late. No engine may have
	// more than twice the mean and three, and hardly a prompt may be read on a
	// second engine that could have copied it.
	const routers, engines, prompts = 9, 12, 140
	random := rand.New(rand.NewPCG(4, 4))
	books := make([]*Book, routers)
	for i := range books {
		books[i] = newBook(engines - 2)
	}
	type run struct {
		router int
		id     protocol.UpstreamID
		end    time.Duration
	}
	var running []run
	held := map[protocol.UpstreamID]int{}
	reads, over, sent := 0, 0, 0
	kept := map[uint64]map[protocol.UpstreamID]bool{}
	at := now
	for step := range 3000 {
		at += 10 * time.Millisecond
		if step == 1000 {
			for _, b := range books {
				b.SetRoster(entries(engines))
			}
		}
		running = slices.DeleteFunc(running, func(r run) bool {
			if r.end > at {
				return false
			}
			books[r.router].Ended(at, r.id, Served)
			held[r.id]--
			return true
		})
		key := uint64(random.IntN(prompts))
		if random.IntN(5) == 0 {
			key = 0
		}
		router := random.IntN(routers)
		choice := pickAnswered(books[router], at, random, prompt(key))
		mean := float64(len(running)) / float64(len(books[0].services["s"]))
		if float64(held[choice.ID]) > 2*mean+3 {
			over++
		}
		sent++
		if kept[key] == nil {
			kept[key] = map[protocol.UpstreamID]bool{}
		}
		if !kept[key][choice.ID] && choice.CopyFrom == "" {
			reads++
		}
		kept[key][choice.ID] = true
		books[router].Started(choice.ID)
		held[choice.ID]++
		running = append(running, run{router, choice.ID, at + time.Duration(random.IntN(1600))*time.Millisecond})
		if step%10 == 9 {
			for i, b := range books {
				loads, _ := b.OwnLoads(step%100 == 99)
				for j, other := range books {
					if j != i {
						other.TakeLoads(at, protocol.RouterID(fmt.Sprint(i)), loads)
					}
				}
			}
		}
	}
	assert.Assert(t, over*200 < sent, "%d of %d over the bound", over, sent)
	assert.Assert(t, reads <= prompts*11/10, "%d reads of %d prompts", reads, prompts)
}

func TestTheOnlyUpstreamIsAskedAgainAfterAnError(t *testing.T) {
	// Of four servers of a desk three were taken away. It answers some requests with
	// an error that passes; their repeat had nowhere to go, and the callers got an
	// error of the router's own.
	b := newBook(1)
	tried := plain()
	tried.Tried = []protocol.UpstreamID{"u00"}
	assert.Equal(t, b.Pick(now, seeded(), tried).Reason, ReasonNone, "it broke off: it may be gone")
	tried.Again = true
	assert.Equal(t, b.Pick(now, seeded(), tried).ID, protocol.UpstreamID("u00"))
	b.SetRoster(entries(2))
	assert.Equal(t, b.Pick(now, seeded(), tried).ID, protocol.UpstreamID("u01"))
}

func TestAPromptStaysWithItsKeeperWhileThereIsRoom(t *testing.T) {
	// Engines with 64 places have two or three requests each, and the one that keeps a
	// prompt in demand has six. Sent elsewhere, the prompt's beginning would be copied
	// for nothing. At the operators' bound it has to go elsewhere.
	b := newBook(18)
	keeper := pickAnswered(b, now, seeded(), prompt(7)).ID
	for _, e := range entries(18) {
		for range 2 {
			b.Started(e.ID)
		}
	}
	for range 4 {
		b.Started(keeper)
	}
	assert.Equal(t, pickAnswered(b, now, seeded(), prompt(7)).ID, keeper, "six, of a mean of 2.2")
	for range 2 {
		b.Started(keeper)
	}
	made := pickAnswered(b, now, seeded(), prompt(7))
	assert.Assert(t, made.ID != keeper, "eight, of a mean of 2.3")
	assert.Assert(t, made.CopyFrom != "")
}

func TestACommonBeginningIsCopiedWhereThePromptIsNew(t *testing.T) {
	// Twenty prompts share their first part. Each comes to an engine of its own, which
	// would read that part anew though the first engine keeps it. An engine that keeps
	// the prompt itself, and one that is the only source, copy nothing.
	b := newBook(18)
	like := func(key uint64) Request {
		return Request{Service: "s", Prompt: key, HasPrompt: true, Beginnings: []uint64{1, 2}}
	}
	first := pickAnswered(b, now, seeded(), like(100))
	assert.Equal(t, first.CopyFrom, "")
	assert.Equal(t, pickAnswered(b, now, seeded(), like(100)).CopyFrom, "", "it is kept")
	told := len(b.keepers.news)
	for key := range uint64(20) {
		made := pickAnswered(b, now, seeded(), like(200+key))
		if made.ID == first.ID {
			assert.Equal(t, made.CopyFrom, "")
		} else {
			assert.Equal(t, made.CopyFrom, first.Address)
		}
	}
	assert.Equal(t, len(b.keepers.news)-told, 20, "the beginnings themselves are told once")
	pickAnswered(b, now+tellAgain+1, seeded(), like(100))
	assert.Equal(t, len(b.keepers.news)-told, 23, "and again after a while")
}

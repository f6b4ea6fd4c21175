package limits

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol"
)

const who = protocol.CustomerID("customer")

var rateLimit = Limit{TokensPerSecond: 1000, RequestsPerSecond: 10}

func newPair(limit Limit) (*Limiter, *Home) {
	table := map[protocol.CustomerID]Limit{who: limit}
	return NewLimiter(DefaultConfig(), 330, 1), NewHome(DefaultConfig(), table)
}

// entries returns the asks that are due, as a message.
func entries(l *Limiter, now time.Duration) Ask {
	var all []AskEntry
	for _, due := range l.Asks(now) {
		all = append(all, due.Entry)
	}
	return l.Ask(all)
}

func TestNoLimitNeedsNoHome(t *testing.T) {
	l, _ := newPair(Limit{})
	assert.Equal(t, l.Admit(0, who, Limit{}, 100).Kind, Allow)
	assert.Equal(t, len(l.Asks(0)), 0)
}

func TestAskGrantAllow(t *testing.T) {
	l, h := newPair(rateLimit)
	h.Answer(0, "other", Ask{Entries: []AskEntry{{Customer: keyOf(who), Sequence: 1}}})
	now := 10 * time.Second
	assert.Equal(t, l.Admit(now, who, rateLimit, 100).Kind, Wait)
	answer := h.Answer(now, "a", entries(l, now))
	l.Granted(now, answer)
	assert.Equal(t, l.Again(now, who, rateLimit, 100).Kind, Allow)
	l.Granted(now, answer) // doubled on the way: adds nothing
	assert.Equal(t, l.Admit(now, who, rateLimit, 100).Kind, Wait)
}

// The network doubles an ask. Granted twice, the account would pay twice; the
// router would not see the second answer.
func TestDoubledAskIsAnsweredOnce(t *testing.T) {
	l, h := newPair(rateLimit)
	l.Admit(0, who, rateLimit, 100)
	ask := entries(l, 0)
	assert.Equal(t, len(h.Answer(time.Second, "a", ask).Entries), 1)
	assert.Equal(t, len(h.Answer(time.Second, "a", ask).Entries), 0)
	restarted := ask
	restarted.Incarnation++
	assert.Equal(t, len(h.Answer(time.Second, "a", restarted).Entries), 1)
}

// A region is cut off from a customer's home. Its routers admit a trickle and
// refuse the rest at once, and ask again until the home answers.
func TestSilentHomeLeavesAFloor(t *testing.T) {
	limit := Limit{RequestsPerSecond: 330}
	l, h := newPair(limit)
	allowed, refused := 0, 0
	const seconds = 1000
	for tick := range seconds * 10 {
		now := time.Duration(tick) * 100 * time.Millisecond
		switch l.Admit(now, who, limit, 1).Kind {
		case Allow:
			allowed++
			l.Finished(now, who)
		case Refuse:
			refused++
		}
		l.Asks(now)
	}
	// A hundredth of 330 requests per second, over 330 routers.
	assert.Assert(t, allowed >= 9 && allowed <= 10, "%d", allowed)
	assert.Assert(t, refused > 9900, "%d", refused)
	now := seconds*time.Second + time.Second
	h.Answer(now-time.Second, "other", Ask{Entries: []AskEntry{{Customer: keyOf(who), Sequence: 1}}})
	l.Admit(now, who, limit, 1)
	l.Granted(now, h.Answer(now, "a", entries(l, now)))
	assert.Equal(t, l.Again(now, who, limit, 1).Kind, Allow)
}

// Whatever routers ask, whenever, and whatever is doubled, grants stay within the
// limit from above: the time that passed, the depth of the bucket, and the one
// grant that overdraws it.
func TestGrantsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, h := newPair(rateLimit)
		now, granted, largest := time.Duration(0), 0.0, 0.0
		sequence := uint32(0)
		for range rapid.IntRange(1, 300).Draw(t, "asks") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			sequence++
			entry := AskEntry{
				Customer:   keyOf(who),
				Sequence:   sequence - uint32(rapid.IntRange(0, 1).Draw(t, "doubled")),
				SeenTokens: rapid.Uint32Range(0, 20000).Draw(t, "seen"),
				WantTokens: rapid.Uint32Range(0, 3000).Draw(t, "want"),
			}
			from := protocol.RouterID(fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "router")))
			for _, e := range h.Answer(now, from, Ask{Incarnation: 1, Entries: []AskEntry{entry}}).Entries {
				granted += float64(e.Tokens)
				largest = max(largest, float64(e.Tokens))
			}
			depth := DefaultConfig().MaxPeriod.Seconds() / 4 * rateLimit.TokensPerSecond
			most := now.Seconds()*rateLimit.TokensPerSecond + depth + largest
			assert.Assert(t, granted <= most, "%v of %v", granted, most)
		}
	})
}

// Slots that routers believe to hold never exceed the limit, however many
// messages get lost and whichever routers fall silent.
func TestSlotsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers = 4
		limit := Limit{Concurrent: rapid.IntRange(1, 6).Draw(t, "limit")}
		_, h := newPair(limit)
		h.account(-time.Hour, keyOf(who)) // an old home
		var all []*Limiter
		for range routers {
			all = append(all, NewLimiter(DefaultConfig(), routers, 1))
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, routers-1).Draw(t, "router")
			if rapid.Bool().Draw(t, "ends") {
				all[i].Finished(now, who)
			} else {
				all[i].Admit(now, who, limit, 1)
			}
			ask := entries(all[i], now)
			if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
				answer := h.Answer(now, protocol.RouterID(fmt.Sprint(i)), ask)
				if rapid.IntRange(0, 3).Draw(t, "answer lost") > 0 {
					all[i].Granted(now, answer)
				}
			}
			held := 0
			for _, l := range all {
				if w := l.wallets[who]; w != nil {
					w.expire(now)
					held += w.slots
				}
			}
			assert.Assert(t, held <= limit.Concurrent, "%d of %d", held, limit.Concurrent)
		}
	})
}

// The customer's home fails over. The new one doesn't know the leased slots, and
// would lease them a second time.
func TestNewHomeLeasesOnlyWhatIsHeld(t *testing.T) {
	_, h := newPair(Limit{Concurrent: 10})
	ask := func(now time.Duration, sequence uint32, slots, held uint16) uint16 {
		entry := AskEntry{Customer: keyOf(who), Sequence: sequence, Slots: slots, Held: held}
		return h.Answer(now, "a", Ask{Entries: []AskEntry{entry}}).Entries[0].Slots
	}
	assert.Equal(t, ask(0, 1, 8, 5), uint16(5))
	assert.Equal(t, ask(DefaultConfig().SlotTTL, 2, 8, 5), uint16(8))
}

func TestHomeOf(t *testing.T) {
	_, ok := HomeOf(who, nil)
	assert.Assert(t, !ok)
	routers := []protocol.RouterID{"a", "b", "c"}
	home, ok := HomeOf(who, routers)
	assert.Assert(t, ok)
	again, _ := HomeOf(who, []protocol.RouterID{"c", "b", "a"})
	assert.Equal(t, home, again)
}

func TestEntryBytes(t *testing.T) {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	full := AskEntry{keyOf(who), 70000, 9000, 30, 600, 2, 3, 2}
	assert.NilError(t, encoder.Encode(full))
	assert.Equal(t, out.Len(), 21)
	out.Reset()
	assert.NilError(t, encoder.Encode(AnswerEntry{keyOf(who), 70000, 9000, 30, 2, 20000, 55, false}))
	assert.Equal(t, out.Len(), 21)
}

// A router gives slots back and asks for none. Taken for a denial, the answer made
// it refuse the customer's next requests while slots were free.
func TestGivingSlotsBackIsNoDenial(t *testing.T) {
	limit := Limit{Concurrent: 10}
	l, h := newPair(limit)
	h.account(-time.Hour, keyOf(who))
	answer := func(now time.Duration) { l.Granted(now, h.Answer(now, "a", entries(l, now))) }
	l.Admit(0, who, limit, 1)
	answer(0)
	assert.Equal(t, l.Again(0, who, limit, 1).Kind, Allow)
	l.Finished(time.Second, who)
	answer(10 * time.Second)
	assert.Equal(t, l.Admit(10*time.Second, who, limit, 1).Kind, Wait)
}

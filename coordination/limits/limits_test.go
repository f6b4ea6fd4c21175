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

const customer = protocol.CustomerID("customer")

var rateLimit = Limit{TokensPerSecond: 1000, RequestsPerSecond: 10}

func newPair(limit Limit) (*Limiter, *Home) {
	table := map[protocol.CustomerID]Limit{customer: limit}
	return NewLimiter(DefaultConfig(), 330, 1), NewHome(DefaultConfig(), table)
}

// entries returns the credit requests that are due, as one message.
func entries(l *Limiter, now time.Duration) CreditRequest {
	var all []CreditRequestEntry
	for _, due := range l.DueRequests(now) {
		all = append(all, due.Entry)
	}
	return l.NewRequest(all)
}

// Requests of a customer without limits are admitted without a message to its
// home.
func TestNoLimitNeedsNoHome(t *testing.T) {
	l, _ := newPair(Limit{})
	assert.Equal(t, l.Admit(0, customer, Limit{}, 100).Kind, Allow)
	assert.Equal(t, len(l.DueRequests(0)), 0)
}

// A request waits until its customer's home has granted credit. A duplicate of
// the grant must not add credit a second time.
func TestRequestGrantAllow(t *testing.T) {
	l, h := newPair(rateLimit)
	h.HandleRequest(0, "other", CreditRequest{Entries: []CreditRequestEntry{{Customer: keyOf(customer), Sequence: 1}}})
	now := 10 * time.Second
	assert.Equal(t, l.Admit(now, customer, rateLimit, 100).Kind, Wait)
	answer := h.HandleRequest(now, "a", entries(l, now))
	l.HandleGrant(now, answer)
	assert.Equal(t, l.Retry(now, customer, rateLimit, 100).Kind, Allow)
	l.HandleGrant(now, answer) // a duplicate adds nothing
	assert.Equal(t, l.Admit(now, customer, rateLimit, 100).Kind, Wait)
}

// The network duplicates a credit request. If the home granted both, the
// account would be charged twice, although the router ignores the second
// answer.
func TestDuplicateRequestIsAnsweredOnce(t *testing.T) {
	l, h := newPair(rateLimit)
	l.Admit(0, customer, rateLimit, 100)
	request := entries(l, 0)
	assert.Equal(t, len(h.HandleRequest(time.Second, "a", request).Entries), 1)
	assert.Equal(t, len(h.HandleRequest(time.Second, "a", request).Entries), 0)
	restarted := request
	restarted.Incarnation++
	assert.Equal(t, len(h.HandleRequest(time.Second, "a", restarted).Entries), 1)
}

// A region is partitioned from a customer's home. Its routers must admit only
// the floor, refuse the other requests at once, and keep requesting credit
// until the home answers.
func TestSilentHomeLeavesAFloor(t *testing.T) {
	limit := Limit{RequestsPerSecond: 330}
	l, h := newPair(limit)
	allowed, refused := 0, 0
	const seconds = 1000
	for tick := range seconds * 10 {
		now := time.Duration(tick) * 100 * time.Millisecond
		switch l.Admit(now, customer, limit, 1).Kind {
		case Allow:
			allowed++
			l.Finished(now, customer)
		case Refuse:
			refused++
		}
		l.DueRequests(now)
	}
	// A hundredth of 330 requests per second, over 330 routers.
	assert.Assert(t, allowed >= 9 && allowed <= 10, "%d", allowed)
	assert.Assert(t, refused > 9900, "%d", refused)
	now := seconds*time.Second + time.Second
	h.HandleRequest(now-time.Second, "other", CreditRequest{Entries: []CreditRequestEntry{{Customer: keyOf(customer), Sequence: 1}}})
	l.Admit(now, customer, limit, 1)
	l.HandleGrant(now, h.HandleRequest(now, "a", entries(l, now)))
	assert.Equal(t, l.Retry(now, customer, limit, 1).Kind, Allow)
}

// Whatever routers request, at any time and with duplicates, the granted credit
// stays within the limit times the time that passed, plus the depth of the
// bucket and the one grant that overdraws it.
func TestGrantsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, h := newPair(rateLimit)
		now, granted, largest := time.Duration(0), 0.0, 0.0
		sequence := uint32(0)
		for range rapid.IntRange(1, 300).Draw(t, "asks") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			sequence++
			entry := CreditRequestEntry{
				Customer:   keyOf(customer),
				Sequence:   sequence - uint32(rapid.IntRange(0, 1).Draw(t, "doubled")),
				SeenTokens: rapid.Uint32Range(0, 20000).Draw(t, "seen"),
				WantTokens: rapid.Uint32Range(0, 3000).Draw(t, "want"),
			}
			from := protocol.RouterID(fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "router")))
			for _, e := range h.HandleRequest(now, from, CreditRequest{Incarnation: 1, Entries: []CreditRequestEntry{entry}}).Entries {
				granted += float64(e.Tokens)
				largest = max(largest, float64(e.Tokens))
			}
			depth := DefaultConfig().MaxPeriod.Seconds() / 4 * rateLimit.TokensPerSecond
			most := now.Seconds()*rateLimit.TokensPerSecond + depth + largest
			assert.Assert(t, granted <= most, "%v of %v", granted, most)
		}
	})
}

// The slots that routers consider theirs never exceed the limit, however many
// messages get lost and whichever routers stop sending.
func TestSlotsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers = 4
		limit := Limit{Concurrent: rapid.IntRange(1, 6).Draw(t, "limit")}
		_, h := newPair(limit)
		h.account(-time.Hour, keyOf(customer)) // an old home
		var all []*Limiter
		for range routers {
			all = append(all, NewLimiter(DefaultConfig(), routers, 1))
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, routers-1).Draw(t, "router")
			if rapid.Bool().Draw(t, "ends") {
				all[i].Finished(now, customer)
			} else {
				all[i].Admit(now, customer, limit, 1)
			}
			request := entries(all[i], now)
			if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
				answer := h.HandleRequest(now, protocol.RouterID(fmt.Sprint(i)), request)
				if rapid.IntRange(0, 3).Draw(t, "answer lost") > 0 {
					all[i].HandleGrant(now, answer)
				}
			}
			held := 0
			for _, l := range all {
				if c := l.credits[customer]; c != nil {
					c.expire(now)
					held += c.slots
				}
			}
			assert.Assert(t, held <= limit.Concurrent, "%d of %d", held, limit.Concurrent)
		}
	})
}

// Another router becomes the customer's home. It doesn't know the leased slots
// and must not lease them a second time.
func TestNewHomeLeasesOnlyWhatIsHeld(t *testing.T) {
	_, h := newPair(Limit{Concurrent: 10})
	requestSlots := func(now time.Duration, sequence uint32, slots, held uint16) uint16 {
		entry := CreditRequestEntry{Customer: keyOf(customer), Sequence: sequence, WantSlots: slots, HeldSlots: held}
		return h.HandleRequest(now, "a", CreditRequest{Entries: []CreditRequestEntry{entry}}).Entries[0].Slots
	}
	assert.Equal(t, requestSlots(0, 1, 8, 5), uint16(5))
	assert.Equal(t, requestSlots(DefaultConfig().SlotTTL, 2, 8, 5), uint16(8))
}

// All routers must choose the same home, in whatever order they list the fleet.
func TestHomeOf(t *testing.T) {
	_, ok := HomeOf(customer, nil)
	assert.Assert(t, !ok)
	routers := []protocol.RouterID{"a", "b", "c"}
	home, ok := HomeOf(customer, routers)
	assert.Assert(t, ok)
	again, _ := HomeOf(customer, []protocol.RouterID{"c", "b", "a"})
	assert.Equal(t, home, again)
}

// The control budget counts on the size of the encoded entries.
func TestEntryBytes(t *testing.T) {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	full := CreditRequestEntry{keyOf(customer), 70000, 9000, 30, 600, 2, 3, 2}
	assert.NilError(t, encoder.Encode(full))
	assert.Equal(t, out.Len(), 21)
	out.Reset()
	assert.NilError(t, encoder.Encode(CreditGrantEntry{keyOf(customer), 70000, 9000, 30, 2, 20000, 55, false}))
	assert.Equal(t, out.Len(), 21)
}

// A router returns its slots and wants none. If it took the answer for a
// denial, it would refuse the customer's next requests while slots are free.
func TestGivingSlotsBackIsNoDenial(t *testing.T) {
	limit := Limit{Concurrent: 10}
	l, h := newPair(limit)
	h.account(-time.Hour, keyOf(customer))
	answer := func(now time.Duration) { l.HandleGrant(now, h.HandleRequest(now, "a", entries(l, now))) }
	l.Admit(0, customer, limit, 1)
	answer(0)
	assert.Equal(t, l.Retry(0, customer, limit, 1).Kind, Allow)
	l.Finished(time.Second, customer)
	answer(10 * time.Second)
	assert.Equal(t, l.Admit(10*time.Second, customer, limit, 1).Kind, Wait)
}

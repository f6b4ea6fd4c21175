package limits

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// Limit holds the limits in one customer's row of the table. Zero means no
// limit of that kind.
type Limit struct {
	TokensPerSecond   float64
	RequestsPerSecond float64
	Concurrent        int
}

// unlimited reports whether the customer has no limit at all.
func (l Limit) unlimited() bool {
	return l.TokensPerSecond <= 0 && l.RequestsPerSecond <= 0 && l.Concurrent <= 0
}

// Config holds the settings of the limits.
type Config struct {
	// MinPeriod and MaxPeriod bound the period for which credit is granted
	// ahead. In between, the period is as long as needed to send no more than
	// GrantsPerSecond for one customer.
	MinPeriod       time.Duration
	MaxPeriod       time.Duration
	GrantsPerSecond float64
	// SlotTTL is how long a slot stays leased without renewal, and SlotRenew
	// how often a router renews the slots it holds.
	SlotTTL   time.Duration
	SlotRenew time.Duration
	// RequestTimeout is how long a router waits for the answer to a credit
	// request.
	RequestTimeout time.Duration
	// FloorShare is the share of a limit that all routers together admit while
	// they can't reach the home.
	FloorShare float64
}

// DefaultConfig returns the default settings.
//
// Six grants a second are some 300 bytes a second for a customer that all
// routers serve, so that the home of a few large customers stays within a
// control budget of 3 KB/s. With periods of five seconds a small fleet follows
// demand closely; in the largest fleet, credit follows a shift of demand
// between routers within a minute. Slots outlive two lost renewals. A hundredth
// of the limit lets a partitioned customer's most urgent requests through and
// is below the error that the limits are meant to have.
func DefaultConfig() Config {
	return Config{
		MinPeriod:       5 * time.Second,
		MaxPeriod:       time.Minute,
		GrantsPerSecond: 6,
		SlotTTL:         30 * time.Second,
		SlotRenew:       10 * time.Second,
		RequestTimeout:  200 * time.Millisecond,
		FloorShare:      0.01,
	}
}

// Kind is the kind of a Decision.
type Kind uint8

const (
	// Allow means that the request is within the limits and has been charged.
	Allow Kind = iota + 1
	// Wait means that the request must wait for credit; call Retry after the
	// home's answer, or at CheckAt.
	Wait
	// Refuse means that the customer is above its limit. The request has not run.
	Refuse
)

// Reason says which limit refused a request.
type Reason string

const (
	// ReasonNone is the reason of a request that is not refused.
	ReasonNone Reason = ""
	// ReasonRate means that the limit on tokens or requests per second is
	// reached.
	ReasonRate Reason = "customer-rate-limit"
	// ReasonConcurrent means that the limit on requests in flight is reached.
	ReasonConcurrent Reason = "customer-concurrency-limit"
	// ReasonNoHome means that the customer's home doesn't answer and the floor
	// is used up.
	ReasonNoHome Reason = "customer-limit-unreachable"
)

// Decision is the result of Admit or Retry.
type Decision struct {
	Kind       Kind
	CheckAt    time.Duration // for Wait
	Reason     Reason        // for Refuse
	RetryAfter time.Duration // for Refuse
}

// customerKey identifies a customer in messages by four bytes instead of its
// ID. Two customers of one home whose keys collide would share an account; with
// 2,400 customers that happens once in about 1,500 deployments.
type customerKey uint32

func keyOf(customer protocol.CustomerID) customerKey {
	return customerKey(xxhash.Sum64String(string(customer)))
}

// HomeOf returns the router that keeps a customer's account: the one with the
// highest rendezvous weight. It returns false if there are no routers.
func HomeOf(customer protocol.CustomerID, routers []protocol.RouterID) (protocol.RouterID, bool) {
	var best protocol.RouterID
	var bestWeight uint64
	for _, router := range routers {
		hash := xxhash.New()
		_, _ = hash.WriteString(string(customer))
		_, _ = hash.Write([]byte{0})
		_, _ = hash.WriteString(string(router))
		weight := hash.Sum64()
		if best == "" || weight > bestWeight || weight == bestWeight && router < best {
			best, bestWeight = router, weight
		}
	}
	return best, best != ""
}

// CreditRequest is the message by which a router requests credit from a home.
// Encoded with msgpack as an array (without field names), an entry takes about
// 15 bytes.
type CreditRequest struct {
	// Incarnation grows with each start of the requesting router, which starts
	// its sequence numbers again.
	Incarnation uint32               `msgpack:"i"`
	Entries     []CreditRequestEntry `msgpack:"e"`
}

// CreditRequestEntry requests credit for one customer.
type CreditRequestEntry struct {
	Customer customerKey `msgpack:"c"`
	// Sequence grows with each request of this router for this customer.
	Sequence uint32 `msgpack:"n"`
	// SeenTokens and SeenRequests count what the customer's callers sent to
	// this router since its previous request, including refused requests.
	SeenTokens   uint32 `msgpack:"t"`
	SeenRequests uint32 `msgpack:"r"`
	// WantTokens and WantRequests are the credit that waiting requests still
	// lack.
	WantTokens   uint32 `msgpack:"u"`
	WantRequests uint32 `msgpack:"s"`
	// WantSlots is how many slots the router wants to hold from now on, and
	// HeldSlots how many it holds.
	WantSlots uint16 `msgpack:"k"`
	HeldSlots uint16 `msgpack:"h"`
}

// DueRequest is an entry to send, with the customer whose home it goes to.
type DueRequest struct {
	Customer protocol.CustomerID
	Entry    CreditRequestEntry
}

// CreditGrant is a home's answer to a CreditRequest. An entry takes about 15
// bytes.
type CreditGrant struct {
	Entries []CreditGrantEntry `msgpack:"e"`
}

// CreditGrantEntry grants credit for one customer. The credit adds to that of
// earlier grants.
type CreditGrantEntry struct {
	Customer customerKey `msgpack:"c"`
	Sequence uint32      `msgpack:"n"`
	Tokens   uint32      `msgpack:"t"`
	Requests uint32      `msgpack:"r"`
	// Slots is how many slots the router holds from now on.
	Slots uint16 `msgpack:"k"`
	// RetryMillis is how long the granted credit must last: the router sends no
	// request earlier. It is zero while the customer is within its limit.
	RetryMillis uint32 `msgpack:"w"`
	// PeriodSeconds is the period for which the credit is granted.
	PeriodSeconds uint16 `msgpack:"p"`
	// Scarce asks the router to return slots that it doesn't use.
	Scarce bool `msgpack:"x"`
}

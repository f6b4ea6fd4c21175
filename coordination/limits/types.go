package limits

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// Limit is one customer's row of the table. Zero means no limit of that kind.
type Limit struct {
	TokensPerSecond   float64
	RequestsPerSecond float64
	Concurrent        int
}

// none says that the customer has no limit at all.
func (l Limit) none() bool {
	return l.TokensPerSecond <= 0 && l.RequestsPerSecond <= 0 && l.Concurrent <= 0
}

// Config holds the settings of the limits.
type Config struct {
	// MinPeriod and MaxPeriod bound how far ahead credit is granted. In between
	// it is as long as AnswersPerSecond for one customer asks for.
	MinPeriod        time.Duration
	MaxPeriod        time.Duration
	AnswersPerSecond float64
	// SlotTTL is how long a slot stays leased without renewal, and SlotRenew
	// how often a router renews the slots it holds.
	SlotTTL   time.Duration
	SlotRenew time.Duration
	// AskTimeout is how long a router waits for an answer.
	AskTimeout time.Duration
	// FloorShare of a limit is what all routers together admit without a home.
	FloorShare float64
}

// DefaultConfig returns the default settings.
//
// Six answers a second are some 300 bytes a second for a customer that all
// routers meet, so that a home of a few large customers stays within a control
// budget of 3 KB/s. Five seconds let a small fleet follow demand closely; a minute
// is how long a change of demand between routers may take to be followed in the
// largest. Slots outlive two lost renewals. A hundredth of the limit keeps
// a parted customer's urgent trickle alive and is below the error that the limits
// are meant to have.
func DefaultConfig() Config {
	return Config{
		MinPeriod:        5 * time.Second,
		MaxPeriod:        time.Minute,
		AnswersPerSecond: 6,
		SlotTTL:          30 * time.Second,
		SlotRenew:        10 * time.Second,
		AskTimeout:       200 * time.Millisecond,
		FloorShare:       0.01,
	}
}

// Kind tells the outcomes of Admit apart.
type Kind uint8

const (
	// Allow means that the request is within the limits and has been charged.
	Allow Kind = iota + 1
	// Wait means that the home has been asked; call Admit again after its answer,
	// or at CheckAt.
	Wait
	// Refuse means that the customer is above its limit. The request has not run.
	Refuse
)

// Reason says which limit refused a request.
type Reason string

const (
	// ReasonNone is the reason of a request that is not refused.
	ReasonNone Reason = ""
	// ReasonRate means tokens or requests per second.
	ReasonRate Reason = "customer-rate-limit"
	// ReasonConcurrent means requests in flight.
	ReasonConcurrent Reason = "customer-concurrency-limit"
	// ReasonNoHome means that the customer's home does not answer and the floor is
	// spent.
	ReasonNoHome Reason = "customer-limit-unreachable"
)

// Decision is the typed answer to Admit.
type Decision struct {
	Kind       Kind
	CheckAt    time.Duration // for Wait
	Reason     Reason        // for Refuse
	RetryAfter time.Duration // for Refuse
}

// customerKey is a customer in messages: four bytes instead of a name. Two
// customers of one home that share a key by chance would share an account; with
// 2,400 customers that happens once in about 1,500 deployments.
type customerKey uint32

func keyOf(customer protocol.CustomerID) customerKey {
	return customerKey(xxhash.Sum64String(string(customer)))
}

// HomeOf returns the router that keeps a customer's account: the one with the
// highest rendezvous weight. It returns false without routers.
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

// Ask is what a router asks a home. Encoded with msgpack as an array (without
// field names) an entry takes about 15 bytes.
type Ask struct {
	// Incarnation grows with each start of the asking router, whose sequence
	// numbers begin anew then.
	Incarnation uint32     `msgpack:"i"`
	Entries     []AskEntry `msgpack:"e"`
}

// AskEntry asks for one customer's credit.
type AskEntry struct {
	Customer customerKey `msgpack:"c"`
	// Sequence grows with each ask of this router for this customer.
	Sequence uint32 `msgpack:"n"`
	// SeenTokens and SeenRequests are what the customer's callers sent to this
	// router since the ask before, refused ones included.
	SeenTokens   uint32 `msgpack:"t"`
	SeenRequests uint32 `msgpack:"r"`
	// WantTokens and WantRequests are what waits for credit now.
	WantTokens   uint32 `msgpack:"u"`
	WantRequests uint32 `msgpack:"s"`
	// Slots is how many slots the router wants to hold from now on, and Held how
	// many it holds.
	Slots uint16 `msgpack:"k"`
	Held  uint16 `msgpack:"h"`
}

// CustomerAsk is an entry and the customer whose home it goes to.
type CustomerAsk struct {
	Customer protocol.CustomerID
	Entry    AskEntry
}

// Answer is what a home answers, an entry of about 15 bytes for each asked one.
type Answer struct {
	Entries []AnswerEntry `msgpack:"e"`
}

// AnswerEntry grants credit. It replaces no earlier grant but adds to it.
type AnswerEntry struct {
	Customer customerKey `msgpack:"c"`
	Sequence uint32      `msgpack:"n"`
	Tokens   uint32      `msgpack:"t"`
	Requests uint32      `msgpack:"r"`
	// Slots is how many slots the router holds from now on.
	Slots uint16 `msgpack:"k"`
	// RetryMillis is how long what was granted must last: the router need not ask
	// before. It is zero while the customer is within its limit.
	RetryMillis uint32 `msgpack:"w"`
	// Seconds is the period that the grant is for.
	Seconds uint16 `msgpack:"p"`
	// Scarce asks the router to give back slots that it doesn't use.
	Scarce bool `msgpack:"x"`
}

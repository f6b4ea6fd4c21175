package routing

import (
	"time"

	"endiveplank/protocol"
)

// Repeat says whether a request whose answer is lost may be sent again.
type Repeat uint8

const (
	// Once means that each request that a caller sends may start to run on at most
	// one upstream.
	Once Repeat = iota
	// Idempotent means that the request may run any number of times.
	Idempotent
)

// String returns the word used in logs.
func (r Repeat) String() string {
	if r == Idempotent {
		return "idempotent"
	}
	return "once"
}

// Table is a complete routing table.
type Table struct {
	// Version orders tables: the table with the highest version is in force.
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Route says how requests for one host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Repeat     Repeat
	// Stream says that answers are streams of server-sent events.
	Stream bool
	// Resumable says that another upstream can continue a stream after its last
	// event.
	Resumable bool
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration
	// Objective is the latency objective for an answer or for the first event of a
	// stream.
	Objective time.Duration
	// LongestPause is the objective for the longest pause between two events of a
	// stream; 0 if the route sets none.
	LongestPause time.Duration
	// Priority ranks the route; 0 is the highest priority.
	Priority int
	// Split distributes the requests over services by weight.
	Split []Share
	// MaxAttempts is the largest number of upstreams that one request may be sent
	// to.
	MaxAttempts int
	// Public says that callers need no key.
	Public bool
	// Sticky says that requests carry prompts, which cost less on an upstream that
	// has their prefix in its cache.
	Sticky bool
}

// MayRepeat reports whether a request that may have run may be sent again.
func (r *Route) MayRepeat() bool {
	return r.Repeat == Idempotent || r.Stream && r.Resumable
}

// Share is the share of a route's requests that one service receives.
type Share struct {
	Service protocol.Service
	Weight  int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name protocol.Service
	// HealthPath is the path on which a healthy upstream answers 200.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from
	// all routers together.
	MaxConnections int
	// ColdRate is how many requests a second an upstream takes from all routers while it
	// is cold, and ColdPeriod how long it is cold after a start. A ColdRate of 0 means no
	// limit.
	ColdRate   float64
	ColdPeriod time.Duration
	// Engine is set for a pool of model engines.
	Engine *Engine
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that one engine runs at a time.
	Slots int
	// CacheTokens is the engine's memory for running requests and cached prompts,
	// in tokens.
	CacheTokens int
}

// Customer is a customer on whose behalf callers send requests.
type Customer struct {
	Name protocol.CustomerID
	Keys []string
	// Priority replaces the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds what a caller may send. Zero means that the table sets no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

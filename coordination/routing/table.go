package routing

import (
	"time"

	"endiveplank/protocol"
)

// Repeat says what may be done with a request whose answer is lost.
type Repeat uint8

const (
	// Once means that an attempt of the caller may reach a running state on
	// one upstream at most.
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

// Table is a whole routing table.
type Table struct {
	// Version orders tables: the highest is in force.
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Route says where the requests under one host and path prefix go.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Repeat     Repeat
	// Stream marks answers that are server-sent events.
	Stream bool
	// Resumable lets a stream go on at another upstream after its last event.
	Resumable bool
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is on time.
	Objective time.Duration
	// LongestPause is the longest pause between two events of a stream that
	// is on time; 0 if the route sets none.
	LongestPause time.Duration
	// Priority ranks the route, 0 first.
	Priority int
	// Split shares the requests among services by weight.
	Split []Share
	// MaxAttempts bounds the upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Sticky routes carry prompts, which are cheaper where their beginning
	// was read before.
	Sticky bool
}

// MayRepeat reports whether a request that may have run may be sent again.
func (r *Route) MayRepeat() bool {
	return r.Repeat == Idempotent || r.Stream && r.Resumable
}

// Share is a service's part of a route.
type Share struct {
	Service protocol.Service
	Weight  int
}

// Service is a group of upstreams that serve the same.
type Service struct {
	Name protocol.Service
	// HealthPath answers 200 while an upstream is well.
	HealthPath string
	// MaxConnections is what one upstream accepts from all routers together.
	MaxConnections int
	// Engine is set for a pool of model engines.
	Engine *Engine
}

// Engine describes the engines of a pool.
type Engine struct {
	// Slots is how many requests one engine runs at a time.
	Slots int
	// CacheTokens is the memory for running requests and cached prompts.
	CacheTokens int
}

// Customer is who requests are made for.
type Customer struct {
	Name protocol.CustomerID
	Keys []string
	// Priority goes before the route's where HasPriority.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send. Zero means that the table sets none.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

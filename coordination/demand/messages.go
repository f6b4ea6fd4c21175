package demand

import (
	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// ServiceID is a hash that stands for a service's name in messages between routers.
type ServiceID uint32

// ServiceIDOf returns the ServiceID of a service.
func ServiceIDOf(service protocol.Service) ServiceID {
	return ServiceID(xxhash.Sum64String(string(service)))
}

// CustomerHash is a hash that stands for a customer's ID in messages between routers. Among
// 2,400 customers two have the same one in one of 1,500 cases, and are counted as one.
type CustomerHash uint32

// CustomerHashOf returns the CustomerHash of a customer.
func CustomerHashOf(customer protocol.CustomerID) CustomerHash {
	return CustomerHash(xxhash.Sum64String(string(customer)))
}

// Scope says which routers' counts a ServiceCounts has.
type Scope uint8

const (
	// ScopeRouter is one router's own counts.
	ScopeRouter Scope = iota
	// ScopeGroup is the sum of a relay and its members.
	ScopeGroup
	// ScopeRow is the sum of the groups of one row of relays.
	ScopeRow
	// ScopeOthers is the sum of all routers but the receiver.
	ScopeOthers
	scopes
)

// ServiceCounts is what a router reports about one service. It is encoded without the names of
// its fields.
type ServiceCounts struct {
	Service ServiceID `msgpack:"i"`
	Scope   Scope     `msgpack:"w"`
	// Constrained says that a router in the scope is short of capacity by what it has seen
	// itself.
	Constrained bool `msgpack:"s"`
	// Routers is the number of routers in the scope.
	Routers int `msgpack:"n"`
	// Limit is the mean rate limit of those that have one, in tenths of a request a second
	// over the fleet, and Limited is their number.
	Limit   int `msgpack:"l"`
	Limited int `msgpack:"m"`
	// Rates are packed rates: first attempts by rank, admissions by rank, timely and late
	// answers.
	Rates []byte `msgpack:"r"`
	// Customers are the packed rates of the largest customers, behind a sketch of the number
	// of all. Empty means that those of the report before still hold.
	Customers []byte `msgpack:"c"`
}

package ratelimit

import (
	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
)

// Ranks is the number of ranks of urgency; 0 is the most urgent.
const Ranks = 4

// CustomerHash stands for a customer in messages between routers.
type CustomerHash uint32

// HashOf returns the hash of a customer.
func HashOf(customer protocol.CustomerID) CustomerHash {
	return CustomerHash(xxhash.Sum64String(string(customer)))
}

// CustomerRate is the demand of one customer.
type CustomerRate struct {
	Customer CustomerHash
	Arrived  float64
}

// Totals are the counts of a service over the fleet, as rates a second.
type Totals struct {
	// Routers is the number of routers whose counts are in the sums, this one included.
	Routers           int
	Arrived, Admitted [Ranks]float64
	InTime, Late      float64
	// Customers are the largest customers; RestCustomers others ask for RestArrived together.
	Customers     []CustomerRate
	RestCustomers int
	RestArrived   float64
}

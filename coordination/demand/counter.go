package demand

import (
	"time"

	"endiveplank/protocol"
)

// Ranks is the number of ranks that are counted separately, 0 the most urgent. Less urgent
// requests count as the last one.
const Ranks = 4

// CustomerRate is one customer's part of a service's demand, in requests a second.
type CustomerRate struct {
	Customer          CustomerHash
	Arrived, Admitted float64
}

// Totals are the counts of one service as rates, in requests or answers a second.
type Totals struct {
	// Routers is the number of routers in the sums, this one included.
	Routers int
	// Arrived are first attempts, and Admitted those that were admitted, by rank.
	Arrived  [Ranks]float64
	Admitted [Ranks]float64
	// InTime and Late are answers.
	InTime, Late float64
	// Customers are the largest customers, the largest first. RestCustomers is an estimate of
	// how many others there are, and RestArrived is the sum of their first attempts.
	Customers     []CustomerRate
	RestCustomers int
	RestArrived   float64
}

// Neighbours are the routers that this one exchanges reports with: balance.Neighbours, which
// can be converted to it.
type Neighbours struct {
	Mesh    []protocol.RouterID
	Relay   protocol.RouterID
	Members []protocol.RouterID
	Relays  []protocol.RouterID
}

// Outgoing is a report to other routers.
type Outgoing struct {
	To     []protocol.RouterID
	Report []ServiceCounts
}

// Counter counts the demand for each service at this router, and adds what the other routers
// report. It is not safe for concurrent use.
type Counter struct{}

// NewCounter returns a Counter of a router that has counted nothing yet.
func NewCounter(self protocol.RouterID) *Counter { return &Counter{} }

// Arrived counts the first attempt of a request.
func (c *Counter) Arrived(now time.Duration, service protocol.Service, rank int, customer protocol.CustomerID) {
}

// Admitted counts a first attempt that was admitted.
func (c *Counter) Admitted(now time.Duration, service protocol.Service, rank int, customer protocol.CustomerID) {
}

// Answered counts an answer.
func (c *Counter) Answered(now time.Duration, service protocol.Service, inTime bool) {}

// NoteConstrained records that this router sees a service short of capacity: a late answer, a
// refusal for lack of capacity, or a rate limit in force.
func (c *Counter) NoteConstrained(now time.Duration, service protocol.Service) {}

// IsConstrained reports whether this router or, as reported, another one sees a service short of
// capacity.
func (c *Counter) IsConstrained(now time.Duration, service protocol.Service) bool { return false }

// SetLimit sets this router's own rate limit of a service, in requests a second over the fleet,
// 0 for none.
func (c *Counter) SetLimit(service protocol.Service, limit float64) {}

// ReportedLimit returns the fleet's rate limit of a service in requests a second, 0 if the other
// routers report none.
func (c *Counter) ReportedLimit(now time.Duration, service protocol.Service) float64 { return 0 }

// Fleet returns the sums over this router and those whose reports are in use.
func (c *Counter) Fleet(now time.Duration, service protocol.Service) Totals { return Totals{} }

// Own returns this router's own counts.
func (c *Counter) Own(now time.Duration, service protocol.Service) Totals { return Totals{} }

// Reports returns the reports to send now.
func (c *Counter) Reports(now time.Duration, roles Neighbours) []Outgoing { return nil }

// Apply replaces what another router has reported. It is called with every load report, also
// with those that contain no counts.
func (c *Counter) Apply(now time.Duration, from protocol.RouterID, report []ServiceCounts) {}

// Drop removes the counts of a router whose connections have ended.
func (c *Counter) Drop(from protocol.RouterID) {}

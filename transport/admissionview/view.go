// Package admissionview is the document in which a router shows operators what it knows of the
// services' capacity and demand, and whom it refuses. Routers serve it as JSON at Path on their
// metrics listener, and the command endiveplank admission prints it.
package admissionview

// Path is where routers serve the document.
const Path = "/admission"

// View is what a router knows. Rates are in requests a second, of all routers that report.
type View struct {
	Router string `json:"router"`
	// Enabled says whether admission is switched on in the router's settings. The rest is empty if it
	// isn't.
	Enabled bool `json:"enabled"`
	// Reservations is the number of refused requests of all routers and services that this one
	// expects back, with or without a reservation.
	Reservations int       `json:"reservations"`
	Services     []Service `json:"services"`
}

// Service is the state of one service.
type Service struct {
	Service string `json:"service"`
	// Short says that this router or another one sees it short of capacity. Otherwise other routers
	// don't report, and the rates are this router's alone.
	Short bool `json:"short"`
	// Routers is the number of routers in the sums.
	Routers int `json:"routers"`
	// Slots is what the ready upstreams announce, 0 if one of them announces none, and InFlight how
	// many requests they have.
	Slots    int `json:"slots"`
	InFlight int `json:"in_flight"`
	// Limit is the rate limit, 0 for none, and Free what is left of it.
	Limit float64 `json:"limit"`
	Free  float64 `json:"free"`
	// InTime and Late are answers.
	InTime    float64    `json:"in_time"`
	Late      float64    `json:"late"`
	Ranks     []Rank     `json:"ranks"`
	Customers []Customer `json:"customers"`
	// RestCustomers is how many other customers there are, and RestArrived what they send.
	RestCustomers int     `json:"rest_customers"`
	RestArrived   float64 `json:"rest_arrived"`
	// Due counts the reservations that this router has made by the second in which they are due, the
	// current one first.
	Due []int `json:"due"`
	// Reported is what the upstreams report of their load, nil if that isn't used.
	Reported *Reported `json:"reported,omitempty"`
}

// Rank is the demand of one rank of urgency, 0 first.
type Rank struct {
	Rank     int     `json:"rank"`
	Arrived  float64 `json:"arrived"`
	Admitted float64 `json:"admitted"`
	Refused  float64 `json:"refused"`
}

// Customer is the demand of one of the largest customers.
type Customer struct {
	// Customer is the name, or the hash of one that the table doesn't have.
	Customer string  `json:"customer"`
	Arrived  float64 `json:"arrived"`
	Admitted float64 `json:"admitted"`
	Refused  float64 `json:"refused"`
	// Share is how many of its requests a second are admitted by the limit in force. Admitted is the
	// average of about the last second, so the two differ while the limit changes.
	Share float64 `json:"share"`
}

// Reported is the sum of what upstreams report.
type Reported struct {
	// Upstreams is the number of those that accept requests, and Known of those that report.
	Upstreams int `json:"upstreams"`
	Known     int `json:"known"`
	Running   int `json:"running"`
	Waiting   int `json:"waiting"`
	// Free is how many more requests the known ones could run at once, by their present speed.
	Free float64 `json:"free"`
}

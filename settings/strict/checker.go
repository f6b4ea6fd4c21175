package strict

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Checker checks values and collects their problems.
type Checker struct{ Problems Problems }

// Add records a problem at a path; allowed says which values are valid there.
func (c *Checker) Add(path string, value any, allowed string) {
	c.Problems = append(c.Problems, Problem{Path: path, Value: fmt.Sprintf("%q", fmt.Sprint(value)), Allowed: "it must be " + allowed})
}

// Name checks the name of a process, data centre or operator.
func (c *Checker) Name(path, value string) {
	if value == "" || len(value) > 64 || strings.ContainsAny(value, " \t\n/\"") {
		c.Add(path, value, "1 to 64 characters without spaces, quotes and slashes")
	}
}

// OneOf checks that a value is one of the allowed ones.
func (c *Checker) OneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.Add(path, value, "one of "+strings.Join(allowed, ", "))
	}
}

// Address checks that a value is an IP:port.
func (c *Checker) Address(path, value string) {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		c.Add(path, value, "IP:port with a port from 1 to 65535, as in 10.0.0.5:7400")
	}
}

// Between checks that a value is in a range that includes both ends. NaN is in no
// range.
func (c *Checker) Between(path string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.Add(path, value, fmt.Sprintf("from %g to %g", low, high))
	}
}

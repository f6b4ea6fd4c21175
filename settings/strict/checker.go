package strict

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Checker gathers problems.
type Checker struct{ Problems Problems }

// Add notes a mistake at a path, with what is allowed there.
func (c *Checker) Add(path string, value any, allowed string) {
	c.Problems = append(c.Problems, Problem{Path: path, Value: fmt.Sprintf("%q", fmt.Sprint(value)), Allowed: "it must be " + allowed})
}

// Name checks a name of a process, place or operator.
func (c *Checker) Name(path, value string) {
	if value == "" || len(value) > 64 || strings.ContainsAny(value, " \t\n/\"") {
		c.Add(path, value, "1 to 64 characters without spaces, quotes and slashes")
	}
}

// OneOf checks for one of a few words.
func (c *Checker) OneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.Add(path, value, "one of "+strings.Join(allowed, ", "))
	}
}

// Address checks for IP:port.
func (c *Checker) Address(path, value string) {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		c.Add(path, value, "IP:port with a port from 1 to 65535, as in 10.0.0.5:7400")
	}
}

// Between checks a range, its ends included.
func (c *Checker) Between(path string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.Add(path, value, fmt.Sprintf("from %g to %g", low, high))
	}
}

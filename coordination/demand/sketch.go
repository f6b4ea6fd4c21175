package demand

import (
	"math"
	"math/bits"
)

const (
	// sketchRegisters is the number of registers of a sketch. 32 estimate a number within a
	// fifth.
	sketchRegisters = 32
	registerBits    = 4
	maxRegister     = 1<<registerBits - 1
	sketchBytes     = sketchRegisters * registerBits / 8
)

// sketch estimates how many different customers were added to it (HyperLogLog). Merging those of
// several routers counts a customer once, however many routers have it.
type sketch [sketchRegisters]uint8

// add adds a customer.
func (s *sketch) add(customer CustomerHash) {
	register := customer % sketchRegisters
	s[register] = max(s[register], min(uint8(bits.LeadingZeros32(uint32(customer)))+1, maxRegister))
}

// merge adds the customers of another sketch.
func (s *sketch) merge(other sketch) {
	for i := range s {
		s[i] = max(s[i], other[i])
	}
}

// estimate returns the number of customers.
func (s *sketch) estimate() float64 {
	const bias = 0.697
	inverse, empty := 0.0, 0
	for _, register := range s {
		inverse += math.Exp2(-float64(register))
		if register == 0 {
			empty++
		}
	}
	estimate := bias * sketchRegisters * sketchRegisters / inverse
	if empty > 0 && estimate <= 2.5*sketchRegisters {
		return sketchRegisters * math.Log(sketchRegisters/float64(empty))
	}
	return estimate
}

// pack returns the sketch with two registers in a byte.
func (s *sketch) pack() []byte {
	packed := make([]byte, sketchBytes)
	for i, register := range s {
		packed[i/2] |= register << (registerBits * (i % 2))
	}
	return packed
}

// unpackSketch reads a packed sketch.
func unpackSketch(packed []byte) (s sketch) {
	for i := range s {
		s[i] = packed[i/2] >> (registerBits * (i % 2)) & maxRegister
	}
	return s
}

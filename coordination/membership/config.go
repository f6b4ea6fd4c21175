package membership

import (
	"time"

	"endiveplank/protocol"
)

// PacketOverhead is what a packet costs besides its content, in bytes, when it
// is a frame on a TCP connection with TLS 1.3: 40 for IP and TCP, 22 for the
// TLS record, 13 for the frame's header, and 40 for the bare TCP
// acknowledgement that the other end's kernel returns. Over UDP it would be 28.
const PacketOverhead = 115

// MaxPacket is the largest content of a packet in bytes. One packet fits one
// Ethernet frame of 1,500 bytes.
const MaxPacket = 1200

// MaxItem is the largest payload of a broadcast item in bytes.
const MaxItem = 900

// Seed is a process to ask for the membership. ID may be empty when only the
// address is known.
type Seed struct {
	ID      protocol.RouterID
	Address string
}

// Config holds a member's own settings and the detector's limits.
type Config struct {
	Self       protocol.RouterID
	Address    string
	DataCentre protocol.DataCentre
	Region     string
	// Started tells this life of the process from earlier ones: its start in
	// Unix milliseconds.
	Started uint64
	Seeds   []Seed

	// Rings is the number of monitors of each member. Eight is enough for
	// three independent confirmations when half of them are lost together,
	// and partners are probed often enough to keep connections open.
	Rings int
	// ProbePeriod is the time between two probes of a healthy member.
	ProbePeriod time.Duration
	// ProbeTimeout is the time after which a probe is repeated through
	// helpers, and once more; after three of them it failed. It is far above
	// a round trip in a region and covers a short pause of the target.
	ProbeTimeout time.Duration
	// Helpers is the number of members asked to probe in each repeat.
	Helpers int
	// SuspicionMax is the time to refute when nobody confirms a suspicion,
	// and SuspicionMin when Confirmations members did.
	SuspicionMin  time.Duration
	SuspicionMax  time.Duration
	Confirmations int
	// FreezeGap between two ticks means that this process did not run.
	FreezeGap time.Duration
	// GossipPeriod is the time between packets that carry only rumours, sent
	// to GossipFanout neighbours while there are fresh ones.
	GossipPeriod time.Duration
	GossipFanout int
	// Transmissions times log2 of the members is how often one member sends
	// one rumour.
	Transmissions float64
	// MaxRumours bounds the queue.
	MaxRumours int
	// SeedPeriod is the time between two questions to a seed that is not a
	// living member.
	SeedPeriod time.Duration
	// SyncPeriod is the least time between two fetches of a list.
	SyncPeriod time.Duration
	// ForgetAfter is how long a dead member is remembered, so that old news
	// doesn't bring it back.
	ForgetAfter time.Duration
	// MaxMembers bounds the list, dead ones included.
	MaxMembers int
	// BytesPerSecond bounds what is sent, PacketOverhead included.
	BytesPerSecond int
}

// DefaultConfig returns the limits that docs/design/membership.md arrives at.
func DefaultConfig() Config {
	return Config{
		Rings:          8,
		ProbePeriod:    time.Second,
		ProbeTimeout:   200 * time.Millisecond,
		Helpers:        3,
		SuspicionMin:   1500 * time.Millisecond,
		SuspicionMax:   5 * time.Second,
		Confirmations:  3,
		FreezeGap:      500 * time.Millisecond,
		GossipPeriod:   100 * time.Millisecond,
		GossipFanout:   3,
		Transmissions:  1.5,
		MaxRumours:     1024,
		SeedPeriod:     30 * time.Second,
		SyncPeriod:     5 * time.Second,
		ForgetAfter:    10 * time.Minute,
		MaxMembers:     4096,
		BytesPerSecond: 3000,
	}
}

// TickInterval is how often the driver calls Tick.
const TickInterval = 100 * time.Millisecond

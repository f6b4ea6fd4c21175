package membership

import (
	"time"

	"endiveplank/protocol"
)

// PacketOverhead is the number of bytes that a packet takes in addition to its
// content when it is a frame on a TCP connection with TLS 1.3: 40 for IP and TCP, 22 for the
// TLS record, 13 for the frame's header, and 40 for the bare TCP
// acknowledgement that the other end's kernel returns. Over UDP it would be 28.
const PacketOverhead = 115

// MaxPacket is the largest content of a packet in bytes. A packet of that size
// fits into one Ethernet frame of 1,500 bytes.
const MaxPacket = 1200

// MaxItem is the largest payload of a broadcast item in bytes.
const MaxItem = 900

// Seed is a process that a new member asks for the member list. ID may be empty when only the
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
	// Started is the start time of the process in Unix milliseconds. It
	// distinguishes this process from earlier ones with the same ID.
	Started uint64
	Seeds   []Seed

	// Rings is the number of monitors of each member. With eight, three
	// independent confirmations remain possible when half of the monitors are
	// lost together, and partners are probed often enough to keep connections
	// open.
	Rings int
	// ProbePeriod is the time between two regular probes that a healthy member
	// sends.
	ProbePeriod time.Duration
	// ProbeTimeout is the time after which an unanswered probe is repeated,
	// also through helpers. After the first ping and two repeats the probe has
	// failed. The timeout is far above a round trip in a region and covers a
	// short pause of the target.
	ProbeTimeout time.Duration
	// Helpers is the number of members asked to probe in each repeat.
	Helpers int
	// SuspicionMax is the time that a suspect has to refute when nobody
	// confirms the suspicion, and SuspicionMin the time when Confirmations
	// members confirmed it.
	SuspicionMin  time.Duration
	SuspicionMax  time.Duration
	Confirmations int
	// FreezeGap is the gap between two ticks above which this process counts
	// as having been frozen.
	FreezeGap time.Duration
	// GossipPeriod is the time between packets that carry only rumours, sent
	// to GossipFanout neighbours while rumours are queued.
	GossipPeriod time.Duration
	GossipFanout int
	// Transmissions, multiplied by log2 of the number of members, is the
	// number of times that a member sends one rumour.
	Transmissions float64
	// MaxRumours bounds the queue of rumours.
	MaxRumours int
	// SeedPeriod is the mean time between two Join packets to seeds that are
	// not living members.
	SeedPeriod time.Duration
	// SyncPeriod is how long the digests of two members must differ before one
	// fetches the other's list. It is also the least time between two fetches.
	SyncPeriod time.Duration
	// ForgetAfter is how long a dead member stays on the list, so that an old
	// update doesn't add it again.
	ForgetAfter time.Duration
	// MaxMembers bounds the list, dead members included.
	MaxMembers int
	// BytesPerSecond bounds the bytes sent, PacketOverhead included.
	BytesPerSecond int
}

// DefaultConfig returns the limits that docs/design/membership.md derives.
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

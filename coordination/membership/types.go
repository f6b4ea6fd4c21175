package membership

import (
	"cmp"
	"time"

	"endiveplank/protocol"
)

// Incarnation orders what is said about a member: a later start of its process
// first, then the times it refuted a suspicion since.
type Incarnation struct {
	// Started is the process's start in Unix milliseconds.
	Started uint64
	Refuted uint32
}

// Compare returns -1, 0 or 1.
func (i Incarnation) Compare(other Incarnation) int {
	if order := cmp.Compare(i.Started, other.Started); order != 0 {
		return order
	}
	return cmp.Compare(i.Refuted, other.Refuted)
}

// State is what a member is believed to be.
type State uint8

// States of a member.
const (
	Alive State = iota + 1
	Suspect
	Dead
	// Left is a member that said goodbye.
	Left
)

// living says whether a state counts as part of the fleet.
func (s State) living() bool { return s == Alive || s == Suspect }

// Member is what is known of a router.
type Member struct {
	ID          protocol.RouterID
	Address     string
	DataCentre  protocol.DataCentre
	Region      string
	Incarnation Incarnation
	State       State
}

// EventKind says what happened to a member.
type EventKind string

// Kinds of events.
const (
	// Joined is a member that was not known, or known as gone.
	Joined EventKind = "member-joined"
	// Suspected is a member that did not answer a probe.
	Suspected EventKind = "member-suspected"
	// Refuted is a suspect that showed that it lives.
	Refuted EventKind = "member-refuted"
	// Died is a suspect that did not refute in time.
	Died EventKind = "member-died"
	// Departed is a member that said goodbye.
	Departed EventKind = "member-departed"
	// Reborn is a new process under the ID of a living member: what the old
	// process held is lost.
	Reborn EventKind = "member-reborn"
	// Doubted is this member finding that its own view is stale or unsound.
	Doubted EventKind = "member-doubts-itself"
)

// Why is the reason of an event.
type Why string

// Reasons of events.
const (
	WhyAnswered     Why = "answered-a-probe"
	WhyProbeFailed  Why = "probe-failed"
	WhyNoRefutation Why = "no-refutation"
	WhyTold         Why = "told-by-a-member"
	WhyAddressTaken Why = "address-taken"
	WhyFrozen       Why = "own-process-frozen"
	WhyUnanswered   Why = "nobody-answers"
	WhyAccused      Why = "accused-by-a-member"
)

// Event is something that the user of the package may act on or explain.
type Event struct {
	Kind   EventKind
	Member Member
	Why    Why
	// By is the member that said so, if it was told.
	By protocol.RouterID
}

// Packet is something to send. It may be lost.
type Packet struct {
	// To is empty when only the address of a seed is known.
	To      protocol.RouterID
	Address string
	Kind    PacketKind
	Data    []byte
}

// Item is a broadcast that came from another member.
type Item struct {
	Origin  protocol.RouterID
	Kind    uint8
	Key     uint64
	Payload []byte
}

// Output is what to do after a step. It is valid until the next step.
type Output struct {
	Packets []Packet
	Events  []Event
	Items   []Item
}

// Counts are totals since the start.
type Counts struct {
	// Bytes and Packets count what was sent by kind, PacketOverhead included.
	Bytes   [packetKinds]uint64
	Packets [packetKinds]uint64
	// ShedPackets were not sent for want of budget, ShedRumours left the
	// queue before they were sent often enough.
	ShedPackets uint64
	ShedRumours uint64
	// Refused counts packets that did not decode.
	Refused uint64
	// Frozen counts the times this process found that it did not run.
	Frozen uint64
}

// suspicion is the state of a doubt about a member.
type suspicion struct {
	since time.Duration
	// by are the members that accuse, the first ones only.
	by []protocol.RouterID
	// nextProbe is when the suspect is probed again.
	nextProbe time.Duration
}

// record is a member with what the detector needs.
type record struct {
	Member
	hash      uint64
	changed   time.Duration
	suspicion suspicion
	// failures counts probes that failed with no answer from anybody, since
	// silentSince.
	failures int
	// revivals counts how often this life was held for dead, wrongly.
	revivals    int
	silentSince time.Duration
}

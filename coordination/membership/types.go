package membership

import (
	"cmp"
	"time"

	"endiveplank/protocol"
)

// Incarnation orders the updates about a member: first by the start time of its
// process, then by the number of times that process refuted a suspicion.
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

// State is the state that this process considers a member to be in.
type State uint8

// States of a member.
const (
	Alive State = iota + 1
	Suspect
	Dead
	// Left is a member that announced that it leaves.
	Left
)

// living reports whether a member in this state counts as part of the fleet.
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
	// Joined is a member that was unknown, or known as dead or left.
	Joined EventKind = "member-joined"
	// Suspected is a member that did not answer a probe.
	Suspected EventKind = "member-suspected"
	// Refuted is a suspect that proved to be alive.
	Refuted EventKind = "member-refuted"
	// Died is a suspect that did not refute in time.
	Died EventKind = "member-died"
	// Departed is a member that announced that it leaves.
	Departed EventKind = "member-departed"
	// Restarted is a new process under the ID of a living member. The state of
	// the old process is lost.
	Restarted EventKind = "member-reborn"
	// HealthDegraded means that this member found its own view stale or
	// unreliable, or was suspected itself.
	HealthDegraded EventKind = "member-doubts-itself"
)

// Why is the reason of an event.
type Why string

// Reasons of events.
const (
	WhyAnswered     Why = "answered-a-probe"
	WhyProbeFailed  Why = "probe-failed"
	WhyNoRefutation Why = "no-refutation"
	WhyReported     Why = "told-by-a-member"
	WhyAddressTaken Why = "address-taken"
	WhyFrozen       Why = "own-process-frozen"
	WhyUnanswered   Why = "nobody-answers"
	WhySuspected    Why = "accused-by-a-member"
)

// Event is something that the user of the package may act on or explain.
type Event struct {
	Kind   EventKind
	Member Member
	Why    Why
	// By is the member that reported it, if another member did.
	By protocol.RouterID
}

// Packet is a packet to send. It may be lost.
type Packet struct {
	// To is empty when only the address of a seed is known.
	To      protocol.RouterID
	Address string
	Kind    PacketKind
	Data    []byte
}

// Item is a broadcast item received from another member.
type Item struct {
	Origin  protocol.RouterID
	Kind    uint8
	Key     uint64
	Payload []byte
}

// Output is what the driver must do after a step. It is valid until the next
// step.
type Output struct {
	Packets []Packet
	Events  []Event
	Items   []Item
}

// Counts are totals since the start.
type Counts struct {
	// Bytes and Packets count sent packets by kind, and their bytes with
	// PacketOverhead.
	Bytes   [packetKinds]uint64
	Packets [packetKinds]uint64
	// ShedPackets counts packets that the budget did not allow, and
	// ShedRumours the rumours dropped from the full queue before they were
	// sent often enough.
	ShedPackets uint64
	ShedRumours uint64
	// Refused counts packets that did not decode or named a wrong sender.
	Refused uint64
	// Frozen counts how often this process detected that it was frozen.
	Frozen uint64
}

// suspicion is the state of a suspicion of a member.
type suspicion struct {
	since time.Duration
	// by holds the first members that reported the suspicion.
	by []protocol.RouterID
	// nextProbe is when the suspect is probed again.
	nextProbe time.Duration
}

// record is a member with its detector state.
type record struct {
	Member
	hash      uint64
	changed   time.Duration
	suspicion suspicion
	// failures counts the failed probes in a row for which no helper answered
	// either. The first of them started at unansweredSince.
	failures int
	// falseDeaths counts how often this process was wrongly declared dead.
	falseDeaths     int
	unansweredSince time.Duration
}

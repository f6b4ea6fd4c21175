package consensus

import (
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"endiveplank/protocol"
)

// DiskID names one formatted data folder. It is drawn at random when the
// folder is first used, so a wiped or exchanged disk has another one. Zero
// means unknown.
type DiskID uint64

// String returns the identifier as 16 hexadecimal digits.
func (d DiskID) String() string {
	return fmt.Sprintf("%016x", uint64(d))
}

// Member is one holder of a copy of the log: a router together with the disk
// it writes to. A router that comes back with another disk is another member
// and inherits neither vote nor acknowledgements.
type Member struct {
	Router protocol.RouterID `msgpack:"r"`
	Disk   DiskID            `msgpack:"d"`
}

// String returns "router/disk".
func (m Member) String() string {
	return string(m.Router) + "/" + m.Disk.String()
}

// IsZero reports whether m names nobody.
func (m Member) IsZero() bool {
	return m == Member{}
}

// Configuration is the set of members. Voters elect and commit; learners only
// receive the log.
type Configuration struct {
	Voters   []Member `msgpack:"v"`
	Learners []Member `msgpack:"l,omitempty"`
}

// IsVoter reports whether m votes.
func (c Configuration) IsVoter(m Member) bool {
	return slices.Contains(c.Voters, m)
}

// IsLearner reports whether m receives the log without voting.
func (c Configuration) IsLearner(m Member) bool {
	return slices.Contains(c.Learners, m)
}

// Contains reports whether m is a voter or a learner.
func (c Configuration) Contains(m Member) bool {
	return c.IsVoter(m) || c.IsLearner(m)
}

// Quorum returns the number of voters that must agree.
func (c Configuration) Quorum() int {
	return len(c.Voters)/2 + 1
}

// Members returns voters, then learners.
func (c Configuration) Members() []Member {
	return slices.Concat(c.Voters, c.Learners)
}

// ChangeKind says what a membership change does.
type ChangeKind uint8

const (
	// AddLearner lets a member receive the log.
	AddLearner ChangeKind = iota + 1
	// Promote makes a caught-up learner a voter.
	Promote
	// Remove takes a voter or learner out.
	Remove
)

// String returns the change in words.
func (k ChangeKind) String() string {
	switch k {
	case AddLearner:
		return "add learner"
	case Promote:
		return "promote"
	case Remove:
		return "remove"
	}
	return "no change"
}

// Change is one membership step: it adds or removes at most one voter.
type Change struct {
	Kind   ChangeKind
	Member Member
	// Reason is told in the event.
	Reason string
}

// Apply returns the configuration after one change. The receiver is left as
// it is. A change that does not fit returns ErrUnsafeChange.
func (c Configuration) Apply(change Change) (Configuration, error) {
	next := Configuration{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
	is := func(m Member) bool { return m == change.Member }
	switch {
	case change.Kind == AddLearner && !c.Contains(change.Member):
		next.Learners = append(next.Learners, change.Member)
	case change.Kind == Promote && c.IsLearner(change.Member):
		next.Learners = slices.DeleteFunc(next.Learners, is)
		next.Voters = append(next.Voters, change.Member)
	case change.Kind == Remove && c.IsLearner(change.Member):
		next.Learners = slices.DeleteFunc(next.Learners, is)
	case change.Kind == Remove && c.IsVoter(change.Member) && len(c.Voters) > 1:
		next.Voters = slices.DeleteFunc(next.Voters, is)
	default:
		return c, ErrUnsafeChange{Change: change, Reason: "does not fit the configuration in use"}
	}
	return next, nil
}

// encodeConfiguration returns the data of a configuration entry.
func encodeConfiguration(c Configuration) []byte {
	data, err := msgpack.Marshal(c)
	if err != nil {
		panic("consensus: invariant broken: a configuration always encodes: " + err.Error())
	}
	return data
}

// decodeConfiguration reads the data of a configuration entry.
func decodeConfiguration(data []byte) (Configuration, error) {
	var c Configuration
	err := msgpack.Unmarshal(data, &c)
	return c, err
}

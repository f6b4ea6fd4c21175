package consensus

import (
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"endiveplank/protocol"
)

// DiskID identifies one formatted data folder. It is drawn at random when the
// folder is first used, so a wiped or exchanged disk has a new one. Zero means
// unknown.
type DiskID uint64

// String returns the identifier as 16 hexadecimal digits.
func (d DiskID) String() string {
	return fmt.Sprintf("%016x", uint64(d))
}

// Member is one holder of a copy of the log: a router together with the disk
// that it writes to. A router that comes back with another disk is another
// member and inherits neither votes nor acknowledgements.
type Member struct {
	Router protocol.RouterID `msgpack:"r"`
	Disk   DiskID            `msgpack:"d"`
}

// String returns "router/disk".
func (m Member) String() string {
	return string(m.Router) + "/" + m.Disk.String()
}

// IsZero reports whether m is the zero Member.
func (m Member) IsZero() bool {
	return m == Member{}
}

// Configuration is the set of members. Voters elect leaders and commit entries;
// learners only receive the log.
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

// Quorum returns the number of voters that form a majority.
func (c Configuration) Quorum() int {
	return len(c.Voters)/2 + 1
}

// Members returns voters, then learners.
func (c Configuration) Members() []Member {
	return slices.Concat(c.Voters, c.Learners)
}

// ChangeKind is the type of a membership change.
type ChangeKind uint8

const (
	// AddLearner adds a member that receives the log without voting.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner that has caught up a voter.
	Promote
	// Remove removes a voter or learner.
	Remove
)

// String returns the name of the change.
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

// Change is one membership change. It adds or removes at most one voter.
type Change struct {
	Kind   ChangeKind
	Member Member
	// Reason appears in the event of the change.
	Reason string
}

// Apply returns the configuration after a change and leaves the receiver as it
// is. It returns ErrUnsafeChange if the change does not fit the configuration.
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

// decodeConfiguration decodes the data of a configuration entry.
func decodeConfiguration(data []byte) (Configuration, error) {
	var c Configuration
	err := msgpack.Unmarshal(data, &c)
	return c, err
}

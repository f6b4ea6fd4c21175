// Package registry keeps what upstreams announced about themselves, as a part of the
// replicated state: their IDs, their addresses and what they serve. It contains no
// load and no cache events; these change every second, and only the owning router
// needs them.
//
// No configuration lists the upstreams. The first router that receives an
// announcement of an unknown or changed upstream proposes a Register. The owner
// proposes a Remove when the upstream has left or has been silent for long.
//
// Failures guarded against:
//
//   - A Register or Remove of an earlier incarnation arrives late, after the upstream
//     has restarted. It changes nothing, so the restarted upstream stays registered.
//   - Two upstreams have the same ID. An ID with another address in the same
//     incarnation must be a second upstream, so the first one keeps the ID.
package registry

import (
	"cmp"
	"maps"
	"slices"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// maxUpstreams bounds the state in case a fault announces ever new IDs. It is far
// above 790 servers.
const maxUpstreams = 20_000

// Descriptor describes one upstream.
type Descriptor struct {
	ID          protocol.UpstreamID `msgpack:"i" json:"id"`
	Incarnation uint64              `msgpack:"n" json:"incarnation"`
	Kind        upstreamapi.Kind    `msgpack:"k" json:"kind"`
	Address     string              `msgpack:"a" json:"address"`
	DataCentre  protocol.DataCentre `msgpack:"d" json:"data_centre"`
	Models      []protocol.Model    `msgpack:"m,omitempty" json:"models,omitempty"`
	Service     protocol.Service    `msgpack:"s,omitempty" json:"service,omitempty"`
	// Build is the version of the upstream's software.
	Build string `msgpack:"b,omitempty" json:"build,omitempty"`
	// Capacity is in tokens a second if the upstream is an engine.
	Capacity      float64 `msgpack:"c" json:"capacity"`
	MaxConcurrent int     `msgpack:"x" json:"max_concurrent"`
	ChecksFence   bool    `msgpack:"f,omitempty" json:"checks_fence"`
	// Revision is the log index of the command that last changed it.
	Revision uint64 `msgpack:"v" json:"revision"`
}

// FromAnnouncement returns the descriptor of the upstream that sent an announcement.
func FromAnnouncement(a upstreamapi.Announcement) Descriptor {
	return Descriptor{
		ID:            a.ID,
		Incarnation:   a.Incarnation,
		Kind:          a.Kind,
		Address:       a.Address,
		DataCentre:    a.DataCentre,
		Models:        a.Models,
		Service:       a.Service,
		Build:         a.Build,
		Capacity:      a.Capacity,
		MaxConcurrent: a.MaxConcurrent,
		ChecksFence:   a.ChecksFence,
	}
}

// Same reports whether two descriptors are equal in everything but their revision.
func (d Descriptor) Same(other Descriptor) bool {
	return d.ID == other.ID && d.Incarnation == other.Incarnation && d.Kind == other.Kind &&
		d.Address == other.Address && d.DataCentre == other.DataCentre && slices.Equal(d.Models, other.Models) &&
		d.Service == other.Service && d.Build == other.Build && d.Capacity == other.Capacity &&
		d.MaxConcurrent == other.MaxConcurrent && d.ChecksFence == other.ChecksFence
}

// Register is the command that adds or changes one upstream.
type Register struct {
	Descriptor Descriptor `msgpack:"d"`
}

// Remove is the command that removes one upstream.
type Remove struct {
	ID          protocol.UpstreamID `msgpack:"i"`
	Incarnation uint64              `msgpack:"n"`
	// Why is a reason code, kept for the explained event.
	Why string `msgpack:"w,omitempty"`
}

// Outcome is the result of a command.
type Outcome string

const (
	// Done means that the command took effect or had taken effect before.
	Done Outcome = "done"
	// Late means that a newer incarnation is registered.
	Late Outcome = "late"
	// Taken means that another upstream has the ID.
	Taken Outcome = "taken"
	// Full means that the registry holds maxUpstreams already.
	Full Outcome = "full"
)

// Answer is the encoded result of a command.
type Answer struct {
	Outcome Outcome `msgpack:"o"`
}

// State holds the descriptors. It isn't safe for concurrent use.
type State struct {
	descriptors map[protocol.UpstreamID]Descriptor
}

// NewState returns an empty registry.
func NewState() *State {
	return &State{descriptors: map[protocol.UpstreamID]Descriptor{}}
}

// Get returns one descriptor.
func (s *State) Get(id protocol.UpstreamID) (Descriptor, bool) {
	found, ok := s.descriptors[id]
	return found, ok
}

// All returns the descriptors sorted by ID.
func (s *State) All() []Descriptor {
	return slices.SortedFunc(maps.Values(s.descriptors), func(a, b Descriptor) int { return cmp.Compare(a.ID, b.ID) })
}

// Register applies a Register command and reports whether anything changed. index is
// the command's log index.
func (s *State) Register(index uint64, command Register) (Answer, bool) {
	announced := command.Descriptor
	known, exists := s.descriptors[announced.ID]
	switch {
	case !exists && len(s.descriptors) >= maxUpstreams:
		return Answer{Outcome: Full}, false
	case exists && announced.Incarnation < known.Incarnation:
		return Answer{Outcome: Late}, false
	case exists && announced.Incarnation == known.Incarnation && announced.Address != known.Address:
		return Answer{Outcome: Taken}, false
	case exists && announced.Same(known):
		return Answer{Outcome: Done}, false
	}
	announced.Revision = index
	s.descriptors[announced.ID] = announced
	return Answer{Outcome: Done}, true
}

// Remove applies a Remove command and reports whether anything changed.
func (s *State) Remove(command Remove) (Answer, bool) {
	known, exists := s.descriptors[command.ID]
	if !exists {
		return Answer{Outcome: Done}, false
	}
	if command.Incarnation < known.Incarnation {
		return Answer{Outcome: Late}, false
	}
	delete(s.descriptors, command.ID)
	return Answer{Outcome: Done}, true
}

// FromSnapshot returns a registry with the descriptors of a snapshot.
func FromSnapshot(descriptors []Descriptor) *State {
	state := NewState()
	for _, descriptor := range descriptors {
		state.descriptors[descriptor.ID] = descriptor
	}
	return state
}

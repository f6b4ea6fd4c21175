package registry

import (
	"testing"

	"gotest.tools/v3/assert"
)

func descriptor(incarnation uint64, address string) Register {
	return Register{Descriptor: Descriptor{ID: "e1", Incarnation: incarnation, Address: address, Capacity: 1}}
}

// An engine restarts and announces itself under a new incarnation. Then two late
// messages about its earlier incarnation arrive: a removal and an old announcement.
// If either took effect, a healthy engine would be lost.
func TestLateCommandsOfAnEarlierIncarnationChangeNothing(t *testing.T) {
	state := NewState()
	state.Register(1, descriptor(2, "a"))
	answer, changed := state.Remove(Remove{ID: "e1", Incarnation: 1})
	assert.Equal(t, answer.Outcome, Late)
	assert.Assert(t, !changed)
	answer, changed = state.Register(2, descriptor(1, "old"))
	assert.Equal(t, answer.Outcome, Late)
	assert.Assert(t, !changed)
}

// Two engines are configured with the same ID. If each announcement replaced the
// other's address, work would go back and forth between them.
func TestSecondUpstreamUnderOneIDIsRefused(t *testing.T) {
	state := NewState()
	state.Register(1, descriptor(1, "a"))
	answer, changed := state.Register(2, descriptor(1, "b"))
	assert.Equal(t, answer.Outcome, Taken)
	assert.Assert(t, !changed)
	known, _ := state.Get("e1")
	assert.Equal(t, known.Address, "a")
}

// A repeated registration must not count as a change, and a snapshot must restore the
// registry.
func TestRepeatedRegistrationIsNoChange(t *testing.T) {
	state := NewState()
	_, first := state.Register(1, descriptor(1, "a"))
	_, second := state.Register(2, descriptor(1, "a"))
	assert.Assert(t, first)
	assert.Assert(t, !second)
	restored := FromSnapshot(state.All())
	assert.DeepEqual(t, restored.All(), state.All())
}

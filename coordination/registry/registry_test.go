package registry

import (
	"testing"

	"gotest.tools/v3/assert"
)

func descriptor(incarnation uint64, address string) Register {
	return Register{Descriptor: Descriptor{ID: "e1", Incarnation: incarnation, Address: address, Capacity: 1}}
}

// An engine restarts and announces itself under a new incarnation. Words about
// its earlier life are still on the way: a removal, and an old announcement.
// Acting on either would take a healthy engine away.
func TestLateWordsAboutAnEarlierLifeChangeNothing(t *testing.T) {
	state := NewState()
	state.Register(1, descriptor(2, "a"))
	answer, changed := state.Remove(Remove{ID: "e1", Incarnation: 1})
	assert.Equal(t, answer.Outcome, Late)
	assert.Assert(t, !changed)
	answer, changed = state.Register(2, descriptor(1, "old"))
	assert.Equal(t, answer.Outcome, Late)
	assert.Assert(t, !changed)
}

// Two engines are set up with the same ID. If each announcement replaced the
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

func TestRepeatedRegistrationIsNoChange(t *testing.T) {
	state := NewState()
	_, first := state.Register(1, descriptor(1, "a"))
	_, second := state.Register(2, descriptor(1, "a"))
	assert.Assert(t, first)
	assert.Assert(t, !second)
	restored := FromSnapshot(state.All())
	assert.DeepEqual(t, restored.All(), state.All())
}

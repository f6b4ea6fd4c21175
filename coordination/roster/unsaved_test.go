package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// left returns the entry of an upstream that has left.
func left(id protocol.UpstreamID, sequence uint64) Entry {
	return Entry{ID: id, State: Gone, Sequence: sequence}
}

// Guards: a notice counts as on disk although the write that has it failed or came before it.
func TestUnsavedNoticeIsOnDiskOnlyOnceItsWriteIsDone(t *testing.T) {
	u := NewUnsaved(time.Minute)
	assert.Assert(t, u.AllSaved())
	one := u.Add(0, left("u1", 1))
	two := u.Add(0, left("u2", 1))
	assert.DeepEqual(t, u.Saved(one), []protocol.UpstreamID{"u1"})
	assert.Assert(t, u.IsSaved(one) && !u.IsSaved(two) && !u.AllSaved())
	assert.Equal(t, u.Add(0, left("u1", 1)), one, "it is on disk already")
	assert.Equal(t, len(u.Entries(0)), 2, "until the saved roster has it")
	assert.DeepEqual(t, u.RosterSaved(two), []protocol.UpstreamID{"u2"})
	assert.Equal(t, len(u.Entries(0)), 0)
	assert.Assert(t, u.AllSaved())
}

// Guards: an upstream that drains, takes that back and drains again counts as on disk, where a newer
// announcement overrules the first notice.
func TestUnsavedNoticeWithANewerNumberIsWrittenAgain(t *testing.T) {
	u := NewUnsaved(time.Minute)
	u.Saved(u.Add(0, left("u1", 1)))
	again := u.Add(0, left("u1", 3))
	assert.Assert(t, !u.IsSaved(again))
	assert.Equal(t, len(u.Entries(0)), 1)
}

// Guards: the notices of upstreams that left long ago fill memory while the disk takes no writes.
func TestUnsavedNoticesAreDroppedOnceASavedCopyWouldBeTooOld(t *testing.T) {
	u := NewUnsaved(time.Minute)
	u.Add(0, left("u1", 1))
	u.Add(30*time.Second, left("u2", 1))
	assert.Equal(t, len(u.Entries(61*time.Second)), 1)
}

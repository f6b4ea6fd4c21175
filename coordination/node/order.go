package node

import (
	"time"

	"endiveplank/protocol/fleet"
)

// order is the part of an entry that follows the journal.
type order struct {
	key string
}

func (n *Node) startOrder(now time.Duration, e *entry)                {}
func (n *Node) orderChunk(e *entry, chunk fleet.Chunk)                {}
func (n *Node) orderEnd(now time.Duration, e *entry, end fleet.End)   {}
func (n *Node) orderDue(now time.Duration, e *entry)                  {}
func (n *Node) orderOwnerLost(now time.Duration, e *entry)            {}
func (n *Node) journalResult(now time.Duration, result JournalResult) {}

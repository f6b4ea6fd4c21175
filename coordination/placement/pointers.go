package placement

import (
	"time"

	"endiveplank/protocol/chat"
)

// PointerLifetime is how long a forwarding pointer (an entry of
// ForwardingPointers) is used. Most chats return
// within minutes and some after hours. After half a day the prefix has been
// evicted in nearly all cases, and the first choice can serve the chat as
// well.
const PointerLifetime = 12 * time.Hour

// ForwardingPointers stores, for chats whose first choice is owned here but
// that ran elsewhere, the upstream on which they last ran.
//
// Load: an engine at its bound sends chats elsewhere. Harm: at the next turn
// the first choice has capacity again, takes the chat, and prefills what
// another engine has in its cache. One entry of EntryBytes for each moved chat
// leads it back to that engine.
type ForwardingPointers struct {
	table table
}

// NewForwardingPointers returns a table for about the given number of chats.
func NewForwardingPointers(entries int) *ForwardingPointers {
	return &ForwardingPointers{table: newTable(entries)}
}

// Put stores that a chat ran on the upstream with the given ShortID.
func (p *ForwardingPointers) Put(now time.Duration, root chat.ChainHash, short uint32) {
	p.table.put(now, uint64(root), uint64(short))
}

// Get returns the upstream on which a chat last ran, if that was not its first
// choice.
func (p *ForwardingPointers) Get(now time.Duration, root chat.ChainHash) (short uint32, ok bool) {
	value, stamp, ok := p.table.get(uint64(root))
	if !ok || ageOf(now, stamp) > PointerLifetime {
		return 0, false
	}
	return uint32(value), true
}

// Remove deletes the pointer of a chat that ran on its first choice again.
func (p *ForwardingPointers) Remove(root chat.ChainHash) {
	p.table.remove(uint64(root))
}

// Len is the number of pointers.
func (p *ForwardingPointers) Len() int { return p.table.used }

// Bytes is the memory that the table takes.
func (p *ForwardingPointers) Bytes() int { return p.table.bytes() }

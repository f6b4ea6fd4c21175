package placement

import (
	"time"

	"endiveplank/protocol/chat"
)

// PointerLifetime is how long a forwarding pointer is followed. Most chats
// return within minutes and some after hours; after half a day the prefix has
// been evicted in nearly all cases and the home serves the chat as well.
const PointerLifetime = 12 * time.Hour

// Pointers remembers for chats whose home is here on which upstream they last
// ran instead.
//
// Load: an engine at its bound sends chats elsewhere. Harm: at the next turn
// the home has room again, takes the chat, and prefills what another engine
// holds. One entry of EntryBytes for each moved chat leads it back.
type Pointers struct {
	table table
}

// NewPointers returns a table for about the given number of chats.
func NewPointers(entries int) *Pointers {
	return &Pointers{table: newTable(entries)}
}

// Put notes that a chat ran on the upstream with the short identifier.
func (p *Pointers) Put(now time.Duration, root chat.ChainHash, short uint32) {
	p.table.put(now, uint64(root), uint64(short))
}

// Get returns where a chat last ran, if not at its home.
func (p *Pointers) Get(now time.Duration, root chat.ChainHash) (short uint32, ok bool) {
	value, stamp, ok := p.table.get(uint64(root))
	if !ok || ageOf(now, stamp) > PointerLifetime {
		return 0, false
	}
	return uint32(value), true
}

// Remove forgets a chat that ran at its home again.
func (p *Pointers) Remove(root chat.ChainHash) {
	p.table.remove(uint64(root))
}

// Len is the number of pointers held, and Bytes the memory.
func (p *Pointers) Len() int { return p.table.live }

// Bytes is the memory that the table holds.
func (p *Pointers) Bytes() int { return p.table.bytes() }

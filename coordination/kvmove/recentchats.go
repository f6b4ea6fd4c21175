package kvmove

import (
	"cmp"
	"slices"

	"endiveplank/protocol/chat"
)

// RecentChats records the chats that recently ran on one engine.
type RecentChats struct {
	limit int
	chats map[chat.ChainHash]Chat
}

// NewRecentChats returns a record of at most limit chats, each of which takes
// about 100 bytes.
func NewRecentChats(limit int) *RecentChats {
	return &RecentChats{limit: limit, chats: map[chat.ChainHash]Chat{}}
}

// Record records a turn of a chat. The root in the key identifies the chat.
func (r *RecentChats) Record(turn Chat) {
	r.chats[turn.Key.Root] = turn
	if len(r.chats) > r.limit {
		r.evict()
	}
}

// evict deletes the older half of the chats. Deleting many at once spreads the
// cost of sorting over as many turns.
func (r *RecentChats) evict() {
	for _, old := range r.Chats()[r.limit/2:] {
		delete(r.chats, old.Key.Root)
	}
}

// Chats returns the chats, the most recently used first.
func (r *RecentChats) Chats() []Chat {
	chats := make([]Chat, 0, len(r.chats))
	for _, known := range r.chats {
		chats = append(chats, known)
	}
	slices.SortFunc(chats, func(a, b Chat) int {
		return cmp.Or(cmp.Compare(b.UsedAt, a.UsedAt), cmp.Compare(a.Key.Root, b.Key.Root))
	})
	return chats
}

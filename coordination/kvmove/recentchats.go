package kvmove

import (
	"cmp"
	"slices"

	"endiveplank/protocol/chat"
)

// Hot remembers the chats that lately ran on one engine.
type Hot struct {
	limit int
	chats map[chat.ChainHash]Chat
}

// NewHot returns a memory of about limit chats; each takes some 100 bytes.
func NewHot(limit int) *Hot { return &Hot{limit: limit, chats: map[chat.ChainHash]Chat{}} }

// Note notes a turn of a chat, which is known by the root in its key.
func (h *Hot) Note(turn Chat) {
	h.chats[turn.Key.Root] = turn
	if len(h.chats) > h.limit {
		h.forget()
	}
}

// forget drops the older half, so that its sorting is paid for by as many
// turns.
func (h *Hot) forget() {
	for _, old := range h.Chats()[h.limit/2:] {
		delete(h.chats, old.Key.Root)
	}
}

// Chats returns the chats, last used first.
func (h *Hot) Chats() []Chat {
	chats := make([]Chat, 0, len(h.chats))
	for _, known := range h.chats {
		chats = append(chats, known)
	}
	slices.SortFunc(chats, func(a, b Chat) int {
		return cmp.Or(cmp.Compare(b.UsedAt, a.UsedAt), cmp.Compare(a.Key.Root, b.Key.Root))
	})
	return chats
}

package placement

import "endiveplank/protocol/chat"

// userRole is the role of messages that callers write.
const userRole = "user"

// RootIndex returns the position of a chat's root in its chain: the link of
// the prefix that ends with the first user message. This prefix is the same in
// all turns of a chat, so its hash identifies the chat. The system prompt
// alone would not do: thousands of chats may share it, and its hash would send
// them all to one engine.
func RootIndex(messages []chat.Message) int {
	for i, m := range messages {
		if m.Role == userRole {
			return i
		}
	}
	return 0
}

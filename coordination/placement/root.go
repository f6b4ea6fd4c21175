package placement

import "endiveplank/protocol/chat"

// userRole is the role of messages that callers write.
const userRole = "user"

// RootLink returns the position in a chat's chain of the link that places
// it: the prefix that ends with the first user message. It is the same in
// all turns of a chat. The system prompt before it, which thousands of chats
// may share, would send them all to one engine if it were hashed alone.
func RootLink(messages []chat.Message) int {
	for i, m := range messages {
		if m.Role == userRole {
			return i
		}
	}
	return 0
}

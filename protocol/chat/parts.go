package chat

import (
	"crypto/sha256"
	"encoding/binary"
)

// SharedParts returns the keys of the messages that other chats may have too: all but the last. A
// message has the same key wherever it stands. The hash is cryptographic because a message is refused
// by its key: a customer could otherwise craft one that has the key of another customer's.
func SharedParts(messages []Message) []uint64 {
	if len(messages) == 0 {
		return nil
	}
	keys := make([]uint64, 0, len(messages)-1)
	for _, message := range messages[:len(messages)-1] {
		hash := sha256.Sum256([]byte(message.Content))
		keys = append(keys, binary.BigEndian.Uint64(hash[:]))
	}
	return keys
}

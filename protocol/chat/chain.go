package chat

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the usual length in bytes of a token of English text. It
// converts message lengths into the token estimates that placement and admission
// use; engines report exact counts later.
const bytesPerToken = 4

// tokensPerMessage is the overhead of role markers around one message, in
// tokens.
const tokensPerMessage = 4

// ChainHash identifies a prefix of a chat: a model and the messages from the
// first to some later one. Two chats with equal prefixes have equal hashes. The
// hash is not cryptographic: a collision can only cost cache reuse, because the
// hash decides where a request runs and never what the answer is.
type ChainHash uint64

// Link is one prefix of a chat.
type Link struct {
	// Hash identifies the prefix that ends with this message.
	Hash ChainHash
	// Tokens is the estimated length of the whole prefix, in tokens.
	Tokens int
}

// Chain returns one link for each message, shortest prefix first. The chain of a
// chat's later request starts with the links of its earlier requests.
func Chain(model string, messages []Message) []Link {
	links := make([]Link, 0, len(messages))
	hash := ChainHash(xxhash.Sum64String(model))
	tokens := 0
	for _, message := range messages {
		hash = extend(hash, message)
		tokens += EstimateTokens(message)
		links = append(links, Link{Hash: hash, Tokens: tokens})
	}
	return links
}

// EstimateTokens returns the estimated length of a message in tokens.
func EstimateTokens(message Message) int {
	return tokensPerMessage + (len(message.Content)+bytesPerToken-1)/bytesPerToken
}

// extend returns the hash of a prefix with one more message. It hashes the
// length of the role first, so that two different (role, content) pairs never
// give the same input bytes.
func extend(prefix ChainHash, message Message) ChainHash {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], uint64(prefix))
	binary.LittleEndian.PutUint64(head[8:], uint64(len(message.Role)))
	digest := xxhash.New()
	_, _ = digest.Write(head[:])
	_, _ = digest.WriteString(message.Role)
	_, _ = digest.WriteString(message.Content)
	return ChainHash(digest.Sum64())
}

// Package answer computes the text that a stand-in engine gives to a chat.
//
// The answer depends only on the request's model, messages and token limit: not
// on the clock, the engine or a random source. A checker can therefore recompute
// the complete expected answer from the request alone and compare it byte for
// byte. The load generator finds in this way an answer that was cut off, that is
// mixed with the answer to another request, that repeats a part after a
// resumption, or that belongs to another caller.
//
// A token is one made-up word and a space. Token i is derived from a hash of the
// request and i, so an engine that resumes at token i needs no state from the
// engine that started the answer.
package answer

import (
	"strings"

	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// An answer whose request sets no max_tokens has minTokens tokens and, depending
// on the request's hash, up to spreadTokens-1 more.
const (
	minTokens    = 16
	spreadTokens = 48
)

// A word has three syllables, each of one of 16 consonants and one of 4 vowels.
// That makes 262,144 words, so two different answers have the same token at a
// given position with a probability of 1 in 262,144.
const (
	consonants = "bdfghjklmnprstvz"
	vowels     = "aeio"
	syllables  = 3
)

// Answer is the complete answer to one request. It computes its tokens on demand.
type Answer struct {
	seed   uint64
	tokens int
}

// For returns the answer to a request. A streamed and a non-streamed request get
// the same text.
func For(request chat.Request) Answer {
	links := chat.Chain(request.Model, request.Messages)
	seed := uint64(0)
	if len(links) > 0 {
		seed = uint64(links[len(links)-1].Hash)
	}
	tokens := request.MaxTokens
	if tokens <= 0 {
		tokens = minTokens + int(protocol.Mix(seed)%spreadTokens)
	}
	return Answer{seed: seed, tokens: tokens}
}

// Len returns the number of tokens.
func (a Answer) Len() int { return a.tokens }

// Token returns token i, counted from 0, with its trailing space.
func (a Answer) Token(i int) string {
	bits := protocol.Mix(a.seed + uint64(i+1)*0x9e3779b97f4a7c15)
	word := make([]byte, 0, 2*syllables+1)
	for range syllables {
		word = append(word, consonants[bits%16], vowels[bits/16%4])
		bits /= 64
	}
	return string(append(word, ' '))
}

// Text returns the complete answer.
func (a Answer) Text() string {
	return a.From(0)
}

// From returns the answer from token i to its end, which an engine sends when it
// resumes at token i.
func (a Answer) From(i int) string {
	var text strings.Builder
	for ; i < a.tokens; i++ {
		text.WriteString(a.Token(i))
	}
	return text.String()
}

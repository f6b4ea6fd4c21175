// Package trace generates the requests of a load run from a seed.
//
// A Generator draws Items, the arrivals, as its Model says. Requests arrive as a
// Poisson process at Rate. Customers are drawn from a Zipf distribution, so a few
// of them are large. An arrival continues a chat whose pause is over, or else
// begins a new one. After each turn a chat returns with probability ReturnShare,
// after a pause drawn from a log-uniform distribution. Its prompt holds the whole
// history, so prompts grow. Every chat of a customer begins with that customer's
// own system message. Most requests are short; LongShare of them have a long
// prompt and a long answer. In bursts, for BurstLength in every BurstEvery,
// arrivals come BurstFactor times as often, and all the additional ones belong to
// one customer. OrderShare of the arrivals are orders with an idempotency key, and
// ResendShare of these are sent a second time at once.
//
// The assistant's turns in a history are computed by package answer. So the
// generator needs no real answers, and the same seed gives the same requests
// against any target.
package trace

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"endiveplank/protocol/chat"
	"endiveplank/standin/answer"
)

// Lengths of prompts in words and of answers in tokens. A length is drawn between
// a minimum and that minimum plus its spread.
const (
	systemWords       = 120
	shortWords        = 10
	shortWordsSpread  = 50
	longWords         = 400
	longWordsSpread   = 800
	shortTokens       = 12
	shortTokensSpread = 36
	longTokens        = 120
	longTokensSpread  = 120
)

// Model holds the parameters of a trace.
type Model struct {
	// Run is part of every text and key, so that two runs share no prefix.
	Run string
	// Rate is the mean number of arrivals per second outside bursts.
	Rate float64
	// Customers is the number of customers. The share of customer i, counted from
	// 0, is proportional to 1/(i+1)^ZipfExponent.
	Customers    int
	ZipfExponent float64
	Models       []string
	ReturnShare  float64
	PauseMin     time.Duration
	PauseMax     time.Duration
	// MaxTurns is the number of requests after which a chat ends. MaxPaused bounds
	// the number of paused chats; a chat that would exceed it ends instead.
	MaxTurns    int
	MaxPaused   int
	LongShare   float64
	OrderShare  float64
	ResendShare float64
	BurstEvery  time.Duration
	BurstLength time.Duration
	BurstFactor float64
}

// DefaultModel returns the parameters that docs/LOAD.md documents.
func DefaultModel() Model {
	return Model{
		Run:          "run",
		Rate:         50,
		Customers:    10,
		ZipfExponent: 1.1,
		Models:       []string{"m1"},
		ReturnShare:  0.7,
		PauseMin:     time.Second,
		PauseMax:     30 * time.Second,
		MaxTurns:     8,
		MaxPaused:    20_000,
		LongShare:    0.1,
		OrderShare:   0.05,
		ResendShare:  0.1,
		BurstEvery:   20 * time.Second,
		BurstLength:  2 * time.Second,
		BurstFactor:  3,
	}
}

// Order is an order for the order service.
type Order struct {
	Key  string
	Body []byte
	// Resend means that the caller sends the order a second time at once.
	Resend bool
}

// Item is one arrival: an order when Order is set, else a chat request.
type Item struct {
	At time.Duration
	// Customer is the customer's rank, from 0.
	Customer int
	// Chat is the number of the chat, from 1, and Turn that of its request, from 0.
	Chat    uint64
	Turn    int
	Request chat.Request
	Order   *Order
}

// Generator draws the arrivals of a trace. It is not safe for concurrent use.
type Generator struct {
	model            Model
	rng              *rand.Rand
	cumulativeShares []float64 // of customers, by rank
	now              time.Duration
	chats            uint64
	orders           uint64
	paused           pausedChats
}

// pausedChat is a chat between two of its turns. due is the time at which it
// returns, on the clock of the trace.
type pausedChat struct {
	due      time.Duration
	id       uint64
	customer int
	turn     int
	model    string
	messages []chat.Message
}

// New returns a generator that takes its random numbers from rng.
func New(model Model, rng *rand.Rand) *Generator {
	g := &Generator{model: model, rng: rng}
	total := 0.0
	for i := range model.Customers {
		total += math.Pow(float64(i+1), -model.ZipfExponent)
		g.cumulativeShares = append(g.cumulativeShares, total)
	}
	for i := range g.cumulativeShares {
		g.cumulativeShares[i] /= total
	}
	return g
}

// Next returns the next arrival.
func (g *Generator) Next() Item {
	surplus := g.advance()
	if g.rng.Float64() < g.model.OrderShare {
		return g.newOrder()
	}
	if surplus {
		return g.startChat(g.burstCustomer())
	}
	if len(g.paused) > 0 && g.paused[0].due <= g.now {
		return g.nextTurn(heap.Pop(&g.paused).(*pausedChat))
	}
	return g.startChat(g.drawCustomer())
}

// advance moves the clock to the next arrival and reports whether it is one of the
// additional arrivals of a burst.
func (g *Generator) advance() (surplus bool) {
	rate := g.model.Rate
	burst := g.inBurst()
	if burst {
		rate *= g.model.BurstFactor
	}
	g.now += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
	return burst && g.rng.Float64() > 1/g.model.BurstFactor
}

// inBurst reports whether the clock is in a burst. There is none in the first
// BurstEvery.
func (g *Generator) inBurst() bool {
	if g.model.BurstEvery <= 0 || g.now < g.model.BurstEvery {
		return false
	}
	return g.now%g.model.BurstEvery < g.model.BurstLength
}

// burstCustomer returns the customer of the current burst. Each burst belongs to
// the next customer by rank.
func (g *Generator) burstCustomer() int {
	return int(g.now/g.model.BurstEvery) % g.model.Customers
}

func (g *Generator) drawCustomer() int {
	drawn := g.rng.Float64()
	for i, share := range g.cumulativeShares {
		if drawn < share {
			return i
		}
	}
	return len(g.cumulativeShares) - 1
}

func (g *Generator) newOrder() Item {
	g.orders++
	customer := g.drawCustomer()
	order := &Order{
		Key:    fmt.Sprintf("order-%s-%d", g.model.Run, g.orders),
		Resend: g.rng.Float64() < g.model.ResendShare,
	}
	order.Body = fmt.Appendf(nil, `{"customer":%d,"order":%d,"gallons":%d}`,
		customer, g.orders, 100+g.rng.IntN(4900))
	return Item{At: g.now, Customer: customer, Order: order}
}

// startChat begins a chat with its customer's system message and returns its first
// request.
func (g *Generator) startChat(customer int) Item {
	g.chats++
	system := fmt.Sprintf("%s customer %d. %s", g.model.Run, customer, randomWords(uint64(customer), systemWords))
	return g.nextTurn(&pausedChat{
		id:       g.chats,
		customer: customer,
		model:    g.model.Models[g.rng.IntN(len(g.model.Models))],
		messages: []chat.Message{{Role: "system", Content: system}},
	})
}

// nextTurn returns a chat's next request and may schedule the one after it.
func (g *Generator) nextTurn(c *pausedChat) Item {
	length := shortWords + g.rng.IntN(shortWordsSpread)
	tokens := shortTokens + g.rng.IntN(shortTokensSpread)
	if g.rng.Float64() < g.model.LongShare {
		length = longWords + g.rng.IntN(longWordsSpread)
		tokens = longTokens + g.rng.IntN(longTokensSpread)
	}
	text := fmt.Sprintf("chat %d turn %d. %s", c.id, c.turn, randomWords(g.rng.Uint64(), length))
	c.messages = append(c.messages, chat.Message{Role: "user", Content: text})
	request := chat.Request{
		Model:     c.model,
		Messages:  c.messages[:len(c.messages):len(c.messages)],
		Stream:    true,
		MaxTokens: tokens,
	}
	item := Item{At: g.now, Customer: c.customer, Chat: c.id, Turn: c.turn, Request: request}
	g.schedule(c, request)
	return item
}

// schedule adds a chat to the paused ones with the time of its return, unless the
// chat ends here.
func (g *Generator) schedule(c *pausedChat, request chat.Request) {
	c.turn++
	if c.turn >= g.model.MaxTurns || len(g.paused) >= g.model.MaxPaused || g.rng.Float64() >= g.model.ReturnShare {
		return
	}
	reply := chat.Message{Role: "assistant", Content: answer.For(request).Text()}
	c.messages = append(c.messages, reply)
	ratio := float64(g.model.PauseMax) / float64(g.model.PauseMin)
	c.due = g.now + time.Duration(float64(g.model.PauseMin)*math.Pow(ratio, g.rng.Float64()))
	heap.Push(&g.paused, c)
}

// randomWords returns n pseudo-random words that depend only on the seed.
func randomWords(seed uint64, n int) string {
	prompt := chat.Request{Messages: []chat.Message{{Content: fmt.Sprint(seed)}}, MaxTokens: n}
	return strings.TrimSpace(answer.For(prompt).Text())
}

// pausedChats is a heap of chats, with the earliest return on top.
type pausedChats []*pausedChat

func (c pausedChats) Len() int           { return len(c) }
func (c pausedChats) Less(i, j int) bool { return c[i].due < c[j].due }
func (c pausedChats) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *pausedChats) Push(s any)        { *c = append(*c, s.(*pausedChat)) }
func (c *pausedChats) Pop() any {
	old := *c
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*c = old[:len(old)-1]
	return last
}

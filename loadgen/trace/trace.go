// Package trace generates the requests of a load run from a seed.
//
// Requests arrive as a Poisson process at Rate. Customers are drawn from a Zipf
// distribution, so a few of them are large. An arrival continues a chat that is
// due to return, or else begins a new one; a chat returns with probability
// ReturnShare after each turn, after a pause drawn evenly on a logarithmic
// scale. Its prompt holds the whole history, so prompts grow. Every chat of a
// customer begins with that customer's own system message. Most requests are
// short; LongShare of them have a long prompt and a long answer. Now and then
// one customer surges: for BurstLength in every BurstEvery, arrivals come
// BurstFactor times as often and the surplus is all that customer's. OrderShare
// of the arrivals are orders with an idempotency key, and ResendShare of these
// are sent a second time at once.
//
// The assistant's turns in a history come from package answer, so the generator
// needs no answers and the same seed gives the same requests against any
// target.
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

// Lengths of prompts in words and of answers in tokens: from, and spread above.
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

// Model is what a trace is drawn from.
type Model struct {
	// Run goes into every text and key, so that two runs share no prefix.
	Run string
	// Rate is the mean number of arrivals a second outside bursts.
	Rate float64
	// Customers is their number; customer i of n has a share of about
	// 1/(i+1)^ZipfExponent.
	Customers    int
	ZipfExponent float64
	Models       []string
	ReturnShare  float64
	PauseMin     time.Duration
	PauseMax     time.Duration
	// MaxTurns ends a chat; MaxWaiting bounds the chats that may return.
	MaxTurns    int
	MaxWaiting  int
	LongShare   float64
	OrderShare  float64
	ResendShare float64
	BurstEvery  time.Duration
	BurstLength time.Duration
	BurstFactor float64
}

// DefaultModel returns the trace that docs/LOAD.md documents.
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
		MaxWaiting:   20_000,
		LongShare:    0.1,
		OrderShare:   0.05,
		ResendShare:  0.1,
		BurstEvery:   20 * time.Second,
		BurstLength:  2 * time.Second,
		BurstFactor:  3,
	}
}

// Order is an order to a plain service.
type Order struct {
	Key  string
	Body []byte
	// Resend asks the caller to send the order a second time at once.
	Resend bool
}

// Item is one arrival: an order when Order is set, else a chat request.
type Item struct {
	At time.Duration
	// Customer is the customer's rank, from 0.
	Customer int
	// Chat numbers the chat and Turn its requests, from 0.
	Chat    uint64
	Turn    int
	Request chat.Request
	Order   *Order
}

// Generator draws a trace. It is not safe for concurrent use.
type Generator struct {
	model   Model
	rng     *rand.Rand
	shares  []float64 // cumulative shares of customers
	now     time.Duration
	chats   uint64
	orders  uint64
	waiting returns
}

// session is a chat between two of its turns.
type session struct {
	due      time.Duration
	id       uint64
	customer int
	turn     int
	model    string
	messages []chat.Message
}

// New returns a generator that draws from rng.
func New(model Model, rng *rand.Rand) *Generator {
	g := &Generator{model: model, rng: rng}
	total := 0.0
	for i := range model.Customers {
		total += math.Pow(float64(i+1), -model.ZipfExponent)
		g.shares = append(g.shares, total)
	}
	for i := range g.shares {
		g.shares[i] /= total
	}
	return g
}

// Next returns the next arrival.
func (g *Generator) Next() Item {
	surplus := g.advance()
	if g.rng.Float64() < g.model.OrderShare {
		return g.order()
	}
	if surplus {
		return g.begin(g.surgingCustomer())
	}
	if len(g.waiting) > 0 && g.waiting[0].due <= g.now {
		return g.turn(heap.Pop(&g.waiting).(*session))
	}
	return g.begin(g.customer())
}

// advance moves the clock to the next arrival and says whether it belongs to
// the surplus of a burst.
func (g *Generator) advance() (surplus bool) {
	rate := g.model.Rate
	burst := g.inBurst()
	if burst {
		rate *= g.model.BurstFactor
	}
	g.now += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
	return burst && g.rng.Float64() > 1/g.model.BurstFactor
}

// inBurst says whether a customer surges now. The first BurstEvery is calm.
func (g *Generator) inBurst() bool {
	if g.model.BurstEvery <= 0 || g.now < g.model.BurstEvery {
		return false
	}
	return g.now%g.model.BurstEvery < g.model.BurstLength
}

// surgingCustomer returns the customer of the current burst: each burst the
// next one in rank.
func (g *Generator) surgingCustomer() int {
	return int(g.now/g.model.BurstEvery) % g.model.Customers
}

func (g *Generator) customer() int {
	drawn := g.rng.Float64()
	for i, share := range g.shares {
		if drawn < share {
			return i
		}
	}
	return len(g.shares) - 1
}

func (g *Generator) order() Item {
	g.orders++
	customer := g.customer()
	order := &Order{
		Key:    fmt.Sprintf("order-%s-%d", g.model.Run, g.orders),
		Resend: g.rng.Float64() < g.model.ResendShare,
	}
	order.Body = fmt.Appendf(nil, `{"customer":%d,"order":%d,"gallons":%d}`,
		customer, g.orders, 100+g.rng.IntN(4900))
	return Item{At: g.now, Customer: customer, Order: order}
}

// begin starts a chat with its customer's system message.
func (g *Generator) begin(customer int) Item {
	g.chats++
	system := fmt.Sprintf("%s customer %d. %s", g.model.Run, customer, words(uint64(customer), systemWords))
	return g.turn(&session{
		id:       g.chats,
		customer: customer,
		model:    g.model.Models[g.rng.IntN(len(g.model.Models))],
		messages: []chat.Message{{Role: "system", Content: system}},
	})
}

// turn makes a chat's next request and may schedule the one after.
func (g *Generator) turn(s *session) Item {
	length := shortWords + g.rng.IntN(shortWordsSpread)
	tokens := shortTokens + g.rng.IntN(shortTokensSpread)
	if g.rng.Float64() < g.model.LongShare {
		length = longWords + g.rng.IntN(longWordsSpread)
		tokens = longTokens + g.rng.IntN(longTokensSpread)
	}
	text := fmt.Sprintf("chat %d turn %d. %s", s.id, s.turn, words(g.rng.Uint64(), length))
	s.messages = append(s.messages, chat.Message{Role: "user", Content: text})
	request := chat.Request{
		Model:     s.model,
		Messages:  s.messages[:len(s.messages):len(s.messages)],
		Stream:    true,
		MaxTokens: tokens,
	}
	item := Item{At: g.now, Customer: s.customer, Chat: s.id, Turn: s.turn, Request: request}
	g.schedule(s, request)
	return item
}

// schedule puts a chat among those that return, unless it has ended.
func (g *Generator) schedule(s *session, request chat.Request) {
	s.turn++
	if s.turn >= g.model.MaxTurns || len(g.waiting) >= g.model.MaxWaiting || g.rng.Float64() >= g.model.ReturnShare {
		return
	}
	reply := chat.Message{Role: "assistant", Content: answer.For(request).Text()}
	s.messages = append(s.messages, reply)
	ratio := float64(g.model.PauseMax) / float64(g.model.PauseMin)
	s.due = g.now + time.Duration(float64(g.model.PauseMin)*math.Pow(ratio, g.rng.Float64()))
	heap.Push(&g.waiting, s)
}

// words returns n made-up words drawn from a seed.
func words(seed uint64, n int) string {
	prompt := chat.Request{Messages: []chat.Message{{Content: fmt.Sprint(seed)}}, MaxTokens: n}
	return strings.TrimSpace(answer.For(prompt).Text())
}

// returns is a heap of chats, the one that returns first on top.
type returns []*session

func (r returns) Len() int           { return len(r) }
func (r returns) Less(i, j int) bool { return r[i].due < r[j].due }
func (r returns) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *returns) Push(s any)        { *r = append(*r, s.(*session)) }
func (r *returns) Pop() any {
	old := *r
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*r = old[:len(old)-1]
	return last
}

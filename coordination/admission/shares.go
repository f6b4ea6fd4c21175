package admission

// shares is the fair queueing over all classes. It simulates an ideal server
// that serves all busy customers at once, each by its weight; virtual is that
// server's clock, in tokens per weight.
//
// A customer is busy there while it has requests waiting here, and afterwards
// until the ideal server has finished the work that was started here (until
// virtual has reached the customer's clock). Without the second part, a
// customer whose requests all start at once would hardly count, and the others'
// shares would add up to more than the upstream has: a surging customer would
// seem to be within its share.
//
// A customer that was idle may be behind by credit tokens. Customers with few
// requests send them in small bursts, and the burst that all customers together
// may be ahead is small for a customer with a small weight.
type shares struct {
	flows   map[flowKey]*flow
	virtual float64
	// weight is the sum of the weights of the busy flows.
	weight float64
	// ahead holds the busy flows without waiting requests.
	ahead  indexedHeap[*flow]
	credit float64
	// charges counts the calls of charge, so that removeIdle runs only at some
	// of them.
	charges int
}

// flowOf returns the flow of a request and updates its weight to that of the
// request.
func (s *shares) flowOf(r Request, classWeight float64) *flow {
	key := flowKey{customer: r.Customer, class: r.Class}
	weight := r.Weight * classWeight
	f := s.flows[key]
	if f == nil {
		return &flow{key: key, weight: weight, clock: s.virtual - s.credit/weight, heapIndex: notInHeap}
	}
	if s.busy(f) {
		s.weight += weight - f.weight
	}
	f.weight = weight
	return f
}

// busy reports whether the ideal server still serves the flow.
func (s *shares) busy(f *flow) bool { return f.heapIndex != notInHeap }

// markBusy adds a flow to those that the ideal server serves.
func (s *shares) markBusy(f *flow) {
	f.clock = s.clockOf(f)
	s.flows[f.key] = f
	s.weight += f.weight
}

// clockOf returns the flow's clock. An idle flow is behind virtual by the
// credit at most.
func (s *shares) clockOf(f *flow) float64 {
	if s.busy(f) {
		return f.clock
	}
	return max(f.clock, s.virtual-s.credit/f.weight)
}

// markIdle removes a flow from those that the ideal server serves.
func (s *shares) markIdle(f *flow) {
	s.weight -= f.weight
	if s.weight < minWeightSum {
		// Rounding can leave a remainder where the sum must be zero.
		s.weight = 0
	}
}

// minWeightSum is far below any sum of weights that operators set; a smaller
// sum is a rounding error.
const minWeightSum = 1e-9

// removeIdleEvery is the number of charges between two calls of removeIdle,
// which visits every flow.
const removeIdleEvery = 1024

// removeIdle removes idle flows that have regained their full credit, so that
// nothing about them must be remembered.
func (s *shares) removeIdle() {
	for key, f := range s.flows {
		if !s.busy(f) && f.clock <= s.virtual-s.credit/f.weight {
			delete(s.flows, key)
		}
	}
}

// withinShare reports whether a flow is within its share, or ahead of it by no
// more than the burst that all busy customers share.
func (s *shares) withinShare(f *flow, burst float64) bool {
	total := s.weight
	if !s.busy(f) {
		total += f.weight
	}
	return s.clockOf(f) <= s.virtual+burst/total
}

// charge advances the flow's clock by the work that it starts.
func (s *shares) charge(c *classQueue, f *flow, tokens int) {
	if !s.busy(f) {
		s.markBusy(f)
		s.ahead.add(f)
	}
	// While the flow saved up its credit, the others used that capacity, and
	// virtual advanced by it. Counting it twice would overstate their shares.
	onCredit := max(0, (s.virtual-f.clock)*f.weight)
	f.clock += float64(tokens) / f.weight
	if f.backlogged() {
		c.active.fix(f)
	} else {
		s.ahead.fix(f)
	}
	s.advance(max(0, float64(tokens)-onCredit))
	s.charges++
	if s.charges%removeIdleEvery == 0 {
		s.removeIdle()
	}
}

// advance lets the ideal server do the given amount of work. It removes the
// flows whose clocks virtual reaches, because the ideal server has finished
// their work.
func (s *shares) advance(tokens float64) {
	for s.weight > 0 {
		first, ok := s.ahead.first()
		if !ok || (first.clock-s.virtual)*s.weight > tokens {
			s.virtual += tokens / s.weight
			return
		}
		tokens -= max(0, (first.clock-s.virtual)*s.weight)
		s.virtual = max(s.virtual, first.clock)
		s.ahead.remove(first)
		s.markIdle(first)
	}
}

// add puts an entry in its flow.
func (s *shares) add(c *classQueue, e *entry) {
	f := e.flow
	if !f.backlogged() {
		if s.busy(f) {
			s.ahead.remove(f)
		} else {
			s.markBusy(f)
		}
		c.active.add(f)
	}
	f.waiting.add(e)
	f.tokens += e.request.Tokens
	c.tokens += e.request.Tokens
	c.count++
}

// remove takes an entry out of its flow.
func (s *shares) remove(c *classQueue, e *entry) {
	f := e.flow
	f.waiting.remove(e)
	f.tokens -= e.request.Tokens
	c.tokens -= e.request.Tokens
	c.count--
	if f.backlogged() {
		return
	}
	c.active.remove(f)
	if f.clock > s.virtual {
		s.ahead.add(f)
		return
	}
	s.markIdle(f)
}

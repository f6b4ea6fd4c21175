package admission

// shares is the fair queueing over all classes. It follows an ideal server that
// serves all busy customers at once, each by its weight; virtual is that
// server's clock, in tokens per weight.
//
// A customer is busy there while it has requests waiting here, and afterwards
// until the ideal server has finished what was started here (its clock is ahead of
// virtual). Without the second part, a customer whose requests are all served at
// once would hardly count, and the others' shares would add up to more than
// there is: a surging customer would seem to be within its share.
//
// A customer that was idle may be behind by credit tokens. Customers with few
// requests send them in little bursts, and the burst that all may be ahead is
// small for one with a small weight.
type shares struct {
	flows   map[flowKey]*flow
	virtual float64
	// weight is the sum over the busy flows.
	weight float64
	// ahead holds the busy flows without waiting requests.
	ahead  indexedHeap[*flow]
	credit float64
	// charges counts calls of charge, to spread the cost of sweep.
	charges int
}

// of returns the flow of a request, with the weight of the latest one.
func (s *shares) of(r Request, guarantee float64) *flow {
	key := flowKey{customer: r.Customer, class: r.Class}
	weight := r.Weight * guarantee
	f := s.flows[key]
	if f == nil {
		return &flow{key: key, weight: weight, clock: s.virtual - s.credit/weight, at: unplaced}
	}
	if s.busy(f) {
		s.weight += weight - f.weight
	}
	f.weight = weight
	return f
}

// busy says whether the flow counts in the ideal server.
func (s *shares) busy(f *flow) bool { return f.at != unplaced }

// enter makes a flow busy.
func (s *shares) enter(f *flow) {
	f.clock = s.clockOf(f)
	s.flows[f.key] = f
	s.weight += f.weight
}

// clockOf is the flow's clock. Idleness earns no more than the credit.
func (s *shares) clockOf(f *flow) float64 {
	if s.busy(f) {
		return f.clock
	}
	return max(f.clock, s.virtual-s.credit/f.weight)
}

// leave takes a flow out of the ideal server.
func (s *shares) leave(f *flow) {
	s.weight -= f.weight
	if s.weight < leastWeight {
		// An empty sum is exactly zero; floating point may leave a rest.
		s.weight = 0
	}
}

// leastWeight is far below any sum of weights that operators set.
const leastWeight = 1e-9

// sweepEvery spreads the cost of sweep over many charges.
const sweepEvery = 1024

// sweep forgets idle flows that have all their credit again.
func (s *shares) sweep() {
	for key, f := range s.flows {
		if !s.busy(f) && f.clock <= s.virtual-s.credit/f.weight {
			delete(s.flows, key)
		}
	}
}

// within says whether a flow is within its share, but for the burst allowed to
// all busy customers together.
func (s *shares) within(f *flow, burst float64) bool {
	total := s.weight
	if !s.busy(f) {
		total += f.weight
	}
	return s.clockOf(f) <= s.virtual+burst/total
}

// charge accounts for started work of a flow.
func (s *shares) charge(c *classQueue, f *flow, tokens int) {
	if !s.busy(f) {
		s.enter(f)
		s.ahead.add(f)
	}
	// Work on credit was left to the others earlier, which has advanced virtual
	// then. Counted twice, it would overstate the others' shares now.
	onCredit := max(0, (s.virtual-f.clock)*f.weight)
	f.clock += float64(tokens) / f.weight
	if f.backlogged() {
		c.active.moved(f)
	} else {
		s.ahead.moved(f)
	}
	s.advance(max(0, float64(tokens)-onCredit))
	s.charges++
	if s.charges%sweepEvery == 0 {
		s.sweep()
	}
}

// advance lets the ideal server do some work. Flows whose clocks it passes have
// had all their work done there and leave.
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
		s.leave(first)
	}
}

// add puts an entry in its flow.
func (s *shares) add(c *classQueue, e *entry) {
	f := e.flow
	if !f.backlogged() {
		if s.busy(f) {
			s.ahead.remove(f)
		} else {
			s.enter(f)
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
	s.leave(f)
}

package admission

// mayPass says whether a new request may start without queueing: when nothing
// waits that would go before it.
func (q *Queue) mayPass(f *flow) bool {
	if f.backlogged() {
		return false // its own requests go first
	}
	class, _, ok := q.turn()
	if !ok {
		return true
	}
	if _, owed := q.owedClass(); owed {
		return false
	}
	waiting, _ := q.classes[class].active.first()
	mine, theirs := q.shares.within(f, q.config.BurstTokens), q.shares.within(waiting, q.config.BurstTokens)
	if mine != theirs {
		return mine
	}
	return f.key.class < class
}

// reserve is the room that a class leaves free for class 0. An idle upstream keeps
// none: a request that is too long to leave the reserve would never start.
func (q *Queue) reserve(class Class) int {
	if class == 0 || q.running == 0 {
		return 0
	}
	return q.config.ReserveTokens
}

// turn returns the class that is served next and the room it must leave free.
func (q *Queue) turn() (Class, int, bool) {
	if class, ok := q.owedClass(); ok {
		return class, 0, true
	}
	first, found := Class(0), false
	for i := range q.classes {
		f, ok := q.classes[i].active.first()
		if !ok {
			continue
		}
		class := Class(i)
		if q.shares.within(f, q.config.BurstTokens) {
			return class, q.reserve(class), true
		}
		if !found {
			first, found = class, true
		}
	}
	return first, q.reserve(first), found
}

// owedClass returns the class whose credit pays for its next request. With
// several, the most urgent goes first.
func (q *Queue) owedClass() (Class, bool) {
	for i := range q.classes {
		c := &q.classes[i]
		if c.count == 0 || q.config.MinShare[i] == 0 {
			continue
		}
		if e, ok := c.head(); ok && c.credit >= float64(e.request.Tokens) {
			return Class(i), true
		}
	}
	return 0, false
}

// account gives each waiting class its share of the started tokens as credit
// and takes the cost from the class that was served.
//
// Credit is capped at creditBurst times the head's cost, so that a class that
// could not use its credit (its head doesn't fit yet) doesn't save up for a burst
// that would hold up urgent work.
func (q *Queue) account(served Class, tokens int) {
	const creditBurst = 2
	for i := range q.classes {
		c := &q.classes[i]
		if Class(i) == served {
			c.credit = max(0, c.credit-float64(tokens))
		}
		e, ok := c.head()
		if !ok {
			continue
		}
		c.credit += q.config.MinShare[i] * float64(tokens)
		c.credit = min(c.credit, creditBurst*float64(e.request.Tokens))
	}
}

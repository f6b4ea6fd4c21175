package admission

// canStartDirectly reports whether a new request may start without queueing,
// because no waiting request goes before it.
func (q *Queue) canStartDirectly(f *flow) bool {
	if f.backlogged() {
		return false // its own requests go first
	}
	class, _, ok := q.nextClass()
	if !ok {
		return true
	}
	if _, found := q.classWithCredit(); found {
		return false
	}
	waiting, _ := q.classes[class].active.first()
	mine, theirs := q.shares.withinShare(f, q.config.BurstTokens), q.shares.withinShare(waiting, q.config.BurstTokens)
	if mine != theirs {
		return mine
	}
	return f.key.class < class
}

// reserve returns the capacity that a class leaves free for class 0, in tokens.
// It is zero on an idle upstream: a request that is too long to leave the
// reserve free would never start.
func (q *Queue) reserve(class Class) int {
	if class == 0 || q.running == 0 {
		return 0
	}
	return q.config.ReserveTokens
}

// nextClass returns the class that is served next and the capacity that its
// request must leave free, in tokens.
func (q *Queue) nextClass() (Class, int, bool) {
	if class, ok := q.classWithCredit(); ok {
		return class, 0, true
	}
	first, found := Class(0), false
	for i := range q.classes {
		f, ok := q.classes[i].active.first()
		if !ok {
			continue
		}
		class := Class(i)
		if q.shares.withinShare(f, q.config.BurstTokens) {
			return class, q.reserve(class), true
		}
		if !found {
			first, found = class, true
		}
	}
	return first, q.reserve(first), found
}

// classWithCredit returns the class whose credit covers its next request. If
// there are several, it returns the most urgent.
func (q *Queue) classWithCredit() (Class, bool) {
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

// updateCredits gives each waiting class its minimum share of the started
// tokens as credit and subtracts the tokens from the credit of the class that
// was served.
//
// Credit is capped at creditBurst times the cost of the class's next request,
// so that a class that couldn't use its credit (its next request doesn't fit
// yet) doesn't save up for a burst that would delay urgent work.
func (q *Queue) updateCredits(served Class, tokens int) {
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

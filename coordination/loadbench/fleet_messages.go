package loadbench

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"endiveplank/coordination/limits"
)

// send gathers a router's asks for a moment and sends one message to each home.
func (f *fleet) send(router int) {
	if f.sending[router] {
		return
	}
	f.sending[router] = true
	f.After(gatherTime, func() {
		f.sending[router] = false
		var homes []int
		groups := make(map[int][]limits.CreditRequestEntry)
		customers := make(map[int][]*fleetCustomer)
		for _, due := range f.limiters[router].DueRequests(f.Now()) {
			customer := f.byID[due.Customer]
			home := customer.home
			if groups[home] == nil {
				homes = append(homes, home)
			}
			groups[home] = append(groups[home], due.Entry)
			customers[home] = append(customers[home], customer)
		}
		for _, home := range homes {
			f.ask(router, home, f.limiters[router].NewRequest(groups[home]), customers[home])
		}
	})
}

func (f *fleet) ask(from, to int, ask limits.CreditRequest, customers []*fleetCustomer) {
	f.message(from, to, ask, func() {
		answer := f.homes[to].HandleRequest(f.Now(), f.ids[from], ask)
		if len(answer.Entries) == 0 {
			return
		}
		f.message(to, from, answer, func() {
			f.limiters[from].HandleGrant(f.Now(), answer)
			answered := make(map[*fleetCustomer]bool)
			for _, customer := range customers {
				answered[customer] = true
			}
			f.again(from, answered)
		})
	})
}

// message carries a value to another router, unless it gets lost, and counts its
// bytes. A router's own account costs nothing.
func (f *fleet) message(from, to int, value any, arrived func()) {
	if from == to {
		f.After(0, arrived)
		return
	}
	if f.Now() >= f.config.Warm {
		f.bytes[from] += encodedSize(value) + messageOverhead
	}
	if f.rng.Float64() < f.config.Lost || f.parted(from) || f.parted(to) {
		return
	}
	delay := time.Duration(1+f.rng.IntN(4)) * time.Millisecond
	f.After(delay, arrived)
}

func (f *fleet) parted(router int) bool {
	return router < f.config.Parted && f.Now() >= f.config.PartedFrom && f.Now() < f.config.PartedTo
}

// again decides once more about the requests of some customers that wait at a
// router.
func (f *fleet) again(router int, answered map[*fleetCustomer]bool) {
	var rest []*fleetRequest
	for _, r := range f.waiting[router] {
		if !answered[r.customer] {
			rest = append(rest, r)
			continue
		}
		f.decideAgain(r, &rest)
	}
	f.waiting[router] = rest
}

func (f *fleet) decideAgain(r *fleetRequest, rest *[]*fleetRequest) {
	if f.Now()-r.sent > waitAtMost {
		f.refuse(r)
		return
	}
	decision := f.limiters[r.router].Retry(f.Now(), r.customer.id, r.customer.limit, r.tokens)
	switch decision.Kind {
	case limits.Allow:
		f.admit(r)
	case limits.Refuse:
		f.refuse(r)
	case limits.Wait:
		*rest = append(*rest, r)
		f.send(r.router)
		f.At(decision.CheckAt, func() { f.again(r.router, map[*fleetCustomer]bool{r.customer: true}) })
	}
}

func encodedSize(value any) int {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		panic("loadbench: message cannot be encoded: " + err.Error())
	}
	return out.Len()
}

package loadbench

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"endiveplank/coordination/limits"
)

// sendCreditRequests waits bundleDelay so that more credit requests of a router
// become due, and then sends each home one message with the requests for it.
func (f *fleet) sendCreditRequests(router int) {
	if f.sendPlanned[router] {
		return
	}
	f.sendPlanned[router] = true
	f.After(bundleDelay, func() {
		f.sendPlanned[router] = false
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
			f.requestCredit(router, home, f.limiters[router].NewRequest(groups[home]), customers[home])
		}
	})
}

func (f *fleet) requestCredit(from, to int, request limits.CreditRequest, customers []*fleetCustomer) {
	f.sendMessage(from, to, request, func() {
		grant := f.homes[to].HandleRequest(f.Now(), f.ids[from], request)
		if len(grant.Entries) == 0 {
			return
		}
		f.sendMessage(to, from, grant, func() {
			f.limiters[from].HandleGrant(f.Now(), grant)
			granted := make(map[*fleetCustomer]bool)
			for _, customer := range customers {
				granted[customer] = true
			}
			f.retryWaiting(from, granted)
		})
	})
}

// sendMessage delivers a value to another router, unless it gets lost, and counts
// its bytes. A message of a router to itself costs no bytes and isn't lost.
func (f *fleet) sendMessage(from, to int, value any, deliver func()) {
	if from == to {
		f.After(0, deliver)
		return
	}
	if f.Now() >= f.config.WarmUp {
		f.bytes[from] += encodedSize(value) + messageOverhead
	}
	if f.rng.Float64() < f.config.MessageLoss || f.isPartitioned(from) || f.isPartitioned(to) {
		return
	}
	delay := time.Duration(1+f.rng.IntN(4)) * time.Millisecond
	f.After(delay, deliver)
}

func (f *fleet) isPartitioned(router int) bool {
	return router < f.config.Partitioned && f.Now() >= f.config.PartitionFrom && f.Now() < f.config.PartitionTo
}

// retryWaiting decides again about the requests of the given customers that wait
// at a router.
func (f *fleet) retryWaiting(router int, customers map[*fleetCustomer]bool) {
	var rest []*fleetRequest
	for _, r := range f.waiting[router] {
		if !customers[r.customer] {
			rest = append(rest, r)
			continue
		}
		f.retryRequest(r, &rest)
	}
	f.waiting[router] = rest
}

func (f *fleet) retryRequest(r *fleetRequest, rest *[]*fleetRequest) {
	if f.Now()-r.sent > maxWait {
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
		f.sendCreditRequests(r.router)
		f.At(decision.CheckAt, func() { f.retryWaiting(r.router, map[*fleetCustomer]bool{r.customer: true}) })
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

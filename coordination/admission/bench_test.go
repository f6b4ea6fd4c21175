package admission

import (
	"fmt"
	"testing"
	"time"

	"endiveplank/protocol"
)

// BenchmarkSubmitNext measures one Submit and one Next on a queue that holds
// the given number of waiting requests, spread over customers and classes.
func BenchmarkSubmitNext(b *testing.B) {
	for _, size := range []struct{ waiting, customers int }{{100, 10}, {4000, 10}, {4000, 2400}} {
		b.Run(fmt.Sprintf("waiting=%d/customers=%d", size.waiting, size.customers), func(b *testing.B) {
			config := DefaultConfig(1e6, 37)
			config.MaxQueued = size.waiting + 10
			config.MaxCustomerQueued = size.waiting + 10
			config.TargetWait = [NumClasses]time.Duration{}
			q := New(config)
			requests := make([]Request, size.waiting+1)
			for i := range requests {
				customer := i % size.customers
				requests[i] = Request{
					ID:       protocol.RequestID(fmt.Sprint(i)),
					Customer: protocol.CustomerID(fmt.Sprint(customer)),
					Class:    Class(customer % NumClasses),
					Weight:   1,
					Tokens:   50 + i%200,
					Deadline: 24 * time.Hour,
				}
			}
			for _, r := range requests[1:] {
				q.Submit(0, r, closed)
			}
			now, next := time.Duration(0), requests[0]
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += time.Millisecond
				q.Submit(now, next, closed)
				next, _ = q.Next(now, open)
			}
		})
	}
}

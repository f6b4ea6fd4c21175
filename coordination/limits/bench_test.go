package limits

import (
	"fmt"
	"testing"
	"time"

	"endiveplank/protocol"
)

// BenchmarkAdmit measures a request of a customer whose credit is in hand.
func BenchmarkAdmit(b *testing.B) {
	for _, customers := range []int{10, 2400} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			l := NewLimiter(DefaultConfig(), 330, 1)
			ids := make([]protocol.CustomerID, customers)
			for i := range ids {
				ids[i] = protocol.CustomerID(fmt.Sprint(i))
				w := l.wallet(0, ids[i], rateLimit)
				w.tokens, w.requests, w.expires = 1e12, 1e12, time.Hour
			}
			b.ReportAllocs()
			for i := range b.N {
				l.Admit(time.Second, ids[i%customers], rateLimit, 100)
			}
		})
	}
}

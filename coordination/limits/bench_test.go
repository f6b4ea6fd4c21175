package limits

import (
	"fmt"
	"testing"
	"time"

	"endiveplank/protocol"
)

// BenchmarkAdmit measures the admission of a request whose customer has enough
// local credit.
func BenchmarkAdmit(b *testing.B) {
	for _, customers := range []int{10, 2400} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			l := NewLimiter(DefaultConfig(), 330, 1)
			ids := make([]protocol.CustomerID, customers)
			for i := range ids {
				ids[i] = protocol.CustomerID(fmt.Sprint(i))
				c := l.creditFor(0, ids[i], rateLimit)
				c.tokens, c.requests, c.expires = 1e12, 1e12, time.Hour
			}
			b.ReportAllocs()
			for i := range b.N {
				l.Admit(time.Second, ids[i%customers], rateLimit, 100)
			}
		})
	}
}

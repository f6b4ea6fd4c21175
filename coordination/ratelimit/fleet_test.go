package ratelimit

import (
	"fmt"
	"os"
	"testing"
	"time"
)

var (
	threeServers = fleet{servers: 3, slots: 6, work: 30 * time.Millisecond, objective: 150 * time.Millisecond, usual: 0.7, length: 20 * time.Second}
	fourServers  = fleet{servers: 4, slots: 6, work: 60 * time.Millisecond, objective: 300 * time.Millisecond, usual: 0.5, length: 25 * time.Second}
	engines      = fleet{servers: 90, slots: 32, work: 1500 * time.Millisecond, first: 60 * time.Millisecond, objective: 500 * time.Millisecond, usual: 0.7, length: 20 * time.Second}
)

func TestTrial(t *testing.T) {
	for _, f := range []fleet{threeServers, fourServers, engines} {
		for _, routers := range []int{9, 29, 67, 330} {
			f := f
			f.routers = routers
			for _, tr := range []trouble{
				{name: "twice", demand: 2},
				{name: "half lost, 0.9", demand: 0.9, lost: f.servers / 2},
				{name: "half lost, 1.0", demand: 1, lost: f.servers / 2},
				{name: "half lost, 1.3", demand: 1.3, lost: f.servers / 2},
			} {
				if tr.lost > 0 && f.servers != 4 {
					continue
				}
				t.Run(fmt.Sprintf("%d servers %d routers %s", f.servers, routers, tr.name), func(t *testing.T) {
					for _, off := range []bool{true, false} {
						tr.unlimited = off
						m := play(f, tr, 1)
						m.print(t)
						if !off && os.Getenv("TRACE") != "" {
							for _, l := range m.limits {
								t.Log(l)
							}
						}
					}
				})
			}
		}
	}
}

func (m *model) print(t *testing.T) {
	o := m.outcomes["all"]
	possible := 0.0
	for s, n := range m.possible {
		if m.measured(time.Duration(s) * time.Second) {
			possible += min(n, m.capacity())
		}
	}
	t.Logf("unlimited %v: in time %.3f of possible %.0f; late %.0f refused %.0f rejected %.0f; rank in time %.3f %.3f %.3f %.3f; again %.2f; late at %v limit at %v", m.unlimited,
		o.inTime/possible, possible, o.late, o.refused, o.rejected, m.part(0), m.part(1), m.part(2), m.part(3), m.refusedAgain/max(m.again, 1), m.firstLate, m.firstLimit)
}

func (m *model) part(rank int) float64 {
	o := m.outcomes[fmt.Sprintf("rank %d", rank)]
	return o.inTime / o.all()
}

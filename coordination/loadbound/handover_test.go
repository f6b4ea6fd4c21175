package loadbound

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// sharedEngine is one engine whose owner changes, with its true load.
type sharedEngine struct {
	owners []*Ledger
	// holder is the index of the current owner; its lease ends at until.
	holder  int
	until   time.Duration
	fence   protocol.Fence
	running []stream
	// reports are the engine's own load reports in transit.
	reports []lateReport
}

// stream is one request on the engine, with its ticket at each router that ever
// owned it.
type stream struct {
	cost    float64
	owner   int
	tickets map[int]Ticket
}

type lateReport struct {
	at   time.Duration
	load upstreamapi.Load
}

const lease = 3 * time.Second

func (p *sharedEngine) trueLoad() upstreamapi.Load {
	load := upstreamapi.Load{Running: len(p.running)}
	for _, s := range p.running {
		load.OutstandingTokens += int(s.cost)
	}
	return load
}

// admit lets any router try: the owner, or a former owner that was frozen and
// whose lease has expired.
func (p *sharedEngine) admit(t *rapid.T, now time.Duration, router int, cost float64) {
	d := p.owners[router].Admit(now, "e", Request{Cost: cost, Final: true})
	if d.Outcome != Admit {
		return
	}
	assert.Assert(t, router == p.holder && now < p.until, "router %d admits without a lease", router)
	p.running = append(p.running, stream{cost: cost, owner: router, tickets: map[int]Ticket{router: d.Ticket}})
}

// finish ends a stream and calls Finish at every router that ever relayed it.
func (p *sharedEngine) finish(now time.Duration, i int) {
	s := p.running[i]
	p.running = append(p.running[:i], p.running[i+1:]...)
	for router, ticket := range s.tickets {
		p.owners[router].Finish(now, ticket)
	}
}

// changeOwner gives the engine to another router after the lease has ended.
// Entry routers resume some of the streams there.
func (p *sharedEngine) changeOwner(t *rapid.T, now time.Duration, router int) {
	p.holder, p.until = router, now+lease
	p.fence++
	granted := p.owners[router].Acquire(now, "e", Grant{Fence: p.fence, ExpiresAt: p.until, Capacity: 100, Reported: p.trueLoad()})
	assert.Assert(t, granted)
	for i := range p.running {
		if !rapid.Bool().Draw(t, "resume") {
			continue
		}
		ticket, ok := p.owners[router].Resume(now, "e", p.running[i].cost)
		assert.Assert(t, ok)
		p.running[i].tickets[router] = ticket
	}
}

// Ten streams are inherited, nine short and one very long. An estimate by the
// number of streams would count a tenth of the work when only the long one is
// left, although it is nearly all of it.
func TestOneLongStragglerStaysCounted(t *testing.T) {
	l := NewLedger(DefaultConfig())
	l.Acquire(0, "e", Grant{Fence: 1, ExpiresAt: forever, Capacity: 100,
		Reported: upstreamapi.Load{Running: 10, OutstandingTokens: 309}})
	l.HandleReport(5*time.Minute, "e", upstreamapi.Load{Running: 1, OutstandingTokens: 300})
	load, _, _ := l.Load(5*time.Minute, "e")
	assert.Equal(t, load, 300.0)
}

// An engine's owner freezes while the engine runs its work, another router
// takes over, the first resumes, and later owns the engine again; streams end
// at any time and some are never resumed. If an owner ever counted less than
// the engine runs, it would fill the engine above the bound; if two owners
// admitted at once, neither could detect it.
func TestNoOwnerCountsLessThanTheEngineRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &sharedEngine{}
		for range 3 {
			l := NewLedger(DefaultConfig())
			l.Acquire(0, "other", Grant{Fence: 1, ExpiresAt: forever, Capacity: 100})
			l.Admit(0, "other", Request{Cost: 5000})
			p.owners = append(p.owners, l)
		}
		now := time.Duration(0)
		p.changeOwner(t, now, 0)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			p.step(t, now)
			load, _, ok := p.owners[p.holder].Load(now, "e")
			assert.Assert(t, ok)
			assert.Assert(t, load >= float64(p.trueLoad().OutstandingTokens)-1e-6,
				"counted %v, runs %v", load, p.trueLoad())
		}
	})
}

func (p *sharedEngine) step(t *rapid.T, now time.Duration) {
	for len(p.reports) > 0 && p.reports[0].at <= now {
		p.owners[p.holder].HandleReport(now, "e", p.reports[0].load)
		p.reports = p.reports[1:]
	}
	router := rapid.IntRange(0, len(p.owners)-1).Draw(t, "router")
	switch rapid.IntRange(0, 4).Draw(t, "action") {
	case 0:
		if len(p.running) > 0 {
			p.finish(now, rapid.IntRange(0, len(p.running)-1).Draw(t, "stream"))
		}
	case 1:
		p.reports = append(p.reports, lateReport{at: now + upstreamapi.AnnounceInterval, load: p.trueLoad()})
	case 2:
		if now >= p.until {
			p.reports = nil
			p.changeOwner(t, now, router)
		}
	default:
		p.admit(t, now, router, float64(rapid.IntRange(1, 300).Draw(t, "cost")))
	}
}

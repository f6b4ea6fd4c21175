package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// processor is a process with one processor that takes what is ready in its order.
type processor struct {
	shedder *Shedder
	random  *rand.Rand
	// ready are the arrival times of the requests that wait for the processor, and freeAt is when
	// it has finished what it does.
	ready  []time.Duration
	freeAt time.Duration
	// read and served count requests from countFrom on; served are those that began in time.
	read, served, turnedAway int
	countFrom                time.Duration
}

// The processor time that a request takes, and a connection that is turned away, and for how long a
// request may wait to count as served.
const (
	requestCost = time.Millisecond
	closeCost   = 50 * time.Microsecond
	inTime      = 150 * time.Millisecond
	measureEach = 50 * time.Millisecond
)

// run plays a number of connections a second, each with one request, evenly or in clumps.
func (p *processor) run(perSecond float64, clump int, from, to time.Duration) {
	measured := from
	for now := from; now < to; now += time.Duration(float64(time.Second) * float64(clump) / perSecond) {
		p.work(now)
		for range clump {
			p.arrive(now)
		}
		for ; measured+measureEach <= now; measured += measureEach {
			p.measure(now)
		}
	}
}

func (p *processor) arrive(now time.Duration) {
	if !p.shedder.Admits(p.random.Float64()) {
		p.freeAt = max(p.freeAt, now) + closeCost
		if now >= p.countFrom {
			p.turnedAway++
		}
		return
	}
	p.ready = append(p.ready, now)
}

// work handles what is ready until the time.
func (p *processor) work(until time.Duration) {
	for len(p.ready) > 0 && max(p.freeAt, p.ready[0]) < until {
		arrived := p.ready[0]
		p.ready = p.ready[1:]
		begin := max(p.freeAt, arrived)
		p.freeAt = begin + requestCost
		if arrived < p.countFrom {
			continue
		}
		p.read++
		if begin-arrived < inTime {
			p.served++
		}
	}
}

// measure tells how long work that gets ready now waits.
func (p *processor) measure(now time.Duration) {
	p.shedder.Observe(max(p.freeAt-now, 0) + time.Duration(len(p.ready))*requestCost)
}

// Guards: most new connections of a data centre come to one router, which reads them all and serves
// nearly none in time.
func TestAProcessReadsWhatItCanServe(t *testing.T) {
	for _, load := range []float64{1.3, 2, 5, 10} {
		for _, clump := range []int{1, 10} {
			t.Run(fmt.Sprintf("load %v in clumps of %d", load, clump), func(t *testing.T) {
				p := &processor{shedder: NewShedder(), random: rand.New(rand.NewPCG(1, 1)), countFrom: 13 * time.Second}
				p.run(300, 1, 0, 10*time.Second)
				assert.Equal(t, p.shedder.TurnsAway(), 0.0)
				p.run(load*1000, clump, 10*time.Second, 30*time.Second)
				assert.Assert(t, 4*p.served >= 3*p.read, "%d of %d requests that were read are served in time", p.served, p.read)
				capacity := 17 * time.Second / requestCost
				used := float64(p.served) + float64(p.turnedAway)*closeCost.Seconds()/requestCost.Seconds()
				assert.Assert(t, used >= 0.75*float64(capacity), "%d served, %d turned away", p.served, p.turnedAway)
				p.run(300, 1, 30*time.Second, 40*time.Second)
				assert.Equal(t, p.shedder.TurnsAway(), 0.0, "it takes all connections again")
			})
		}
	}
}

// Guards: a process that is only busy, gets its requests in clumps or stood still for a while turns
// connections away.
func TestABusyProcessTakesAllConnections(t *testing.T) {
	p := &processor{shedder: NewShedder(), random: rand.New(rand.NewPCG(2, 2))}
	p.run(700, 1, 0, 10*time.Second)
	p.run(600, 12, 10*time.Second, 20*time.Second)
	p.freeAt = 21 * time.Second // stands still for a second
	p.run(300, 1, 21*time.Second, 30*time.Second)
	assert.Assert(t, p.turnedAway <= 30, "%d connections turned away", p.turnedAway)
}

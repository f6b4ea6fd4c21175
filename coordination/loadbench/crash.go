package loadbench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"endiveplank/coordination/quarantine"
	"endiveplank/protocol"
)

// CrashConfig describes a run of the Crash model.
type CrashConfig struct {
	Seed    uint64
	Routers int
	Engines int
	// PerEngine is the mean number of innocent requests in flight on an engine.
	PerEngine int
	// Bad is the number of requests that crash engines, all sent at BadAt.
	Bad   int
	BadAt time.Duration
	// CrashAfter is how long a bad request runs before the engine crashes.
	CrashAfter time.Duration
	// Lost is the number of engines that are lost together at LostAt.
	Lost   int
	LostAt time.Duration
	End    time.Duration
	// Defended says whether the routers use quarantine. Without, a request goes
	// to any engine.
	Defended bool
}

// CrashResult is what a run counted.
type CrashResult struct {
	// Crashes counts engines lost to bad requests.
	Crashes int
	// Condemned counts the verdicts, and WronglyRefused the innocents among
	// those that a router refused.
	Condemned      int
	WronglyRefused int
	Finished       int
	// FreshWaits and RestartWaits are innocents' waits for a first start and
	// for a start after a crash.
	FreshWaits   []time.Duration
	RestartWaits []time.Duration
	// Notices counts notices sent to all routers.
	Notices int
}

const (
	restartTime = 60 * time.Second
	resendAfter = 2 * time.Second
	maxSends    = 20
	patience    = 30 * time.Second
	noticeDelay = 200 * time.Millisecond
	retryDelay  = 50 * time.Millisecond
	customer    = protocol.CustomerID("customer")
)

// crashModel runs trackers of a few routers and a pool of engines. A router
// retries a request whose engine crashed, and the caller of a bad one sends it
// again through another router.
type crashModel struct {
	Clock
	config  CrashConfig
	rng     *rand.Rand
	routers []*quarantine.Tracker
	engines []*crashEngine
	result  CrashResult
}

type crashEngine struct {
	id          protocol.UpstreamID
	owner       int
	incarnation uint64
	downUntil   time.Duration
	running     map[*crashJob]bool
}

type crashJob struct {
	name     string
	bad      bool
	digest   quarantine.Digest
	run      time.Duration
	sends    int
	deadline time.Duration
	waitFrom time.Duration
	engine   *crashEngine
	attempt  int
}

// RunCrash runs the model once.
func RunCrash(config CrashConfig) CrashResult {
	m := &crashModel{config: config, rng: rand.New(rand.NewPCG(config.Seed, 0))}
	for range config.Routers {
		m.routers = append(m.routers, quarantine.New(quarantine.DefaultConfig()))
	}
	for i := range config.Engines {
		m.engines = append(m.engines, &crashEngine{
			id:      protocol.UpstreamID(fmt.Sprintf("engine-%d", i)),
			owner:   i % config.Routers,
			running: make(map[*crashJob]bool),
		})
	}
	m.innocents()
	for i := range config.Bad {
		m.At(config.BadAt, func() { m.arrive(m.newJob(fmt.Sprint("bad-", i), true)) })
	}
	for i := range config.Lost {
		m.At(config.LostAt+time.Duration(i)*100*time.Millisecond, func() { m.crash(m.engines[i]) })
	}
	m.Run(config.End)
	return m.result
}

// innocents arrive at a rate that keeps PerEngine in flight.
func (m *crashModel) innocents() {
	const meanRun = 5.5
	rate := float64(m.config.PerEngine*m.config.Engines) / meanRun
	count := 0
	var next func()
	next = func() {
		count++
		m.arrive(m.newJob(fmt.Sprintf("innocent-%06d", count), false))
		m.After(exponential(m.rng, rate), next)
	}
	m.At(0, next)
}

func (m *crashModel) newJob(name string, bad bool) *crashJob {
	return &crashJob{
		name:     name,
		bad:      bad,
		run:      time.Duration((2 + m.rng.ExpFloat64()*4) * float64(time.Second)),
		sends:    1,
		waitFrom: m.Now(),
		digest:   quarantine.DigestOf(customer, []byte(name)),
		deadline: m.Now() + patience,
	}
}

// arrive brings a request to a random entry router.
func (m *crashModel) arrive(j *crashJob) {
	entry := m.routers[m.rng.IntN(len(m.routers))]
	if m.config.Defended && entry.Check(m.Now(), j.digest).Status == quarantine.Quarantined {
		if !j.bad {
			m.result.WronglyRefused++
		}
		m.resend(j)
		return
	}
	m.place(j)
}

// resend is done by the caller, a limited number of times.
func (m *crashModel) resend(j *crashJob) {
	if j.sends >= maxSends {
		return
	}
	j.sends++
	m.After(resendAfter, func() {
		j.waitFrom = m.Now()
		j.deadline = m.Now() + patience
		m.arrive(j)
	})
}

// place picks an engine and starts the request there, or waits.
func (m *crashModel) place(j *crashJob) {
	up := m.upEngines()
	if len(up) == 0 {
		m.After(time.Second, func() { m.place(j) })
		return
	}
	if j.engine == nil || m.Now() < j.engine.downUntil {
		j.engine = up[m.rng.IntN(len(up))]
	}
	if !m.config.Defended {
		m.start(j)
		return
	}
	if m.routers[j.engine.owner].Check(m.Now(), j.digest).Status == quarantine.Suspect {
		j.engine = trialEngine(j.digest, up)
	}
	owner := m.routers[j.engine.owner]
	decision := owner.MayStart(m.Now(), j.engine.id, j.digest, j.deadline-j.run)
	switch decision.Hold {
	case quarantine.HoldNone:
		m.start(j)
	case quarantine.HoldQuarantined:
		m.arrive(j)
	default:
		const poll = 10 * time.Millisecond
		m.At(max(decision.CheckAt, m.Now()+poll), func() { m.place(j) })
	}
}

func (m *crashModel) upEngines() []*crashEngine {
	up := make([]*crashEngine, 0, len(m.engines))
	for _, e := range m.engines {
		if m.Now() >= e.downUntil {
			up = append(up, e)
		}
	}
	return up
}

func trialEngine(d quarantine.Digest, up []*crashEngine) *crashEngine {
	ids := make([]protocol.UpstreamID, len(up))
	for i, e := range up {
		ids[i] = e.id
	}
	chosen, _ := quarantine.TrialUpstream(d, ids)
	return up[slices.Index(ids, chosen)]
}

func (m *crashModel) start(j *crashJob) {
	e := j.engine
	m.countWait(j)
	m.routers[e.owner].Started(m.Now(), e.id, j.digest, customer)
	e.running[j] = true
	j.attempt++
	attempt := j.attempt
	if j.bad {
		m.After(m.config.CrashAfter, func() {
			if j.attempt == attempt && e.running[j] {
				m.result.Crashes++
				m.crash(e)
			}
		})
		return
	}
	m.After(j.run, func() {
		if j.attempt == attempt && e.running[j] {
			m.finish(j)
		}
	})
}

func (m *crashModel) countWait(j *crashJob) {
	wait := m.Now() - j.waitFrom
	switch {
	case j.bad:
	case j.attempt == 0:
		m.result.FreshWaits = append(m.result.FreshWaits, wait)
	default:
		m.result.RestartWaits = append(m.result.RestartWaits, wait)
	}
}

func (m *crashModel) finish(j *crashJob) {
	delete(j.engine.running, j)
	m.result.Finished++
	m.routers[j.engine.owner].Ended(m.Now(), j.engine.id, j.digest, quarantine.Completed)
}

// crash takes an engine down and sends its requests back to their entries.
func (m *crashModel) crash(e *crashEngine) {
	e.downUntil = m.Now() + restartTime
	report := m.routers[e.owner].Crashed(m.Now(), e.id, e.incarnation)
	e.incarnation++
	m.result.Condemned += len(report.Quarantined)
	for _, notice := range report.Notices {
		m.tell(e.owner, notice)
	}
	for _, j := range sortedJobs(e.running) {
		delete(e.running, j)
		j.waitFrom = m.Now()
		j.engine = nil
		if j.bad {
			m.resend(j)
			continue
		}
		m.After(retryDelay, func() { m.arrive(j) })
	}
}

func (m *crashModel) tell(from int, notice quarantine.Notice) {
	m.result.Notices++
	for i, router := range m.routers {
		if i != from {
			m.After(noticeDelay, func() { router.Merge(m.Now(), notice) })
		}
	}
}

func sortedJobs(running map[*crashJob]bool) []*crashJob {
	jobs := make([]*crashJob, 0, len(running))
	for j := range running {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *crashJob) int { return cmp.Compare(a.name, b.name) })
	return jobs
}

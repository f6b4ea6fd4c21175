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
	// InFlightPerEngine is the mean number of harmless requests in flight on an
	// engine.
	InFlightPerEngine int
	// BadRequests is the number of requests that crash engines, all sent at BadAt.
	BadRequests int
	BadAt       time.Duration
	// CrashAfter is how long a bad request runs before the engine crashes.
	CrashAfter time.Duration
	// LostEngines is the number of engines that fail from LostAt on, 100 ms after
	// one another, without a bad request.
	LostEngines int
	LostAt      time.Duration
	End         time.Duration
	// UseQuarantine says whether the routers use package quarantine. Otherwise a
	// request may start on any engine at any time.
	UseQuarantine bool
}

// CrashResult is the result of a run of the Crash model.
type CrashResult struct {
	// Crashes counts the crashes of engines by bad requests.
	Crashes int
	// Quarantined counts the requests that were quarantined, and WronglyRefused
	// the times that a router refused a harmless request.
	Quarantined    int
	WronglyRefused int
	Finished       int
	// FirstStartWaits and RestartWaits are the times that harmless requests waited
	// for their first start and for each start after a crash.
	FirstStartWaits []time.Duration
	RestartWaits    []time.Duration
	// Notices counts notices sent to all routers.
	Notices int
}

const (
	// restartTime is how long an engine is down after a crash.
	restartTime = 60 * time.Second
	// resendDelay is the time after which a caller sends a failed or refused
	// request again. It sends a request maxSends times at most.
	resendDelay    = 2 * time.Second
	maxSends       = 20
	requestTimeout = 30 * time.Second
	// noticeDelay is the time that a notice takes from one router to another.
	noticeDelay = 200 * time.Millisecond
	// retryDelay is the time after which a router retries a harmless request whose
	// engine crashed.
	retryDelay = 50 * time.Millisecond
	customer   = protocol.CustomerID("customer")
)

// crashModel runs the quarantine trackers of the routers against a pool of engines.
// When an engine crashes, routers retry its harmless requests, and the callers of
// its bad requests send them again. Each time the request enters through a random
// router.
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
	owner       int // index of the router that places requests on the engine
	incarnation uint64
	downUntil   time.Duration
	running     map[*crashJob]bool
}

type crashJob struct {
	name         string
	bad          bool
	digest       quarantine.Digest
	runTime      time.Duration
	sends        int
	deadline     time.Duration
	waitingSince time.Duration
	engine       *crashEngine
	attempt      int
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
	m.startHarmlessArrivals()
	for i := range config.BadRequests {
		m.At(config.BadAt, func() { m.arrive(m.newJob(fmt.Sprint("bad-", i), true)) })
	}
	for i := range config.LostEngines {
		m.At(config.LostAt+time.Duration(i)*100*time.Millisecond, func() { m.crash(m.engines[i]) })
	}
	m.Run(config.End)
	return m.result
}

// startHarmlessArrivals starts the arrivals of harmless requests, at a rate that
// keeps about InFlightPerEngine of them in flight on each engine.
func (m *crashModel) startHarmlessArrivals() {
	const meanRun = 5.5
	rate := float64(m.config.InFlightPerEngine*m.config.Engines) / meanRun
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
		name:         name,
		bad:          bad,
		runTime:      time.Duration((2 + m.rng.ExpFloat64()*4) * float64(time.Second)),
		sends:        1,
		waitingSince: m.Now(),
		digest:       quarantine.DigestOf(customer, []byte(name)),
		deadline:     m.Now() + requestTimeout,
	}
}

// arrive brings a request to a random entry router.
func (m *crashModel) arrive(j *crashJob) {
	entry := m.routers[m.rng.IntN(len(m.routers))]
	if m.config.UseQuarantine && entry.Check(m.Now(), j.digest).Status == quarantine.Quarantined {
		if !j.bad {
			m.result.WronglyRefused++
		}
		m.resend(j)
		return
	}
	m.place(j)
}

// resend makes the caller send a request again, until it was sent maxSends times.
func (m *crashModel) resend(j *crashJob) {
	if j.sends >= maxSends {
		return
	}
	j.sends++
	m.After(resendDelay, func() {
		j.waitingSince = m.Now()
		j.deadline = m.Now() + requestTimeout
		m.arrive(j)
	})
}

// place picks an engine and starts the request there, or tries again later.
func (m *crashModel) place(j *crashJob) {
	available := m.availableEngines()
	if len(available) == 0 {
		m.After(time.Second, func() { m.place(j) })
		return
	}
	if j.engine == nil || m.Now() < j.engine.downUntil {
		j.engine = available[m.rng.IntN(len(available))]
	}
	if !m.config.UseQuarantine {
		m.start(j)
		return
	}
	if m.routers[j.engine.owner].Check(m.Now(), j.digest).Status == quarantine.Suspect {
		j.engine = trialEngine(j.digest, available)
	}
	owner := m.routers[j.engine.owner]
	decision := owner.MayStart(m.Now(), j.engine.id, j.digest, j.deadline-j.runTime)
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

func (m *crashModel) availableEngines() []*crashEngine {
	available := make([]*crashEngine, 0, len(m.engines))
	for _, e := range m.engines {
		if m.Now() >= e.downUntil {
			available = append(available, e)
		}
	}
	return available
}

func trialEngine(d quarantine.Digest, available []*crashEngine) *crashEngine {
	ids := make([]protocol.UpstreamID, len(available))
	for i, e := range available {
		ids[i] = e.id
	}
	chosen, _ := quarantine.TrialUpstream(d, ids)
	return available[slices.Index(ids, chosen)]
}

func (m *crashModel) start(j *crashJob) {
	e := j.engine
	m.recordWait(j)
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
	m.After(j.runTime, func() {
		if j.attempt == attempt && e.running[j] {
			m.finish(j)
		}
	})
}

func (m *crashModel) recordWait(j *crashJob) {
	wait := m.Now() - j.waitingSince
	switch {
	case j.bad:
	case j.attempt == 0:
		m.result.FirstStartWaits = append(m.result.FirstStartWaits, wait)
	default:
		m.result.RestartWaits = append(m.result.RestartWaits, wait)
	}
}

func (m *crashModel) finish(j *crashJob) {
	delete(j.engine.running, j)
	m.result.Finished++
	m.routers[j.engine.owner].Ended(m.Now(), j.engine.id, j.digest, quarantine.Completed)
}

// crash takes an engine down for restartTime, broadcasts the notices of its owner
// and has the requests that ran on it sent again.
func (m *crashModel) crash(e *crashEngine) {
	e.downUntil = m.Now() + restartTime
	report := m.routers[e.owner].Crashed(m.Now(), e.id, e.incarnation)
	e.incarnation++
	m.result.Quarantined += len(report.Quarantined)
	for _, notice := range report.Notices {
		m.broadcast(e.owner, notice)
	}
	for _, j := range sortedJobs(e.running) {
		delete(e.running, j)
		j.waitingSince = m.Now()
		j.engine = nil
		if j.bad {
			m.resend(j)
			continue
		}
		m.After(retryDelay, func() { m.arrive(j) })
	}
}

func (m *crashModel) broadcast(from int, notice quarantine.Notice) {
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

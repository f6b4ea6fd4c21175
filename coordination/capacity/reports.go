package capacity

import (
	"iter"
	"slices"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
)

const (
	// maxAge is the age up to which a report is used.
	maxAge = 3 * time.Second
	// maxSlots, maxWaiting and maxPace bound what a report may say.
	maxSlots   = 1 << 16
	maxWaiting = 1 << 16
	maxPace    = 10_000
)

// Observation is what an answer of an upstream, or its answer to a health check, told this router.
type Observation struct {
	Upstream protocol.UpstreamID
	// StartedAt is the incarnation that the request was sent to, as in its roster entry.
	StartedAt int64
	Load      dialect.ReportedLoad
	// InFlight counts this router's requests in flight there, without the one that was answered,
	// and FleetInFlight those of all routers as far as this one knows.
	InFlight      int
	FleetInFlight int
	// Kind tells requests apart whose answers take different times, such as routes. Took is how
	// long the answer took to begin, 0 if it can't be compared with others.
	Kind string
	Took time.Duration
}

// Verdict says what became of a report.
type Verdict string

// The verdicts.
const (
	// Used: it replaces the upstream's previous report.
	Used Verdict = "used"
	// Unlisted: the upstream isn't listed.
	Unlisted Verdict = "unlisted"
	// Former: it is of another incarnation than the listed one.
	Former Verdict = "former"
	// Impossible: its numbers can't be true.
	Impossible Verdict = "impossible"
	// Contradicted: it contradicts what this router sees.
	Contradicted Verdict = "contradicted"
	// Distrusted: earlier reports of the upstream were contradicted repeatedly.
	Distrusted Verdict = "distrusted"
)

// Load is an upstream's last report and its age.
type Load struct {
	dialect.ReportedLoad
	Age time.Duration
}

// Reports holds what the listed upstreams report. It is not safe for concurrent use.
type Reports struct {
	upstreams map[protocol.UpstreamID]*upstream
	byShortID map[balance.ShortID]*upstream
	services  map[protocol.Service]*service
	budget    budget
}

// New returns Reports without upstreams.
func New() *Reports {
	return &Reports{
		upstreams: map[protocol.UpstreamID]*upstream{},
		byShortID: map[balance.ShortID]*upstream{},
		services:  map[protocol.Service]*service{},
	}
}

// upstream is a listed upstream and its last report.
type upstream struct {
	id        protocol.UpstreamID
	short     balance.ShortID
	startedAt int64
	announced int
	service   *service
	index     int
	last      report
	// pace is an average of the paces of the last reports.
	pace float32
	// reporting says that it is in service.reporting.
	reporting   bool
	told        [audiences]report
	credibility credibility
}

// service holds the upstreams of one service that accept requests.
type service struct {
	name  protocol.Service
	ready []*upstream
	// reporting holds the upstreams that have reported within maxAge, and some that have not.
	reporting []*upstream
	// usual is how long answers of upstreams with free slots take, by kind of request.
	usual map[string]time.Duration
}

// recent returns the upstreams whose reports are recent enough to be used. Of thousands of upstreams
// few are, so the others cost nothing.
func (s *service) recent(now time.Duration) iter.Seq[*upstream] {
	s.reporting = slices.DeleteFunc(s.reporting, func(u *upstream) bool {
		u.reporting = u.reporting && u.last.known(now)
		return !u.reporting
	})
	return slices.Values(s.reporting)
}

// paceWeight is the weight of a new report in the average of an upstream's paces. Machines' paces
// change many times a second, so that a single one says little.
const paceWeight = 0.3

// maxPaceAge is the age up to which a pace counts in the choice. An upstream that was slow gets few
// requests, so that few reports say that it has recovered.
const maxPaceAge = 1500 * time.Millisecond

// Slowness returns how many times as long as usual work takes on an upstream, 1 if that isn't known.
func (r *Reports) Slowness(now time.Duration, id protocol.UpstreamID) float64 {
	u := r.upstreams[id]
	if u == nil || !u.usable(now) || now-u.last.madeAt > maxPaceAge {
		return 1
	}
	return float64(u.pace) / dialect.UsualPace
}

// set replaces the upstream's report.
func (u *upstream) set(now time.Duration, last report) {
	if !u.last.known(now) {
		u.pace = float32(last.pace)
	}
	u.pace += paceWeight * (float32(last.pace) - u.pace)
	u.last = last
	if !u.reporting && last.known(now) {
		u.reporting = true
		u.service.reporting = append(u.service.reporting, u)
	}
}

// report is a report and when it was made. The zero value is no report.
type report struct {
	running, waiting, slots int32
	pace                    int32
	madeAt                  time.Duration
}

// known reports whether there is a report that is recent enough to be used.
func (r report) known(now time.Duration) bool { return r.slots > 0 && now-r.madeAt <= maxAge }

// load returns the report in the form in which it was made.
func (r report) load() dialect.ReportedLoad {
	return dialect.ReportedLoad{Running: int(r.running), Waiting: int(r.waiting), Slots: int(r.slots), Pace: int(r.pace)}
}

// minUsedPace bounds how much faster than usual an upstream counts, as its capacity would be endless
// if it said that work takes no time.
const minUsedPace = 50

// effective returns the slots that would do the same at the usual pace.
func (r report) effective() float64 {
	return float64(r.slots) * dialect.UsualPace / float64(max(r.pace, minUsedPace))
}

// free returns the requests for which the upstream has room, negative if more wait than it could
// run at once.
func (r report) free() float64 {
	return r.effective() - float64(r.running) - float64(r.waiting)
}

func newReport(load dialect.ReportedLoad, madeAt time.Duration) report {
	return report{
		running: int32(load.Running), waiting: int32(load.Waiting), slots: int32(load.Slots),
		pace: int32(load.Pace), madeAt: madeAt,
	}
}

// ApplyEntries takes over roster entries that have changed. An upstream with another incarnation
// loses its report, and one that doesn't accept requests isn't kept.
func (r *Reports) ApplyEntries(entries []roster.Entry) {
	for _, e := range entries {
		if known := r.upstreams[e.ID]; known != nil && !known.matches(e) {
			r.remove(known)
		}
		if e.State != roster.Ready {
			continue
		}
		if known := r.upstreams[e.ID]; known != nil {
			known.announced = e.Slots
			continue
		}
		r.add(e)
	}
}

// SetRoster replaces the list of upstreams.
func (r *Reports) SetRoster(entries []roster.Entry) {
	listed := make(map[protocol.UpstreamID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	for id, u := range r.upstreams {
		if !listed[id] {
			r.remove(u)
		}
	}
	r.ApplyEntries(entries)
}

// matches reports whether an entry is about the same incarnation, which still accepts requests.
func (u *upstream) matches(e roster.Entry) bool {
	return e.State == roster.Ready && e.StartedAt == u.startedAt && e.Service == u.service.name
}

func (r *Reports) add(e roster.Entry) {
	s := r.services[e.Service]
	if s == nil {
		s = &service{name: e.Service, usual: map[string]time.Duration{}}
		r.services[e.Service] = s
	}
	u := &upstream{
		id: e.ID, short: balance.ShortIDOf(e.ID), startedAt: e.StartedAt, announced: e.Slots,
		service: s, index: len(s.ready),
	}
	s.ready = append(s.ready, u)
	r.upstreams[e.ID] = u
	r.byShortID[u.short] = u
}

func (r *Reports) remove(u *upstream) {
	u.reporting = false
	s, last := u.service, len(u.service.ready)-1
	s.ready[u.index] = s.ready[last]
	s.ready[u.index].index = u.index
	s.ready[last] = nil
	s.ready = s.ready[:last]
	if last == 0 {
		delete(r.services, s.name)
	}
	delete(r.upstreams, u.id)
	if r.byShortID[u.short] == u {
		delete(r.byShortID, u.short)
	}
}

// possible reports whether an upstream that announces so many slots can have this load. One that
// announces none is taken at its word.
func possible(load dialect.ReportedLoad, announced int) bool {
	if load.Slots < 1 || load.Slots > maxSlots || announced > 0 && load.Slots != announced {
		return false
	}
	return load.Running >= 0 && load.Running <= load.Slots && load.Waiting >= 0 && load.Waiting <= maxWaiting &&
		load.Pace >= 1 && load.Pace <= maxPace
}

// Observe takes the report in an answer that has just arrived.
func (r *Reports) Observe(now time.Duration, o Observation) Verdict {
	u := r.upstreams[o.Upstream]
	switch {
	case u == nil:
		return Unlisted
	case u.startedAt != o.StartedAt:
		return Former
	case !possible(o.Load, u.announced):
		return Impossible
	}
	switch contradicted := u.judge(now, o); {
	case contradicted:
		return Contradicted
	case u.credibility.distrusts(now):
		return Distrusted
	}
	u.set(now, newReport(o.Load, now))
	return Used
}

// usable reports whether the upstream's report counts.
func (u *upstream) usable(now time.Duration) bool {
	return u.last.known(now) && !u.credibility.distrusts(now)
}

// Capacity is what is known of a service's capacity. The numbers of requests are those of the
// upstreams that are known.
type Capacity struct {
	// Upstreams is the number of the service's upstreams that accept requests, and Known the number
	// of those whose load is known.
	Upstreams int
	Known     int
	// Slots, Running and Waiting are sums over the known upstreams.
	Slots   int
	Running int
	Waiting int
	// Effective is the sum of slots x 100/pace, with at least half of the usual pace: how many upstreams' slots of the usual speed would
	// do the same. Free is Effective less the running and waiting requests.
	Effective float64
	Free      float64
}

// Free returns what is known of a service's free capacity.
func (r *Reports) Free(now time.Duration, name protocol.Service) Capacity {
	s := r.services[name]
	if s == nil {
		return Capacity{}
	}
	sum := Capacity{Upstreams: len(s.ready)}
	for u := range s.recent(now) {
		if u.usable(now) {
			sum.add(u.last)
		}
	}
	return sum
}

func (c *Capacity) add(r report) {
	c.Known++
	c.Slots += int(r.slots)
	c.Running += int(r.running)
	c.Waiting += int(r.waiting)
	c.Effective += r.effective()
	c.Free += r.free()
}

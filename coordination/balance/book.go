package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// loadsLife is how long another router's Loads count. Each router sends them
// whole every second, so two may be lost; a router that died stops counting
// before a caller of it has come back elsewhere.
const loadsLife = 2500 * time.Millisecond

// WholeInterval is how often a router tells all of its work, for routers that
// have missed some.
const WholeInterval = time.Second

// Short is an upstream's name in messages between routers: 5 bytes in place of
// a dozen or more. Two of a hundred upstreams share one in a million cases, and
// then their work is counted together.
type Short uint32

// shortOf returns an upstream's short name.
func shortOf(id protocol.UpstreamID) Short {
	return Short(xxhash.Sum64String(string(id)))
}

// Work is one router's part of an upstream's work. It is encoded without the
// names of its fields.
type Work struct {
	ID Short `msgpack:"i"`
	// InFlight counts the requests that the router has sent and not ended.
	InFlight int `msgpack:"n"`
	// Served and Failed count ended requests since the router started.
	Served uint64 `msgpack:"s"`
	Failed uint64 `msgpack:"f"`
}

// Loads tells other routers of this one's work.
type Loads struct {
	// Whole says that upstreams left out have nothing in flight from the sender.
	Whole bool   `msgpack:"w"`
	Works []Work `msgpack:"u"`
	// Kept are engines to which the sender has sent prompts lately.
	Kept []Kept `msgpack:"k,omitempty"`
}

// others is what another router has told.
type others struct {
	at    time.Duration
	works map[Short]Work
}

// upstream is what this router knows of one upstream.
type upstream struct {
	entry roster.Entry
	own   Work
	// told is own as the other routers have it.
	told Work
	// elsewhere is the work of the other routers, and usual its average.
	elsewhere int
	usual     average
	health    health
	// avoided is health.isAvoided as it was last told by Judgements.
	avoided bool
}

// load is the work on an upstream, as far as this router knows.
func (u *upstream) load() int { return u.own.InFlight + u.elsewhere }

// Book is not safe for concurrent use.
type Book struct {
	upstreams map[protocol.UpstreamID]*upstream
	byShort   map[Short]*upstream
	services  map[protocol.Service][]*upstream
	baselines map[protocol.Service]baseline
	routers   map[protocol.RouterID]*others
	keepers   *keepers
	settings  Settings
	// neighbours are the routers that this one exchanges its work with; told and
	// kept are what those have been told and have to be told, where this one
	// passes work on.
	neighbours Neighbours
	told       map[protocol.RouterID]map[Short]Work
	kept       []passedKept
	// unrecorded are keepers that a disk VM has to be told; recalled are those
	// that one has told, at recalledAt, and whose upstreams aren't listed yet.
	unrecorded []Kept
	recalled   []Kept
	recalledAt time.Duration
}

// Settings of a Book.
type Settings struct {
	// Multiple and Slack bound an upstream's load: no more than Multiple times
	// the mean of its service plus Slack.
	Multiple float64
	Slack    int
	// DataCentre is the router's own; ties go to upstreams there.
	DataCentre protocol.DataCentre
}

// NewBook returns a book without upstreams.
func NewBook(settings Settings) *Book {
	return &Book{
		upstreams: map[protocol.UpstreamID]*upstream{},
		byShort:   map[Short]*upstream{},
		services:  map[protocol.Service][]*upstream{},
		baselines: map[protocol.Service]baseline{},
		routers:   map[protocol.RouterID]*others{},
		keepers:   newKeepers(),
		settings:  settings,
		told:      map[protocol.RouterID]map[Short]Work{},
	}
}

// SetRoster takes the list of upstreams. Those that still have work from here
// are kept until it has ended. It returns the changes of state.
func (b *Book) SetRoster(entries []roster.Entry) []roster.Entry {
	listed := map[protocol.UpstreamID]bool{}
	var changed []roster.Entry
	for _, e := range entries {
		listed[e.ID] = true
		u := b.upstreams[e.ID]
		if u == nil {
			if e.State == roster.Gone {
				continue
			}
			short := shortOf(e.ID)
			u = &upstream{own: Work{ID: short}, told: Work{ID: short}}
			b.upstreams[e.ID] = u
		}
		if u.entry.State != e.State || u.entry.Address != e.Address || u.entry.StartedAt != e.StartedAt {
			changed = append(changed, e)
		}
		if u.entry.StartedAt != e.StartedAt {
			u.health = health{}
		}
		u.entry = e
	}
	for id, u := range b.upstreams {
		if !listed[id] {
			u.entry.State = roster.Gone
		}
		if u.entry.State == roster.Gone && u.own.InFlight == 0 {
			delete(b.upstreams, id)
		}
	}
	b.index()
	b.sumElsewhere()
	b.takeRecalled()
	return changed
}

// index lists the upstreams of each service, by name.
func (b *Book) index() {
	b.services = map[protocol.Service][]*upstream{}
	b.byShort = map[Short]*upstream{}
	for _, u := range b.upstreams {
		b.byShort[u.own.ID] = u
		b.services[u.entry.Service] = append(b.services[u.entry.Service], u)
	}
	for _, list := range b.services {
		slices.SortFunc(list, func(x, y *upstream) int { return cmp.Compare(x.entry.ID, y.entry.ID) })
	}
}

// AnyReady reports whether any upstream takes work.
func (b *Book) AnyReady() bool {
	for _, u := range b.upstreams {
		if u.entry.State == roster.Ready {
			return true
		}
	}
	return false
}

// Entry returns what the roster says of an upstream.
func (b *Book) Entry(id protocol.UpstreamID) (roster.Entry, bool) {
	u := b.upstreams[id]
	if u == nil {
		return roster.Entry{}, false
	}
	return u.entry, true
}

// Load returns the work on an upstream and whether it is known.
func (b *Book) Load(id protocol.UpstreamID) (int, bool) {
	u := b.upstreams[id]
	if u == nil {
		return 0, false
	}
	return u.load(), true
}

// Started notes that a request was sent to an upstream.
func (b *Book) Started(id protocol.UpstreamID) {
	if u := b.upstreams[id]; u != nil {
		u.own.InFlight++
	}
}

// Ended notes how a request ended.
func (b *Book) Ended(now time.Duration, id protocol.UpstreamID, result Result) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	u.own.InFlight = max(0, u.own.InFlight-1)
	u.judged(now, result)
	if u.entry.State == roster.Gone && u.own.InFlight == 0 {
		delete(b.upstreams, id)
		b.index()
	}
}

// judged counts a result, for this router and the others.
func (u *upstream) judged(now time.Duration, result Result) {
	switch result {
	case Served:
		u.own.Served++
	case Failed, Unreachable:
		u.own.Failed++
	}
	u.health.note(now, result, 1)
}

// Judged notes the result of a request that has ended before, as Abandoned.
func (b *Book) Judged(now time.Duration, id protocol.UpstreamID, result Result) {
	if u := b.upstreams[id]; u != nil {
		u.judged(now, result)
	}
}

// Overdue notes that the answer to a request is overdue. It counts as a failure,
// also if it comes in the end.
func (b *Book) Overdue(now time.Duration, id protocol.UpstreamID) { b.Judged(now, id, Failed) }

// Judgement is a change of what is believed of an upstream by its outcomes.
type Judgement struct {
	ID protocol.UpstreamID
	// Avoided says that it gets no work while others can have it.
	Avoided bool
	// Failed and Served are the outcomes it is judged by, weighed by age.
	Failed, Served float64
	// Alone is how long nobody tries it, if it took no connection.
	Alone time.Duration
}

// Judgements returns what has changed since the last call, by name.
func (b *Book) Judgements(now time.Duration) []Judgement {
	var changed []Judgement
	for id, u := range b.upstreams {
		avoided := u.health.isAvoided(now)
		if avoided == u.avoided {
			continue
		}
		u.avoided = avoided
		changed = append(changed, Judgement{
			ID: id, Avoided: avoided, Failed: u.health.failed, Served: u.health.served, Alone: u.health.alone,
		})
	}
	slices.SortFunc(changed, func(x, y Judgement) int { return cmp.Compare(x.ID, y.ID) })
	return changed
}

// TakeLoads takes another router's work, or what one that passes work on has
// added up.
func (b *Book) TakeLoads(now time.Duration, from protocol.RouterID, loads Loads) {
	if !b.neighbours.has(from) {
		return
	}
	other := b.routers[from]
	if other == nil {
		other = &others{works: map[Short]Work{}}
		b.routers[from] = other
	}
	other.at = now
	if loads.Whole {
		b.lapse(now, other, loads)
	}
	for _, work := range loads.Works {
		b.replace(now, other, work)
	}
	b.takeKept(now, loads.Kept)
	b.passKept(from, loads.Kept)
}

// lapse takes what whole Loads leave out as ended.
func (b *Book) lapse(now time.Duration, other *others, loads Loads) {
	named := map[Short]bool{}
	for _, work := range loads.Works {
		named[work.ID] = true
	}
	for id, before := range other.works {
		if named[id] || before.InFlight == 0 {
			continue
		}
		if u := b.byShort[id]; u != nil {
			b.addElsewhere(now, u, -before.InFlight)
		}
		before.InFlight = 0
		other.works[id] = before
	}
}

// replace takes the work of another router on one upstream, and counts what
// ended since the last time.
func (b *Book) replace(now time.Duration, other *others, work Work) {
	before, known := other.works[work.ID]
	other.works[work.ID] = work
	u := b.byShort[work.ID]
	if u == nil {
		return
	}
	b.addElsewhere(now, u, work.InFlight-before.InFlight)
	if known && work.Failed >= before.Failed && work.Served >= before.Served {
		u.health.note(now, Failed, work.Failed-before.Failed)
		u.health.note(now, Served, work.Served-before.Served)
	}
}

// Expire drops the work of routers that have fallen silent.
func (b *Book) Expire(now time.Duration) []protocol.RouterID {
	b.forgetRecalled(now)
	var silent []protocol.RouterID
	for id, other := range b.routers {
		if now-other.at > loadsLife {
			delete(b.routers, id)
			silent = append(silent, id)
		}
	}
	if len(silent) > 0 {
		b.sumElsewhere()
	}
	slices.Sort(silent)
	return silent
}

// Routers returns how many other routers' loads count.
func (b *Book) Routers() int { return len(b.routers) }

// sumElsewhere adds the other routers' work up anew.
func (b *Book) sumElsewhere() {
	for _, u := range b.upstreams {
		u.elsewhere = 0
	}
	for _, other := range b.routers {
		for id, work := range other.works {
			if u := b.byShort[id]; u != nil {
				u.elsewhere += work.InFlight
			}
		}
	}
}

package crashes

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// crashesAtOnce is the time within which crashes count once: upstreams that lose power
	// together have the same parts in flight.
	crashesAtOnce = 200 * time.Millisecond
	// partQuarantineAfter is how many crashes quarantine a part that was never answered,
	// againQuarantineAfter one that was quarantined before, tieQuarantineAfter several that have
	// all their crashes in common, and answeredQuarantineAfter one that was answered before the
	// first of them, and not since.
	partQuarantineAfter     = 3
	againQuarantineAfter    = 1
	tieQuarantineAfter      = 4
	answeredQuarantineAfter = 5
	// askAfter is how many crashes make a part a suspect, of which routers are asked.
	askAfter = 2
	// askInterval is the least time between two questions, and replyTime how long routers may
	// take to answer one. A question that too few have answered is asked again after askAgainAfter.
	askInterval   = 100 * time.Millisecond
	replyTime     = 250 * time.Millisecond
	askAgainAfter = 500 * time.Millisecond
	// maxQuestions bounds the questions to which answers may still come.
	maxQuestions = 16
	// crashWindow is how long a crash counts, and lateReport how much later than others a
	// router may report it.
	crashWindow = time.Hour
	lateReport  = 3 * time.Second
	// maxCrashes bounds the crashes that are remembered.
	maxCrashes = 64
	// maxAsked bounds the parts in a question.
	maxAsked = 64
)

const (
	// MaxCrashParts bounds the parts of one crash.
	MaxCrashParts = 128
	// JustBegun is how long after the first event of its answer a request may still be what crashes
	// its upstream.
	JustBegun = 100 * time.Millisecond
	// MaxAskedRouters is how many routers are asked at once which parts of prompts they have seen
	// answered. What is in many prompts is known to some of them.
	MaxAskedRouters = 128
)

// incarnation is one start of an upstream.
type incarnation struct {
	upstream  protocol.UpstreamID
	startedAt int64
}

// crash is the end of one or several upstreams at nearly the same time, with the parts of the
// requests that they hadn't answered yet.
type crash struct {
	at        time.Duration
	upstreams map[incarnation]struct{}
	parts     map[uint64]struct{}
}

// Detector finds the parts of prompts that crash upstreams, from what all routers report. It is
// not safe for concurrent use.
type Detector struct {
	list *List
	// crashes are those that no quarantined part explains, oldest first.
	crashes []crash
	// sound is when prompts with a suspect part were last answered.
	sound map[uint64]time.Duration
	// asked is when routers were asked about a part, and askedAt when about any.
	asked   map[uint64]askedPart
	askedAt time.Duration
	// questions are the last ones, and lastNumber is the number of the newest.
	questions  []question
	lastNumber uint64
	// changed says that there is something new to go by, and replyBy is when routers have had
	// time to answer or are asked again, 0 if none were asked.
	changed bool
	replyBy time.Duration
}

// question is one that routers were asked.
type question struct {
	number uint64
	at     time.Duration
	parts  []uint64
}

// askedPart is when routers were asked about a part: for the first time since it has enough
// crashes, and for the last time. heard are those that have answered since the first time, of some
// routers that were asked the last time.
type askedPart struct {
	first, last time.Duration
	heard       map[protocol.RouterID]struct{}
	routers     int
}

// isJudged reports whether at least half of the routers have said whether the part was answered.
//
// It guards against this failure: a disk VM that has just been suspended, or whose connections to
// routers are silent, takes the lack of answers for one. The first part of all prompts is in each
// crash, so it would be quarantined beside the one that crashes engines, and everybody refused.
func (a askedPart) isJudged(now time.Duration) bool {
	return now-a.first >= replyTime && 2*len(a.heard) >= a.routers
}

// NewDetector returns a detector that adds what it finds to the list. Its questions have the numbers
// after lastNumber, which differs by much between processes: an answer to a former one answers none
// of them.
func NewDetector(list *List, lastNumber uint64) *Detector {
	return &Detector{list: list, lastNumber: lastNumber, sound: map[uint64]time.Duration{}, asked: map[uint64]askedPart{}}
}

// Report takes a router's report.
func (d *Detector) Report(now time.Duration, c Crash) {
	if len(c.Parts) == 0 || d.explained(now, c.Parts) {
		return
	}
	at := d.crashOf(now, incarnation{c.Upstream, c.StartedAt})
	for _, part := range c.Parts {
		if len(at.parts) < MaxCrashParts {
			at.parts[part] = struct{}{}
		}
	}
	d.changed = true
}

// explained reports whether one of the parts is quarantined: it was sent before that.
func (d *Detector) explained(now time.Duration, parts []uint64) bool {
	return slices.ContainsFunc(parts, func(part uint64) bool { return d.list.Left(now, Part, part) > 0 })
}

// crashOf returns the crash that an upstream's end belongs to.
func (d *Detector) crashOf(now time.Duration, ended incarnation) *crash {
	for i := range d.crashes {
		if _, known := d.crashes[i].upstreams[ended]; known && now-d.crashes[i].at < lateReport {
			return &d.crashes[i]
		}
	}
	if last := len(d.crashes) - 1; last < 0 || now-d.crashes[last].at >= crashesAtOnce {
		if len(d.crashes) >= maxCrashes {
			d.crashes = slices.Delete(d.crashes, 0, 1)
		}
		d.crashes = append(d.crashes, crash{at: now, upstreams: map[incarnation]struct{}{}, parts: map[uint64]struct{}{}})
	}
	last := &d.crashes[len(d.crashes)-1]
	last.upstreams[ended] = struct{}{}
	return last
}

// HandleSound takes a router's answer.
func (d *Detector) HandleSound(now time.Duration, from protocol.RouterID, s Sound) {
	d.noteHeard(from, s.Number)
	for _, part := range s.Parts {
		if _, asked := d.asked[part.Key]; !asked {
			continue
		}
		answered := now - time.Duration(max(part.AgoMS, 0))*time.Millisecond
		if known, any := d.sound[part.Key]; !any || answered > known {
			d.sound[part.Key] = answered
			d.changed = true
		}
	}
}

// noteHeard records that a router has answered a question.
func (d *Detector) noteHeard(from protocol.RouterID, number uint64) {
	at := slices.IndexFunc(d.questions, func(q question) bool { return q.number == number })
	if at < 0 {
		return
	}
	for _, part := range d.questions[at].parts {
		if asked, any := d.asked[part]; any && d.questions[at].at >= asked.first {
			asked.heard[from] = struct{}{}
			d.changed = true
		}
	}
}

// suspectPart is a part that several crashes have in common.
type suspectPart struct {
	part  uint64
	count int
	// first and last are the times of the first and the last of these crashes, and reached of the
	// one from which on the part may be quarantined, if enough.
	first, last, reached time.Duration
	enough               bool
	answered             bool
}

// Tick returns the question to send to routers, if there is one, and the parts that are quarantined
// now. NoteAsked must be called once the question was sent.
func (d *Detector) Tick(now time.Duration) (ask *Suspects, found []Quarantine) {
	replied := d.replyBy > 0 && now >= d.replyBy
	if !d.changed && !replied {
		return nil, nil
	}
	d.changed = false
	if replied {
		d.replyBy = 0
	}
	d.expire(now)
	d.dropExplained(now)
	suspects := d.suspects(now)
	for {
		worst, any := d.culprit(now, suspects)
		if !any {
			break
		}
		for _, s := range worst {
			found = append(found, d.list.Add(now, Part, s.part))
		}
		d.dropExplained(now)
		suspects = d.suspects(now)
	}
	return d.question(now, suspects), found
}

// NoteAsked records how many routers a question was sent to.
func (d *Detector) NoteAsked(ask Suspects, routers int) {
	for _, part := range ask.Parts {
		asked := d.asked[part]
		asked.routers = routers
		d.asked[part] = asked
	}
}

// suspects returns the parts that have at least askAfter crashes in common, or enough to be
// quarantined, those with most crashes first. Crashes before the last answer of a part don't count
// for it.
func (d *Detector) suspects(now time.Duration) []suspectPart {
	byPart := map[uint64]*suspectPart{}
	for _, c := range d.crashes {
		for part := range c.parts {
			d.count(now, byPart, part, c.at)
		}
	}
	var all []suspectPart
	for _, s := range byPart {
		if (s.count >= askAfter || s.enough) && d.coversHalf(s) {
			all = append(all, *s)
		}
	}
	slices.SortFunc(all, func(a, b suspectPart) int { return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.part, b.part)) })
	return all
}

// count counts a crash for one of its parts.
func (d *Detector) count(now time.Duration, byPart map[uint64]*suspectPart, part uint64, at time.Duration) {
	answered, any := d.sound[part]
	if any && answered > at {
		return
	}
	s := byPart[part]
	if s == nil {
		s = &suspectPart{part: part, first: at, answered: any}
		byPart[part] = s
	}
	s.count++
	s.last = at
	if s.count >= d.needed(now, s) && !s.enough {
		s.enough, s.reached = true, at
	}
}

// needed returns how many crashes quarantine a part.
func (d *Detector) needed(now time.Duration, s *suspectPart) int {
	switch {
	case s.answered:
		return answeredQuarantineAfter
	case d.list.Lapsed(now, Part, s.part):
		return againQuarantineAfter
	}
	return partQuarantineAfter
}

// coversHalf reports whether at least half of the crashes since the part's first one have it.
func (d *Detector) coversHalf(s *suspectPart) bool {
	since := 0
	for _, c := range d.crashes {
		if c.at >= s.first {
			since++
		}
	}
	return 2*s.count >= since
}

// culprit returns the suspects that are to be quarantined: with most crashes in common, and of
// these preferably some that were never answered. Routers have been asked and had time to answer.
func (d *Detector) culprit(now time.Duration, suspects []suspectPart) ([]suspectPart, bool) {
	var worst []suspectPart
	for _, s := range suspects {
		asked, any := d.asked[s.part]
		if !s.enough || !any || asked.first < s.reached || !asked.isJudged(now) {
			continue
		}
		if len(worst) > 0 && (s.count < worst[0].count || s.answered && !worst[0].answered) {
			continue
		}
		if len(worst) > 0 && worst[0].answered && !s.answered {
			worst = nil
		}
		worst = append(worst, s)
	}
	if len(worst) > 1 && worst[0].count < tieQuarantineAfter && !d.list.Lapsed(now, Part, worst[0].part) {
		return nil, false
	}
	return worst, len(worst) > 0
}

// dropExplained removes the crashes that a quarantined part has caused, whichever detector found it.
func (d *Detector) dropExplained(now time.Duration) {
	d.crashes = slices.DeleteFunc(d.crashes, func(c crash) bool {
		for part := range c.parts {
			if d.list.Left(now, Part, part) > 0 {
				return true
			}
		}
		return false
	})
}

// question returns the suspects that routers haven't been asked about since their last crash, or
// that too few of them have answered for.
func (d *Detector) question(now time.Duration, suspects []suspectPart) *Suspects {
	d.forgetOthers(suspects)
	if d.askedAt > 0 && now-d.askedAt < askInterval {
		d.changed = true
		return nil
	}
	var ask Suspects
	for _, s := range suspects {
		asked, any := d.asked[s.part]
		unjudged := s.enough && !asked.isJudged(now)
		if any && asked.last >= s.last && !(unjudged && now-asked.last >= askAgainAfter) {
			if unjudged {
				d.lookAgainAt(asked.last + askAgainAfter)
			}
			continue
		}
		if len(ask.Parts) == maxAsked {
			break
		}
		ask.Parts = append(ask.Parts, s.part)
		if !any || s.enough && asked.first < s.reached {
			asked.first = now
			asked.heard = map[protocol.RouterID]struct{}{}
		}
		asked.last = now
		d.asked[s.part] = asked
	}
	if len(ask.Parts) == 0 {
		return nil
	}
	d.askedAt, d.replyBy = now, now+replyTime
	d.lastNumber++
	ask.Number = d.lastNumber
	d.questions = append(d.questions, question{number: ask.Number, at: now, parts: ask.Parts})
	d.questions = d.questions[max(len(d.questions)-maxQuestions, 0):]
	return &ask
}

// lookAgainAt makes Tick decide again at a time, or earlier.
func (d *Detector) lookAgainAt(at time.Duration) {
	if d.replyBy == 0 || at < d.replyBy {
		d.replyBy = at
	}
}

// forgetOthers drops what is known of parts that aren't in any crash.
func (d *Detector) forgetOthers(suspects []suspectPart) {
	maps.DeleteFunc(d.asked, func(part uint64, _ askedPart) bool {
		return !slices.ContainsFunc(suspects, func(s suspectPart) bool { return s.part == part })
	})
	maps.DeleteFunc(d.sound, func(part uint64, _ time.Duration) bool {
		return !slices.ContainsFunc(d.crashes, func(c crash) bool {
			_, has := c.parts[part]
			return has
		})
	})
}

// expire drops old crashes.
func (d *Detector) expire(now time.Duration) {
	d.crashes = slices.DeleteFunc(d.crashes, func(c crash) bool { return now-c.at > crashWindow })
}

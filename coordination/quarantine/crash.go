package quarantine

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/protocol"
)

// crash is one recent crash anywhere in the fleet.
type crash struct {
	id   uint32
	at   time.Duration
	with []inFlight
	void bool
}

// minCommonCrashes condemns the only suspect that this many crashes have in
// common even if it never ran alone, since waiting longer would cost more
// upstreams than a wrong, short quarantine costs its caller.
const minCommonCrashes = 3

// Crashed notes that an upstream this router owns crashed, and blames what was
// in flight on it.
func (t *Tracker) Crashed(now time.Duration, upstream protocol.UpstreamID, incarnation uint64) Report {
	runs := sortedRuns(t.upstreams[upstream])
	delete(t.upstreams, upstream)
	delete(t.claims, upstream)
	id := crashID(upstream, incarnation)
	if t.known(id) {
		return Report{}
	}
	guilty := t.guilty(now, runs)
	with := make([]inFlight, 0, len(runs))
	for _, r := range runs {
		with = append(with, inFlight{digest: r.digest.short(), age: now - r.started})
	}
	report := Report{Suspects: len(runs)}
	told := with
	if guilty != nil && guilty.alone {
		// A lonely suspect explains the crash, so nobody else is suspected.
		told = []inFlight{{digest: guilty.digest.short(), age: now - guilty.started}}
	}
	t.suspectAll(now, told, id)
	report.Notices = append(report.Notices, Notice{Kind: CrashNotice, Crash: id, Suspects: encodeSuspects(told)})
	if guilty != nil {
		report.Condemned = append(report.Condemned, guilty.digest)
		report.Notices = append(report.Notices, t.condemn(now, guilty, id))
	}
	if t.remember(now, crash{id: id, at: now, with: told}) {
		report.Void = true
		report.Condemned = nil
		report.Notices = report.Notices[:1]
	}
	return report
}

// Merge takes in a notice from another router. It may come twice or late.
func (t *Tracker) Merge(now time.Duration, n Notice) {
	switch n.Kind {
	case CrashNotice:
		t.mergeCrash(now, n)
	case CondemnNotice:
		t.mergeSentence(now, n)
	case LiftNotice:
		t.lift(n.Digest)
	}
}

// guilty returns the run that a crash condemns, or nil: the one suspect on
// trial there if it was alone, or else the one that enough crashes have in
// common. The second rule finds requests that crash upstreams only after they
// have outlived their trial, or that never found a lonely upstream.
func (t *Tracker) guilty(now time.Duration, runs []*run) *run {
	var onTrial, common []*run
	for _, r := range runs {
		s := t.suspectOf(now, r.digest.short())
		if s == nil {
			continue
		}
		if now < r.trialEnds {
			onTrial = append(onTrial, r)
		}
		if len(s.crashes)+1 >= minCommonCrashes {
			common = append(common, r)
		}
	}
	if len(onTrial) == 1 && onTrial[0].alone {
		return onTrial[0]
	}
	if len(common) == 1 {
		return common[0]
	}
	return nil
}

// suspectAll adds a crash to the records of all that were in flight.
func (t *Tracker) suspectAll(now time.Duration, with []inFlight, id uint32) {
	for _, r := range with {
		found := t.suspectOf(now, r.digest)
		if found == nil {
			t.makeRoom()
			found = &suspect{}
			t.suspects[r.digest] = found
		}
		found.until = now + t.config.SuspectFor
		found.age = r.age
		if !slices.Contains(found.crashes, id) {
			found.crashes = append(found.crashes, id)
		}
	}
}

// makeRoom forgets the suspect whose time runs out first when there are too many.
func (t *Tracker) makeRoom() {
	if len(t.suspects) < t.config.MaxSuspects {
		return
	}
	var oldest short
	first := true
	for s, found := range t.suspects {
		if first || found.until < t.suspects[oldest].until || found.until == t.suspects[oldest].until && s < oldest {
			oldest, first = s, false
		}
	}
	delete(t.suspects, oldest)
}

// condemn quarantines a digest and returns the notice.
func (t *Tracker) condemn(now time.Duration, r *run, id uint32) Notice {
	// The guilty run has been a suspect up to this crash.
	before := t.suspects[r.digest.short()]
	strikes := before.strikes + 1
	delete(t.suspects, r.digest.short())
	length := t.sentenceLength(strikes)
	t.sentences[r.digest] = &sentence{
		customer: r.customer,
		until:    now + length,
		strikes:  strikes,
		crash:    id,
		before:   before,
	}
	return Notice{
		Kind:    CondemnNotice,
		Crash:   id,
		Digest:  r.digest,
		Strikes: uint8(min(strikes, maxStrikes)),
		Seconds: wholeSeconds(length),
	}
}

// maxStrikes fits a byte and stops the doubling.
const maxStrikes = 20

func (t *Tracker) sentenceLength(strikes int) time.Duration {
	doublings := min(strikes, maxStrikes) - 1
	return min(t.config.FirstSentence<<doublings, t.config.MaxSentence)
}

// remember keeps a crash, so that it is counted once, and applies the mass rule.
// It returns whether this crash is void.
func (t *Tracker) remember(now time.Duration, c crash) bool {
	if len(t.crashes) >= maxRemembered {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	t.crashes = append(t.crashes, c)
	recent := t.recent(now)
	if independentCauses(recent) < t.config.MassCrashes {
		return false
	}
	for i := range recent {
		recent[i].void = true
		t.annul(recent[i].id)
	}
	return true
}

// maxRemembered bounds the remembered crashes. It is more than a whole data
// centre's upstreams, so no notice of an earlier crash in the same loss is
// mistaken for a new one.
const maxRemembered = 512

// recent returns the crashes within the mass window. They are the last ones,
// since crashes are kept in the order in which they were heard of.
func (t *Tracker) recent(now time.Duration) []crash {
	first := len(t.crashes)
	for first > 0 && now-t.crashes[first-1].at <= t.config.MassWindow {
		first--
	}
	return t.crashes[first:]
}

// annul takes back whatever rests on a crash. A digest that it condemned is
// a suspect again, for the crashes before.
func (t *Tracker) annul(id uint32) {
	for d, s := range t.sentences {
		if s.crash != id {
			continue
		}
		delete(t.sentences, d)
		if s.before != nil {
			t.suspects[d.short()] = s.before
		}
	}
	for s, found := range t.suspects {
		found.crashes = slices.DeleteFunc(found.crashes, func(c uint32) bool { return c == id })
		if len(found.crashes) == 0 {
			delete(t.suspects, s)
		}
	}
}

func (t *Tracker) mergeCrash(now time.Duration, n Notice) {
	if t.known(n.Crash) {
		return
	}
	with := decodeSuspects(n.Suspects)
	t.suspectAll(now, with, n.Crash)
	t.remember(now, crash{id: n.Crash, at: now, with: with})
}

func (t *Tracker) mergeSentence(now time.Duration, n Notice) {
	for _, c := range t.crashes {
		if c.id == n.Crash && c.void {
			return
		}
	}
	until := now + time.Duration(n.Seconds)*time.Second
	if old := t.sentences[n.Digest]; old != nil && old.strikes >= int(n.Strikes) {
		return
	}
	t.sentences[n.Digest] = &sentence{
		until:   until,
		strikes: int(n.Strikes),
		crash:   n.Crash,
		before:  t.suspects[n.Digest.short()],
	}
	delete(t.suspects, n.Digest.short())
}

// known says whether a crash was counted already, so that repeated notices and
// the owner's own report do not count twice.
func (t *Tracker) known(id uint32) bool {
	return slices.ContainsFunc(t.crashes, func(c crash) bool { return c.id == id })
}

func sortedRuns(runs map[Digest]*run) []*run {
	sorted := make([]*run, 0, len(runs))
	for _, r := range runs {
		sorted = append(sorted, r)
	}
	slices.SortFunc(sorted, func(a, b *run) int { return cmp.Compare(a.digest, b.digest) })
	return sorted
}

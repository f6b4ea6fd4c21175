package quarantine

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/protocol"
)

// crash is one recent crash of an upstream anywhere in the fleet.
type crash struct {
	id          uint32
	at          time.Duration
	suspects    []inFlight
	massFailure bool
}

// minCommonCrashes is the number of crashes after which the only suspect that
// they have in common is quarantined even if it never ran alone: waiting longer
// would cost more upstreams than a wrong, short quarantine costs its caller.
const minCommonCrashes = 3

// Crashed records that an upstream of this router crashed, and makes the
// requests that were in flight on it suspects.
func (t *Tracker) Crashed(now time.Duration, upstream protocol.UpstreamID, incarnation uint64) Report {
	runs := sortedRuns(t.upstreams[upstream])
	delete(t.upstreams, upstream)
	delete(t.reservations, upstream)
	id := crashID(upstream, incarnation)
	if t.known(id) {
		return Report{}
	}
	culprit := t.culprit(now, runs)
	suspects := make([]inFlight, 0, len(runs))
	for _, r := range runs {
		suspects = append(suspects, inFlight{digest: r.digest.short(), age: now - r.started})
	}
	report := Report{Suspects: len(runs)}
	published := suspects
	if culprit != nil && culprit.alone {
		// A suspect that ran alone explains the crash, so no other request
		// becomes a suspect.
		published = []inFlight{{digest: culprit.digest.short(), age: now - culprit.started}}
	}
	t.suspectAll(now, published, id)
	report.Notices = append(report.Notices, Notice{Kind: CrashNotice, Crash: id, Suspects: encodeSuspects(published)})
	if culprit != nil {
		report.Quarantined = append(report.Quarantined, culprit.digest)
		report.Notices = append(report.Notices, t.quarantine(now, culprit, id))
	}
	if t.recordCrash(now, crash{id: id, at: now, suspects: published}) {
		report.MassFailure = true
		report.Quarantined = nil
		report.Notices = report.Notices[:1]
	}
	return report
}

// Merge applies a notice from another router. The notice may arrive twice or
// late.
func (t *Tracker) Merge(now time.Duration, n Notice) {
	switch n.Kind {
	case CrashNotice:
		t.mergeCrash(now, n)
	case QuarantineNotice:
		t.mergeQuarantine(now, n)
	case LiftNotice:
		t.lift(n.Digest)
	}
}

// culprit returns the run that must be quarantined for a crash, or nil if no run is
// clearly the cause. If exactly one suspect was on trial on the upstream, and it ran
// alone, that is the cause. Otherwise it is the only suspect that was in
// minCommonCrashes crashes or more, this one included. The second rule finds requests
// that crash upstreams only after their trial has ended, or that never found an
// upstream to run alone on.
func (t *Tracker) culprit(now time.Duration, runs []*run) *run {
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

// suspectAll adds a crash to the records of all requests that were in flight.
func (t *Tracker) suspectAll(now time.Duration, suspects []inFlight, id uint32) {
	for _, r := range suspects {
		found := t.suspectOf(now, r.digest)
		if found == nil {
			t.evictSuspect()
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

// evictSuspect removes the suspect that expires first if there are MaxSuspects.
func (t *Tracker) evictSuspect() {
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

// quarantine quarantines the digest of a run and returns the notice for the
// other routers.
func (t *Tracker) quarantine(now time.Duration, r *run, id uint32) Notice {
	// The run was a suspect before this crash, otherwise culprit wouldn't have
	// returned it.
	before := t.suspects[r.digest.short()]
	strikes := before.strikes + 1
	delete(t.suspects, r.digest.short())
	length := t.quarantineDuration(strikes)
	t.quarantined[r.digest] = &quarantineRecord{
		customer: r.customer,
		until:    now + length,
		strikes:  strikes,
		crash:    id,
		before:   before,
	}
	return Notice{
		Kind:    QuarantineNotice,
		Crash:   id,
		Digest:  r.digest,
		Strikes: uint8(min(strikes, maxStrikes)),
		Seconds: wholeSeconds(length),
	}
}

// maxStrikes is the highest number of strikes that counts. It fits a byte and
// limits the doubling of the quarantine.
const maxStrikes = 20

// quarantineDuration returns how long the quarantine after this number of
// strikes lasts.
func (t *Tracker) quarantineDuration(strikes int) time.Duration {
	doublings := min(strikes, maxStrikes) - 1
	return min(t.config.FirstDuration<<doublings, t.config.MaxDuration)
}

// recordCrash stores a crash, so that it is counted once, and checks for a mass
// failure: several upstreams that fail at once without a request in common. It
// returns whether this crash belongs to one.
func (t *Tracker) recordCrash(now time.Duration, c crash) bool {
	if len(t.crashes) >= maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	t.crashes = append(t.crashes, c)
	recent := t.recent(now)
	if independentCauses(recent) < t.config.MassCrashes {
		return false
	}
	for i := range recent {
		recent[i].massFailure = true
		t.retractCrash(recent[i].id)
	}
	return true
}

// maxCrashes limits the number of stored crashes. It exceeds the number of
// upstreams of a whole data centre, so that a repeated notice of an earlier
// crash in the same mass failure isn't mistaken for a new crash.
const maxCrashes = 512

// recent returns the crashes within Config.MassWindow. They are the last ones,
// because crashes are stored in the order in which this router learned of them.
func (t *Tracker) recent(now time.Duration) []crash {
	first := len(t.crashes)
	for first > 0 && now-t.crashes[first-1].at <= t.config.MassWindow {
		first--
	}
	return t.crashes[first:]
}

// retractCrash removes every consequence of a crash. A digest that was
// quarantined because of it becomes a suspect again, for its earlier crashes.
func (t *Tracker) retractCrash(id uint32) {
	for d, q := range t.quarantined {
		if q.crash != id {
			continue
		}
		delete(t.quarantined, d)
		if q.before != nil {
			t.suspects[d.short()] = q.before
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
	suspects := decodeSuspects(n.Suspects)
	t.suspectAll(now, suspects, n.Crash)
	t.recordCrash(now, crash{id: n.Crash, at: now, suspects: suspects})
}

func (t *Tracker) mergeQuarantine(now time.Duration, n Notice) {
	for _, c := range t.crashes {
		if c.id == n.Crash && c.massFailure {
			return
		}
	}
	until := now + time.Duration(n.Seconds)*time.Second
	if old := t.quarantined[n.Digest]; old != nil && old.strikes >= int(n.Strikes) {
		return
	}
	t.quarantined[n.Digest] = &quarantineRecord{
		until:   until,
		strikes: int(n.Strikes),
		crash:   n.Crash,
		before:  t.suspects[n.Digest.short()],
	}
	delete(t.suspects, n.Digest.short())
}

// known reports whether a crash was already counted, so that repeated notices
// and the owner's own report don't count twice.
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

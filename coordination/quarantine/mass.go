package quarantine

// independentCauses returns how many causes are needed to explain the crashes, if
// one request may explain several and any other cause explains one.
//
// A request that crashes upstreams one after the other is one cause of many
// crashes. When a rack fails, most requests ran on only one of its upstreams, so
// each upstream needs a cause of its own. But some requests are in two of the
// crashes by coincidence: they ran on an upstream that failed first, and were
// restarted on another one just before that failed too. A request that is in
// several crashes therefore counts as their cause only where coincidence is
// unlikely: where it ran alone in the later crash, or where it was in three
// crashes or more at a similar age (see sameAge).
func independentCauses(crashes []crash) int {
	// open holds the indexes of the crashes that no cause explains yet.
	open := make(map[int]bool, len(crashes))
	for i := range crashes {
		if !explainedAlone(crashes, i) {
			open[i] = true
		}
	}
	explains := explanations(crashes)
	causes := 0
	for len(open) > 0 {
		best := mostExplained(explains, open)
		if len(best) < minSharedCrashes {
			return causes + len(open)
		}
		for _, i := range best {
			delete(open, i)
		}
		causes++
	}
	return causes
}

// minSharedCrashes is the number of crashes that a request must be in to count
// as their one cause.
const minSharedCrashes = 3

// explainedAlone reports whether a crash had a single suspect that was also in
// an earlier crash.
func explainedAlone(crashes []crash, i int) bool {
	if len(crashes[i].suspects) != 1 {
		return false
	}
	for _, earlier := range crashes[:i] {
		for _, r := range earlier.suspects {
			if r.digest == crashes[i].suspects[0].digest {
				return true
			}
		}
	}
	return false
}

// explanations returns for each request the indexes of the crashes that it may
// have caused.
func explanations(crashes []crash) map[short][]int {
	explains := make(map[short][]int)
	first := make(map[short]inFlight)
	for i, c := range crashes {
		for _, r := range c.suspects {
			earlier, seen := first[r.digest]
			if !seen {
				first[r.digest] = r
			}
			if !seen || sameAge(earlier, r) {
				explains[r.digest] = append(explains[r.digest], i)
			}
		}
	}
	return explains
}

// sameAge says whether a request could have crashed two upstreams: it does so
// at about the same point of its run, here within a factor of two.
func sameAge(a, b inFlight) bool {
	return a.age <= 2*b.age && b.age <= 2*a.age
}

// mostExplained returns the open crashes (those that no cause explains yet) that
// are explained by the request that explains most of them.
func mostExplained(explains map[short][]int, open map[int]bool) []int {
	var best []int
	var bestDigest short
	for digest, crashes := range explains {
		var covered []int
		for _, i := range crashes {
			if open[i] {
				covered = append(covered, i)
			}
		}
		if len(covered) > len(best) || len(covered) == len(best) && digest < bestDigest {
			best, bestDigest = covered, digest
		}
	}
	return best
}

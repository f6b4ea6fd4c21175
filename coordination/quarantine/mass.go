package quarantine

// independentCauses returns how many causes are needed to explain crashes, if
// one request may explain several and anything else explains one.
//
// A request that crashes upstreams one after the other is one cause of many
// crashes; a rack that fails takes requests that ran in one place each, so each of
// its upstreams needs a cause of its own. But the requests of its first upstreams
// may have been started again on the next ones just before those fail too, and
// some are in two crashes by that accident. So a shared request counts only where
// the accident is unlikely: where it ran alone in the later crash, or where it was
// in three or more at a similar age (see sameAge).
func independentCauses(crashes []crash) int {
	open := make(map[int]bool, len(crashes))
	for i := range crashes {
		if !explainedAlone(crashes, i) {
			open[i] = true
		}
	}
	explains := explanations(crashes)
	causes := 0
	for len(open) > 0 {
		best := widest(explains, open)
		if len(best) < leastShared {
			return causes + len(open)
		}
		for _, i := range best {
			delete(open, i)
		}
		causes++
	}
	return causes
}

// leastShared is how many crashes a request must be in to be their one cause.
const leastShared = 3

// explainedAlone says whether a crash had a single suspect that was also in
// an earlier one.
func explainedAlone(crashes []crash, i int) bool {
	if len(crashes[i].with) != 1 {
		return false
	}
	for _, earlier := range crashes[:i] {
		for _, r := range earlier.with {
			if r.digest == crashes[i].with[0].digest {
				return true
			}
		}
	}
	return false
}

// explanations returns for each request the crashes that it may have caused.
func explanations(crashes []crash) map[short][]int {
	explains := make(map[short][]int)
	first := make(map[short]inFlight)
	for i, c := range crashes {
		for _, r := range c.with {
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

// widest returns the crashes of the request that explains most open ones.
func widest(explains map[short][]int, open map[int]bool) []int {
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

package balance

// loadBound returns the load up to which an upstream is chosen while others have less:
// the operators' bound minus one, as other routers' latest requests aren't known yet.
//
// A lower bound is no better where prompts are in demand and engines have capacity for
// many times their load: engines that exceeded it would have their prompts copied
// elsewhere, and no more callers would be answered in time, as an engine with a few more
// requests is as quick. Where each request takes more of an engine's capacity, operators
// set a lower multiple.
func (b *Balancer) loadBound(mean float64) float64 {
	return b.settings.Multiple*mean + b.settings.Slack - 1
}

// excessWeight is by how much the load bound falls for each request that the candidates
// carry beyond the mean.
const excessWeight = 1.5

// boundFor returns the load bound for the candidates of a request.
//
// While a data centre is evacuated or its engines are cold, the others carry the load of
// all, but the operators' bound is by the mean of all. Engines that each router fills up to
// that bound exceed it with the requests of other routers that aren't known yet. So the
// bound falls as the candidates carry more than the mean, down to hardly more than what
// they carry. A few cold engines in a large pool change little. Where routers have shares of
// a limit, these keep the bound.
func (b *Balancer) boundFor(mean float64, found *candidates) float64 {
	bound := b.loadBound(mean)
	if found.evacuated+found.cold == 0 || found.sharedLimit > 0 {
		return bound
	}
	carried := found.meanLoad()
	return min(bound, max(bound-excessWeight*(carried-mean), carried+1))
}

// exceedsBound reports whether a new request has to be refused because every candidate has
// reached the operators' load bound, while a part of the service is evacuated or cold.
//
// When two of three data centres are evacuated, the engines of the third have three times
// the mean load of all. The operators' bound holds then too, so what is beyond it is
// refused at once instead of being added to engines that are over it.
func (b *Balancer) exceedsBound(mean float64, found *candidates) bool {
	if found.evacuated+found.cold == 0 || len(found.request.Tried) > 0 {
		return false
	}
	return !found.anyWithin(b.loadBound(mean))
}

// meanLoad returns the mean load of the candidates.
func (c *candidates) meanLoad() float64 {
	sum, count := 0, 0
	for u := range c.all() {
		sum += u.load()
		count++
	}
	if count == 0 {
		return 0
	}
	return float64(sum) / float64(count)
}

package balance

import "time"

// noteCommonFailure records that all upstreams of a pool that accept requests and aren't evacuated fail
// often.
func (b *Balancer) noteCommonFailure(now time.Duration, p *pool) {
	if p.allFail {
		return
	}
	any := false
	for _, u := range p.ready {
		if b.evacuated[u.entry.DataCentre] {
			continue
		}
		if !u.health.failsOften(now) {
			return
		}
		any = true
	}
	p.allFail = any
}

// endCommonFailure reduces the failures of all upstreams of a pool. It is called once one has served a
// request after all had failed: a failure that they had in common says little about those that haven't
// been tried since. Otherwise the first ones to recover would get all requests for as long as the
// failures of the others count, which without requests is some seconds.
func (p *pool) endCommonFailure(now time.Duration) {
	p.allFail = false
	for _, u := range p.ready {
		u.health.forgive(now)
	}
}

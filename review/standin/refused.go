package main

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// The disruption of playRefused: of the servers of each service, one fails a share of its requests
// for some time.
const (
	refusedCalm      = 5 * time.Second
	refusedFaulty    = 6500 * time.Millisecond
	refusedFailShare = 0.45
	serverCount      = 3
)

// playRefused plays the rule REFUSED: a request that was answered 503 has not run. A server that
// fails part of its requests sends the head and half of an answer, or of the first event of a stream,
// and no more.
func playRefused(p *play) {
	f := startFleet(p)
	servers := startServers(f)
	f.putConfig(7)
	f.awaitReady()
	var faulty atomic.Bool
	fails := func() bool { return faulty.Load() && rand.Float64() < refusedFailShare }
	failing := []*server{servers[0], servers[serverCount]}
	for _, s := range failing {
		s.fails = fails
	}
	time.Sleep(contactTime)
	c := startClients(f)
	time.Sleep(refusedCalm)
	faulty.Store(p.trouble)
	p.note("trouble %t: servers %s and %s fail %v of their requests for %s", p.trouble, failing[0].id, failing[1].id, refusedFailShare, refusedFaulty)
	time.Sleep(refusedFaulty)
	faulty.Store(false)
	p.note("the servers are sound again")
	time.Sleep(refusedCalm)
	judgeRefused(p, servers, c.stop())
	for _, s := range servers {
		s.stop()
	}
}

// judgeRefused finds orders whose attempt was answered with the promise that it hasn't run, and has.
func judgeRefused(p *play, servers []*server, answers []answer) {
	ranAttempt, ranOrder := map[string]int{}, map[string]int{}
	for _, s := range servers {
		for _, r := range s.runsAfter(time.Time{}) {
			ranAttempt[r.attempt]++
			ranOrder[r.order]++
		}
	}
	served := 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
		if isPromise(a.status) && ranAttempt[a.attempt] > 0 {
			p.broken("attempt %s of %s was answered %d and has run", a.attempt, a.order, a.status)
		}
	}
	twice := 0
	for order, count := range ranOrder {
		if count > 1 {
			twice++
			p.note("%s ran %d times", order, count)
		}
	}
	p.note("%d attempts, %d answered 200, %d orders ran more than once", len(answers), served, twice)
	if served < len(answers)/2 {
		p.fail("less than half of the attempts were served")
	}
}

package main

import (
	"errors"
	"time"
)

const (
	// leftCalm is how long clients send before the server leaves.
	leftCalm = 5 * time.Second
	// leftDown is how long the killed machine is down.
	leftDown = time.Second
	// leftLinger is how long the server goes on serving after its notice was acknowledged.
	leftLinger = 12 * time.Second
	// leftMargin is added to the time from which on machines are in touch again.
	leftMargin = 500 * time.Millisecond
)

// playLeft plays the rule DRAIN: a server that has said that it leaves, and whose notice was
// acknowledged, gets no more requests. The machine that acknowledged is killed right after.
func playLeft(p *play) {
	f := startFleet(p)
	servers := startServers(f)
	f.putConfig(7)
	f.awaitReady()
	time.Sleep(2 * contactTime)
	c := startClients(f)
	time.Sleep(leftCalm)
	leaving, told := servers[0], f.diskVMs[diskVMCount-1]
	if !leaving.leave(told) {
		p.require(errors.New(told.name), "the notice wasn't acknowledged")
	}
	acknowledged := time.Now()
	judgeFrom := acknowledged.Add(drainTime)
	if p.trouble {
		told.kill()
	}
	p.note("server %s: its DELETE was acknowledged by %s; trouble %t: that process was killed %.1f ms later", leaving.id, told.name, p.trouble, time.Since(acknowledged).Seconds()*1000)
	if p.trouble {
		time.Sleep(leftDown)
		told.start()
		// The core isn't stable for the contact time after the kill and after the start.
		judgeFrom = time.Now().Add(contactTime + leftMargin)
	}
	time.Sleep(time.Until(acknowledged.Add(leftLinger)))
	p.note("the server that left ends")
	leaving.stop()
	c.stop()
	for _, r := range leaving.runsAfter(judgeFrom) {
		p.broken("server %s, which left, runs attempt %s %.1f s after the acknowledgement", leaving.id, r.attempt, r.at.Sub(acknowledged).Seconds())
	}
	p.note("the server that left ran %d requests after its notice was acknowledged, %d of them later than %.1f s after", len(leaving.runsAfter(acknowledged)), len(leaving.runsAfter(judgeFrom)), judgeFrom.Sub(acknowledged).Seconds())
	for _, s := range servers[1:] {
		if len(s.runsAfter(judgeFrom)) == 0 {
			p.fail("server %s ran nothing", s.id)
		}
		s.stop()
	}
}

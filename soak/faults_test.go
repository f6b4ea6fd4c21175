package soak

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"endiveplank/standin/relay"
)

// fault is one failure that the test injects.
type fault struct {
	name string
	// do injects the fault and returns once its effect is undone.
	do func(h *harness)
}

// faults are the faults from which the test selects at random. Several may overlap.
// Faults that stop, pause or wipe disk VMs wait for each other: while one disk VM of
// three is down, or is catching up after it was wiped, the loss of a second one would
// lose the quorum.
var faults = []fault{
	{"kill a router", func(h *harness) { h.restart(h.randomRouter(), syscall.SIGKILL, 0) }},
	{"stop a router", func(h *harness) { h.restart(h.randomRouter(), syscall.SIGTERM, 0) }},
	{"pause a router", func(h *harness) { h.pauseForAWhile(h.randomRouter()) }},
	{"reload a router", func(h *harness) { h.randomRouter().reload() }},
	{"kill all routers", func(h *harness) {
		for _, p := range h.routers {
			h.restart(p, syscall.SIGKILL, 0)
		}
	}},
	{"kill a disk VM", func(h *harness) { h.withRandomDiskVM(func(p *process) { h.restart(p, syscall.SIGKILL, 0) }) }},
	{"stop a disk VM", func(h *harness) { h.withRandomDiskVM(func(p *process) { h.restart(p, syscall.SIGTERM, 0) }) }},
	{"pause a disk VM", func(h *harness) { h.withRandomDiskVM(h.pauseForAWhile) }},
	{"wipe a disk VM", func(h *harness) { h.withRandomDiskVM(h.wipe) }},
	{"kill all disk VMs", func(h *harness) {
		h.diskVMsMu.Lock()
		defer h.diskVMsMu.Unlock()
		for _, p := range h.diskVMs {
			p.stop(syscall.SIGKILL)
		}
		for _, p := range h.diskVMs {
			p.start()
		}
	}},
	{"delay a process's connections", func(h *harness) {
		h.impairConnections(relay.Faults{Delay: 40 * time.Millisecond}, time.Second)
	}},
	{"silence a process's connections", func(h *harness) { h.randomProcess().proxy.Forget(relay.Both) }},
	{"silence one direction", func(h *harness) { h.randomProcess().proxy.Forget(relay.Backward) }},
	{"cut a process's connections", func(h *harness) { h.randomProcess().proxy.Cut() }},
	{"reset an upstream's connections", func(h *harness) { h.withRandomUpstream(func(u *upstream) { u.proxy.Cut() }) }},
	{"silence an upstream's connections", func(h *harness) { h.withRandomUpstream(func(u *upstream) { u.proxy.Forget(relay.Both) }) }},
	{"make an upstream faulty", func(h *harness) {
		h.withRandomUpstream(func(u *upstream) {
			u.setFaulty(true)
			time.Sleep(1500 * time.Millisecond)
			u.setFaulty(false)
		})
	}},
	{"make an upstream busy", func(h *harness) { h.withRandomUpstream((*upstream).beBusy) }},
	{"lose paths", (*harness).losePaths},
	{"make desks fragile", (*harness).makeFragile},
	{"silence an upstream for a second", func(h *harness) { h.withRandomUpstream((*upstream).beSilent) }},
	{"crash an upstream", func(h *harness) {
		h.withRandomUpstream(func(u *upstream) {
			u.stop()
			h.startUpstream(u.service)
		})
	}},
	{"drain an upstream", func(h *harness) {
		h.withRandomUpstream(func(u *upstream) {
			h.startUpstream(u.service)
			u.drain()
		})
	}},
	{"roll the chat engines", (*harness).rollChat},
	{"kill two routers", (*harness).killRouters},
	{"crash engines by a part of prompts", (*harness).crashEnginesByPart},
	{"hand most connections to one router", (*harness).concentrate},
	{"make an upstream answer badly", func(h *harness) { h.withRandomUpstream((*upstream).answerBadly) }},
	{"lose the disk VM that an upstream told that it leaves", (*harness).loseDiskVMAfterNotice},
	{"connect clients that do not behave", (*harness).misbehave},
	{"stop an upstream that only its answers announce", func(h *harness) {
		h.withRandomUpstream(func(u *upstream) {
			h.startUpstream(u.service)
			u.leaveUnannounced()
		})
	}},
}

// unwantedFaults are the faults of upstreams that want no requests, and of routers that may
// forget it.
var unwantedFaults = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
	switch f.name {
	case "make an upstream busy", "drain an upstream", "stop an upstream that only its answers announce",
		"kill a router", "stop a router", "pause a router", "reload a router":
		return false
	}
	return true
})

// badAnswerFaults are answers that stop midway or never end, and what makes routers forget requests or
// send them through others.
var badAnswerFaults = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
	switch f.name {
	case "make an upstream answer badly", "kill a router", "stop a router", "reload a router", "lose paths", "reset an upstream's connections":
		return false
	}
	return true
})

// departureFaults are upstreams that leave, and what makes disk VMs and routers forget that.
var departureFaults = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
	switch f.name {
	case "lose the disk VM that an upstream told that it leaves", "drain an upstream", "kill a disk VM", "kill a router", "reload a router",
		"kill all disk VMs", "crash an upstream":
		return false
	}
	return true
})

// pathFaults are the faults by which routers lose their paths and upstreams become fragile, and
// those of single upstreams and disk VMs that may come at the same time.
var pathFaults = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
	switch f.name {
	case "lose paths", "make desks fragile", "silence an upstream for a second", "reload a router", "drain an upstream",
		"crash an upstream", "kill a disk VM", "reset an upstream's connections", "make an upstream busy":
		return false
	}
	return true
})

// overloadFaults are lost paths and fragile desks alone, so that each run has them at the same time.
var overloadFaults = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
	return f.name != "lose paths" && f.name != "make desks fragile"
})

// surgeFaults are surges, and what makes routers forget or mistake what they know of them.
var surgeFaults = append(slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
	switch f.name {
	case "kill a router", "stop a router", "pause a router", "kill all routers", "kill all disk VMs",
		"silence a process's connections", "silence an upstream's connections", "crash an upstream", "lose paths":
		return false
	}
	return true
}), fault{"surge on the desks", (*harness).surge})

// partFaults are prompts that crash engines, and routers and disk VMs that may forget which.
var partFaults = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
	switch f.name {
	case "crash engines by a part of prompts", "kill a router", "stop a router", "pause a router", "reload a router", "kill a disk VM",
		"crash an upstream", "hand most connections to one router":
		return false
	}
	return true
})

// concentrationFaults are those at which most new connections go to one router, and others that make
// no request fail.
var concentrationFaults = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
	return f.name != "hand most connections to one router" && f.name != "reload a router" && f.name != "drain an upstream"
})

// buildFaults are the faults by which versions of the engines' software come and go, and streams
// and those who know of them are lost.
var buildFaults = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
	switch f.name {
	case "roll the chat engines", "kill two routers", "kill a router", "stop a router", "pause a router", "kill a disk VM", "kill all disk VMs",
		"crash an upstream", "reset an upstream's connections", "cut a process's connections", "silence one direction", "lose paths":
		return false
	}
	return true
})

// injectFaultsUntil injects faults from a list until end is closed, and waits until all are
// undone. pause is the mean time between two faults.
func (h *harness) injectFaultsUntil(end <-chan struct{}, pause time.Duration, faults []fault) {
	var active sync.WaitGroup
	defer active.Wait()
	for {
		f := faults[h.intN(len(faults))]
		active.Go(func() {
			h.noteFault()
			h.count(f.name)
			f.do(h)
			h.noteFault()
		})
		select {
		case <-end:
			return
		case <-time.After(pause/2 + time.Duration(h.intN(int(pause)))):
		}
	}
}

func (h *harness) randomRouter() *process { return h.routers[h.intN(routerCount)] }

func (h *harness) randomProcess() *process {
	all := h.processes()
	return all[h.intN(len(all))]
}

// withRandomUpstream calls do with a random upstream that is neither stopped nor
// draining. Only one call runs at a time.
func (h *harness) withRandomUpstream(do func(*upstream)) {
	h.upstreamsMu.Lock()
	defer h.upstreamsMu.Unlock()
	var serving []*upstream
	h.mu.Lock()
	for _, u := range h.upstreams {
		u.mu.Lock()
		if !u.ended && u.draining.IsZero() {
			serving = append(serving, u)
		}
		u.mu.Unlock()
	}
	h.mu.Unlock()
	if len(serving) > 0 {
		do(serving[h.intN(len(serving))])
	}
}

func (u *upstream) setFaulty(faulty bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faulty = faulty
}

// withRandomDiskVM calls do with a random disk VM, and then gives it three seconds to
// recover. Meanwhile no other disk VM is stopped, paused or wiped.
func (h *harness) withRandomDiskVM(do func(*process)) {
	h.diskVMsMu.Lock()
	defer h.diskVMsMu.Unlock()
	do(h.diskVMs[h.intN(diskVMCount)])
	time.Sleep(3 * time.Second)
}

// rejoinWithin is how long a wiped disk VM may take to become a voter again while
// other faults continue. It allows for several repairs of three seconds each.
const rejoinWithin = 40 * time.Second

// awaitVoter waits until the logs of the disk VMs show that a wiped one is a voter
// again. If a second disk of three were lost before that, the table would be lost.
// earlierStarts is how often the member on the wiped disk VM had started before.
func (h *harness) awaitVoter(wiped *process, earlierStarts int) {
	for until := time.Now().Add(rejoinWithin); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		started := wiped.lines("member-started")
		if len(started) > earlierStarts && h.isVoter(started[len(started)-1]["member"]) {
			return
		}
	}
	h.violation("%s lost its disk and is not a voter again after %s", wiped.settings.Name, rejoinWithin)
}

// isVoter reports whether a disk VM has logged that a member was promoted to voter.
func (h *harness) isVoter(member any) bool {
	for _, vm := range h.diskVMs {
		for _, line := range vm.lines("configuration-changed") {
			if line["member"] == member && strings.HasPrefix(fmt.Sprint(line["reason"]), "promote") {
				return true
			}
		}
	}
	return false
}

// restart ends a process with a signal, waits, and starts it again.
func (h *harness) restart(p *process, s syscall.Signal, wait time.Duration) {
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	p.stop(s)
	time.Sleep(wait)
	p.start()
}

// wipe kills a process, removes its data folder and starts it again. It waits until
// the process is a voter again.
func (h *harness) wipe(p *process) {
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	p.stop(syscall.SIGKILL)
	if err := os.RemoveAll(p.settings.DataFolder); err != nil {
		h.violation("cannot remove the data folder: %v", err)
	}
	p.settings.FirstStart = false
	earlierStarts := len(p.lines("member-started"))
	p.start()
	h.awaitVoter(p, earlierStarts)
}

// pauseForAWhile pauses a process for 0.5 to 2 seconds.
func (h *harness) pauseForAWhile(p *process) {
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	p.pause()
	time.Sleep(500*time.Millisecond + time.Duration(h.intN(int(1500*time.Millisecond))))
	p.resume()
}

// impairConnections puts relay faults on a random process's connections for the
// given time.
func (h *harness) impairConnections(f relay.Faults, d time.Duration) {
	p := h.randomProcess()
	p.proxy.Set(f)
	time.Sleep(d)
	p.proxy.Set(relay.Faults{})
}

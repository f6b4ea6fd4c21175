package soak

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"endiveplank/platform"
)

const (
	// departsFor is how long an upstream goes on serving after its notice was acknowledged.
	departsFor = leaveWithin + drainSlack + 2*time.Second
	// diskVMLostFor is for how long the disk VM is down that has acknowledged a notice.
	diskVMLostFor = time.Second
)

// loseDiskVMAfterNotice lets an upstream say to one disk VM that it leaves, once and never again, and
// kills that disk VM as soon as it has acknowledged that.
func (h *harness) loseDiskVMAfterNotice() {
	h.withRandomUpstream(func(u *upstream) {
		h.startUpstream(u.service)
		acknowledged := false
		h.withRandomDiskVM(func(p *process) {
			u.stopAnnouncing()
			if acknowledged = u.leaveAt(p); acknowledged {
				h.restart(p, syscall.SIGKILL, diskVMLostFor)
			}
		})
		if !acknowledged {
			h.count("departures without an acknowledgement")
			u.stop()
			return
		}
		h.count("disk VMs lost after they acknowledged a departure")
		time.Sleep(time.Until(u.leftAt().Add(departsFor)))
		u.stop()
	})
}

// stopAnnouncing ends the upstream's announcements.
func (u *upstream) stopAnnouncing() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent = true
}

// leaveAt says to one disk VM that the upstream leaves, and reports whether that was acknowledged.
func (u *upstream) leaveAt(p *process) bool {
	request, err := http.NewRequest(http.MethodDelete, "http://"+p.settings.Listen.Control+platform.UpstreamPath(u.id), nil)
	if err != nil {
		panic("soak: cannot build a request: " + err.Error())
	}
	response, err := u.harness.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = time.Now()
	return true
}

// leftAt returns when the upstream's notice was acknowledged.
func (u *upstream) leftAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.draining
}

// An upstream whose notice that it leaves was acknowledged must get no more requests, although the disk
// VM that acknowledged it is lost at that moment.
func TestUpstreamsLeaveWhileDiskVMsAreLost(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		h := newHarness(t, seed)
		h.done.Go(func() {
			h.awaitRouters(readyWithin)
			h.loseDiskVMAfterNotice()
		})
		h.run(max(*secondsPerSeed, 8), departureFaults)
		if t.Failed() {
			return
		}
	}
}

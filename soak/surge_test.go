package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"

	"endiveplank/platform"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
)

// In a surge each desk runs surgeSlots requests at once, which take surgeWork each, and up to
// surgeQueue wait; beyond that it rejects requests. surgeCallers ask for more than that.
const (
	surgeSlots   = deskSlots
	surgeWork    = 120 * time.Millisecond
	surgeQueue   = 16
	surgeCallers = 40
	surgeFor     = 4 * time.Second
)

// surge makes all desks slow for a while, and sends them more than they can do.
func (h *harness) surge() {
	h.surgeMu.Lock()
	defer h.surgeMu.Unlock()
	h.setDesksSlow(true)
	defer h.setDesksSlow(false)
	number := h.surgeState().begun
	until := time.Now().Add(surgeFor)
	for i := range surgeCallers {
		c := &caller{harness: h, name: fmt.Sprintf("surge-%d-%d", number, i), path: "/once/", until: until}
		h.done.Go(c.run)
	}
	time.Sleep(surgeFor)
}

func (h *harness) setDesksSlow(slow bool) {
	h.mu.Lock()
	h.surges.running = slow
	if slow {
		h.surges.begun++
	}
	upstreams := slices.Clone(h.upstreams)
	h.mu.Unlock()
	for _, u := range upstreams {
		if u.service == deskService {
			u.setSlow(slow)
		}
	}
}

// surgeState says whether a surge runs, and how many have begun.
type surgeState struct {
	running bool
	begun   int
}

func (h *harness) surgeState() surgeState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.surges
}

// setSlow gives the upstream slots and a queue, or ends that.
func (u *upstream) setSlow(slow bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slots = nil
	if slow {
		u.slots = &slots{running: make(chan struct{}, surgeSlots), waiting: make(chan struct{}, surgeSlots+surgeQueue)}
	}
}

// slots are those of an upstream in a surge. waiting holds the requests that run or wait.
type slots struct{ running, waiting chan struct{} }

// enterSlot runs a request in a slot of a slow upstream and returns true, or answers that its queue
// is full and returns false.
func (u *upstream) enterSlot(w http.ResponseWriter, request protocol.RequestID) bool {
	u.mu.Lock()
	s := u.slots
	u.mu.Unlock()
	if s == nil {
		return true
	}
	select {
	case s.waiting <- struct{}{}:
	default:
		u.harness.count("rejections of slow desks")
		platform.WriteAnswer(w.Header(), dialect.Answer{ID: request, NotRun: true}, "")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	s.running <- struct{}{}
	time.Sleep(surgeWork)
	<-s.running
	<-s.waiting
	return true
}

// noteRateLimit counts answers by which routers refuse requests while a rate limit is in force.
func (h *harness) noteRateLimit(status int, answer []byte) {
	if status == http.StatusServiceUnavailable && bytes.Contains(answer, []byte(`"reserved"`)) {
		h.count("refusals under a rate limit")
	}
}

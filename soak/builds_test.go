package soak

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"endiveplank/platform"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
)

// The rule on streams that callers take up again: of fewestTakenUp or more of one build at routers
// in touch, while leastOfBuild upstreams of that build serve, half as many go on as new ones begin.
const (
	fewestTakenUp = 12
	leastOfBuild  = 2
	inTouchAfter  = 3 * time.Second
)

const (
	// maxTries is how often a caller sends a request for one stream.
	maxTries = 3
	// One stream in leavesOneIn is left by its caller and taken up again, and one in
	// namelessOneIn without the name of the attempt that began it.
	leavesOneIn   = 4
	namelessOneIn = 6
)

// firstBuild is the version of all upstreams' software at the start.
const firstBuild = 1

// builds is the state of the chat engines' versions and what callers saw of them.
type builds struct {
	newest int
	// begun and takenUp count the streams that callers wanted to begin and to go on with at
	// routers in touch, and those that did.
	begun, takenUp served
}

// chatStream is what a caller has of one stream, over all its tries.
type chatStream struct {
	// first is the attempt that brought the first event, "" if none has.
	first protocol.RequestID
	last  int
	build string
	// named says that the caller names the attempt that began the stream.
	named bool
}

// sendStream requests a stream, and takes it up again at other routers when it breaks off or, now
// and then, when the caller leaves it.
func (c *caller) sendStream(id string) {
	s := &chatStream{named: c.harness.intN(namelessOneIn) > 0}
	for try := range maxTries {
		leaveAfter := 0
		if try == 0 && c.harness.intN(leavesOneIn) == 0 {
			leaveAfter = 1 + c.harness.intN(eventsPerStream-1)
		}
		if !c.connect() || c.tryStream(fmt.Sprintf("%s-%d", id, try), s, leaveAfter) {
			return
		}
		c.disconnect()
	}
}

// tryStream sends one request for a stream. It returns true if nothing is left to be done.
func (c *caller) tryStream(id string, s *chatStream, leaveAfter int) bool {
	call := dialect.Call{ID: protocol.RequestID(id), Key: callerKey, Remaining: callerTimeout}
	if s.last > 0 {
		call.LastEventID = strconv.Itoa(s.last)
		if s.named {
			call.Resumes = s.first
		}
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+callerHost+c.path+"x", strings.NewReader(id+strings.Repeat(".", c.harness.intN(3000))))
	if err != nil {
		panic("soak: cannot build a request: " + err.Error())
	}
	platform.WriteCall(request.Header, call)
	c.writeSoundParts(request.Header, id)
	began, stopping, before := time.Now(), c.routerStopping(), s.last
	judged := c.harness.judges(c.router, s)
	_ = c.conn.SetDeadline(began.Add(5 * time.Second))
	c.harness.noteSender(id, c.path, c.router)
	if err := request.Write(c.conn); err != nil {
		return before == 0
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		c.checkUnanswered(id, began, stopping)
		return before == 0
	}
	ended, err := c.readEvents(id, response.Body, s, leaveAfter)
	c.checkAnswer(id, response, nil, err)
	if judged {
		c.harness.countStream(before > 0, s.last > before || response.StatusCode == http.StatusOK)
	}
	if err != nil || response.Close {
		c.disconnect()
	}
	return ended || response.StatusCode != http.StatusOK
}

// readEvents reads the events of a stream until it ends, breaks off, or the caller leaves it. It
// returns true if the stream has ended.
func (c *caller) readEvents(id string, body io.Reader, s *chatStream, leaveAfter int) (ended bool, err error) {
	lines := bufio.NewReader(body)
	for leaveAfter == 0 || s.last < leaveAfter {
		number, lineErr := lines.ReadString('\n')
		data, dataErr := lines.ReadString('\n')
		blank, blankErr := lines.ReadString('\n')
		if lineErr != nil || dataErr != nil || blankErr != nil || blank != "\n" {
			if lineErr == io.EOF && number == "" {
				return s.last == eventsPerStream, nil
			}
			return false, io.ErrUnexpectedEOF
		}
		c.takeEvent(id, s, strings.TrimSpace(number), strings.TrimSpace(data))
	}
	c.harness.count("streams left by their callers")
	return false, io.ErrUnexpectedEOF
}

// takeEvent checks that an event is the stream's next one, and that the build that began the stream
// made it.
func (c *caller) takeEvent(id string, s *chatStream, number, data string) {
	want := fmt.Sprintf("data: %s %d ", id, s.last+1)
	build, follows := strings.CutPrefix(data, want)
	if number != fmt.Sprintf("id: %d", s.last+1) || !follows {
		if strings.HasPrefix(number, "{") {
			return // a refusal's body, which checkAnswer judges by its status
		}
		c.harness.violation("request %s got %q %q after event %d", id, number, data, s.last)
		return
	}
	if s.first == "" {
		s.first, s.build = protocol.RequestID(id), build
	}
	if build != s.build {
		c.harness.violation("request %s goes on at build %s with stream %s, which began at build %s", id, build, s.first, s.build)
	}
	s.last++
}

// judges reports whether a request for a stream counts for the rule on streams that are taken up:
// it comes to a router in touch, and enough upstreams of the stream's build serve.
func (h *harness) judges(router *process, s *chatStream) bool {
	from := time.Now().Add(-inTouchAfter)
	for _, p := range append([]*process{router}, h.diskVMs...) {
		if p.disturbedSince(from) {
			return false
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return s.last == 0 || s.named && h.serving(s.build) >= leastOfBuild
}

// serving returns how many chat engines of a build take requests. The harness's lock is held.
func (h *harness) serving(build string) int {
	count := 0
	for _, u := range h.upstreams {
		u.mu.Lock()
		if u.service == chatService && u.build == build && !u.ended && u.draining.IsZero() && !u.leaving && !u.busy && !u.faulty {
			count++
		}
		u.mu.Unlock()
	}
	return count
}

// countStream counts a request for a new stream or for one that is taken up.
func (h *harness) countStream(takenUp, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	counted, name := &h.builds.begun, "streams"
	if takenUp {
		counted, name = &h.builds.takenUp, "streams taken up"
	}
	counted.sent++
	h.counts[name+" judged"]++
	if ok {
		counted.served++
		h.counts[name+" judged, served"]++
	}
}

// checkTakenUp checks that streams that were taken up went on half as often as new ones began.
func (h *harness) checkTakenUp() {
	h.mu.Lock()
	begun, takenUp := h.builds.begun, h.builds.takenUp
	h.mu.Unlock()
	if takenUp.sent >= fewestTakenUp && 2*takenUp.served*begun.sent < begun.served*takenUp.sent {
		h.violation("%d of %d streams that were taken up went on, %d of %d new ones began", takenUp.served, takenUp.sent, begun.served, begun.sent)
	}
}

// buildFor returns the build of an upstream that starts: the same for all but chat engines, and
// theirs the newest.
func (h *harness) buildFor(service protocol.Service) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if service != chatService {
		return buildName(firstBuild)
	}
	return buildName(h.builds.newest)
}

func buildName(n int) string { return fmt.Sprintf("v%d", n) }

// rollChat replaces some of the chat engines by ones of a new build, one after the other. The old
// and the new ones then serve side by side.
func (h *harness) rollChat() {
	h.upstreamsMu.Lock()
	defer h.upstreamsMu.Unlock()
	h.mu.Lock()
	h.builds.newest++
	old := h.readyEngines()
	h.mu.Unlock()
	for _, u := range old[:(len(old)+1)/2] {
		h.startUpstream(chatService)
		h.startUpstream(chatService)
		time.Sleep(time.Duration(h.intN(int(600 * time.Millisecond))))
		u.drain()
	}
}

// readyEngines returns the chat engines that take requests, in the order of their starts. The
// harness's lock is held.
func (h *harness) readyEngines() []*upstream {
	var ready []*upstream
	for _, u := range h.upstreams {
		u.mu.Lock()
		if u.service == chatService && !u.ended && u.draining.IsZero() && !u.leaving {
			ready = append(ready, u)
		}
		u.mu.Unlock()
	}
	return ready
}

// killRouters kills two routers at the same moment.
func (h *harness) killRouters() {
	for _, n := range h.perm(routerCount)[:2] {
		h.routers[n].signal(syscall.SIGKILL)
	}
	for _, p := range h.routers {
		p.mu.Lock()
		killed := p.signalled
		p.mu.Unlock()
		if killed {
			h.restart(p, syscall.SIGKILL, 0)
		}
	}
}

// A stream must hold events of one version of the engines' software, over all tries of its caller,
// while versions are rolled out, routers die and paths are lost.
func TestStreamsWhileVersionsServeSideBySide(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		runSeed(t, seed, 2**secondsPerSeed, buildFaults)
		if t.Failed() {
			return
		}
	}
}

package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"endiveplank/platform"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
)

// The rule on parts of prompts that crash engines: from learnPartWithin after the fifth crash at most
// maxKnownParts requests with the part reach engines, of routers that weren't disturbed meanwhile.
const (
	learnPartWithin = 3 * time.Second
	fifthCrash      = 5
	maxKnownParts   = 3
	// crashingFor is for how long requests with the part come, and crashingPause the mean time
	// between two of them.
	crashingFor   = 7 * time.Second
	crashingPause = 300 * time.Millisecond
	// engineDownFor is how long a crashed engine is down, and spareEngines how many more engines
	// there are, so that most of those that are listed live.
	engineDownFor = 300 * time.Millisecond
	spareEngines  = 4
	// fewestSound is how many sound requests of each time make a comparison meaningful: from
	// soundAfter on they must begin at least half as often as before.
	fewestSound = 20
	soundAfter  = 4 * time.Second
)

// systemPart is the first part of all prompts, and subjectParts is how many second parts there are.
const (
	systemPart   = "5c1e07a2"
	subjectParts = 5
)

// crashingPart is a part of prompts that crashes engines.
type crashingPart struct {
	id      string
	crashes int
	// fifthAt is when the fifth engine crashed, and late counts the requests that reached engines
	// too long after it.
	fifthAt time.Time
	late    int
}

// writeSoundParts sets the parts of a prompt that crashes nothing.
func (c *caller) writeSoundParts(header http.Header, id string) {
	platform.WriteParts(header, systemPart, fmt.Sprintf("b%07d", c.harness.intN(subjectParts)), "last-"+id)
}

// crashEnginesByPart sends requests that share one part to random routers, which crashes engine after
// engine until the fleet refuses them.
func (h *harness) crashEnginesByPart() {
	h.partMu.Lock()
	defer h.partMu.Unlock()
	for range spareEngines {
		h.startUpstream(chatService)
	}
	part := &crashingPart{id: fmt.Sprintf("c%07d", h.intN(10_000_000))}
	h.mu.Lock()
	h.crashing = part
	h.mu.Unlock()
	c := &caller{harness: h, name: "crashing-" + part.id, path: chatPath}
	defer c.disconnect()
	before := h.begunStreams()
	var known served
	for began := time.Now(); time.Since(began) < crashingFor; time.Sleep(time.Duration(h.intN(2 * int(crashingPause)))) {
		c.number++
		c.disconnect()
		c.sendWithPart(fmt.Sprintf("%s-%d", c.name, c.number), part.id)
		if known.sent == 0 && time.Since(began) >= soundAfter {
			known = h.begunStreams()
		}
	}
	h.checkSound(before, known, h.begunStreams())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashing = nil
	if part.late > maxKnownParts {
		h.violations = append(h.violations, fmt.Sprintf("%d requests with part %s reached engines %s and more after it had crashed five, %d in all", part.late, part.id, learnPartWithin, part.crashes))
	}
	if part.crashes >= 3 {
		h.counts["parts that crashed three engines or more"]++
	}
	h.counts["engines crashed by a part"] += part.crashes
}

// begunStreams returns the counts of sound requests for new streams.
func (h *harness) begunStreams() served {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.builds.begun
}

// checkSound checks that sound requests with the same caller and first part begin half as often as
// before the others came.
func (h *harness) checkSound(before, known, after served) {
	sent, ok := after.sent-known.sent, after.served-known.served
	if before.sent < fewestSound || sent < fewestSound {
		h.count("sound requests beside crashing ones not judged")
		return
	}
	h.count("sound requests beside crashing ones judged")
	if 2*ok*before.sent < before.served*sent {
		h.violation("%d of %d sound requests began while others crashed engines, %d of %d before", ok, sent, before.served, before.sent)
	}
}

// sendWithPart sends a request with the part. Its answer doesn't matter.
func (c *caller) sendWithPart(id, part string) {
	if !c.connect() {
		return
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+callerHost+c.path+"x", strings.NewReader(id))
	if err != nil {
		panic("soak: cannot build a request: " + err.Error())
	}
	platform.WriteCall(request.Header, dialect.Call{ID: protocol.RequestID(id), Key: callerKey, Remaining: callerTimeout})
	platform.WriteParts(request.Header, systemPart, part, "last-"+id)
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	c.harness.noteSender(id, c.path, c.router)
	if request.Write(c.conn) != nil {
		return
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	c.harness.count(fmt.Sprint("crashing prompts answered ", response.StatusCode))
}

// crashes reports whether a request has the part that crashes engines, and counts it.
func (u *upstream) crashes(r *http.Request, id string) bool {
	from, known := u.harness.senderOf(id)
	u.harness.mu.Lock()
	defer u.harness.mu.Unlock()
	part := u.harness.crashing
	if part == nil || !platform.HasPart(r.Header, part.id) {
		return false
	}
	if !part.fifthAt.IsZero() && known && from.at.Sub(part.fifthAt) > learnPartWithin && !from.router.disturbedSince(from.at.Add(-learnPartWithin)) {
		part.late++
	}
	part.crashes++
	if part.crashes == fifthCrash {
		part.fifthAt = time.Now()
	}
	return true
}

// crash ends the engine as it begins to answer, and starts another one in its place.
func (u *upstream) crash(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(10 * time.Millisecond)
	go func() {
		u.stop()
		time.Sleep(engineDownFor)
		u.harness.startUpstream(u.service)
	}()
	time.Sleep(engineDownFor)
	panic(http.ErrAbortHandler)
}

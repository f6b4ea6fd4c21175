package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"endiveplank/platform"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
)

const (
	// badAnswersFor is for how long an upstream answers every badOneIn-th request badly.
	badAnswersFor = 2 * time.Second
	badOneIn      = 3
	// badBlockBytes is how much of an answer without end is written at once.
	badBlockBytes = 64 << 10
	// maxResidentKB is the memory of the smallest VM in use.
	maxResidentKB = 284 << 10
)

// badAnswer is what an upstream that runs a request sends in place of its answer.
type badAnswer struct {
	name string
	// service is the only one whose upstreams send it, "" for any.
	service protocol.Service
	// head follows the answer's headers, and more follows head without end; if it is empty, nothing
	// follows until the caller closes. bare sends no headers.
	bare       bool
	head, more string
}

const (
	chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"
	streamHead  = "Content-Type: text/event-stream\r\n" + chunkedHead
	// endlessChunk begins a chunk of many gigabytes.
	endlessChunk = "7fffffffffff\r\n"
)

// badAnswers stop midway, which takes until the caller's timeout, never end, or have a head that isn't
// HTTP. All bodies are framed:
// the end of a connection, which other faults bring about, must not complete one.
var badAnswers = []badAnswer{
	{name: "nothing", bare: true},
	{name: "half a head", bare: true, head: "HTTP/1.1 200 OK\r\nDate: "},
	{name: "interim head alone", bare: true, head: "HTTP/1.1 102 Processing\r\n\r\n"},
	{name: "head alone", head: "Content-Length: 100\r\n\r\n"},
	{name: "half a body", head: "Content-Length: 100\r\n\r\nhalf"},
	{name: "half a chunk", head: chunkedHead + "64\r\nhalf"},
	{name: "stream without an event", service: chatService, head: streamHead},
	{name: "half an event", service: chatService, head: streamHead + "5\r\nid: 1\r\n"},
	{name: "status line without end", bare: true, head: "HTTP/1.1 200 O", more: "K"},
	{name: "header line without end", bare: true, head: "HTTP/1.1 200 OK\r\nDate: ", more: "x"},
	{name: "fields without end", more: "A: b\r\n"},
	{name: "interim heads without end", bare: true, more: "HTTP/1.1 102 Processing\r\n\r\n"},
	{name: "event without end", service: chatService, head: streamHead + endlessChunk + "data: ", more: "x"},
	{name: "lines without end", service: chatService, head: streamHead + endlessChunk, more: ": no event\n"},
	{name: "chunk extension without end", head: chunkedHead + "5;", more: "x"},
	{name: "trailers without end", head: chunkedHead + "0\r\n", more: "A: b\r\n"},
	{name: "body without end", service: deskService, head: chunkedHead + endlessChunk, more: "x"},
	{name: "status 000", bare: true, head: "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n"},
	{name: "blank in a name", head: "Odd Name: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "blank behind the length's name", head: "Content-Length : 4\r\n\r\nfuel"},
	{name: "blank behind the encoding's name", head: "Transfer-Encoding : chunked\r\nContent-Length: 14\r\n\r\n4\r\nfuel\r\n0\r\n\r\n"},
}

// answerBadly makes the upstream answer some requests badly for a while.
func (u *upstream) answerBadly() {
	u.setBad(true)
	time.Sleep(badAnswersFor)
	u.setBad(false)
}

func (u *upstream) setBad(bad bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bad = bad
}

// drawBadAnswer returns how to answer a request badly. False means that it gets its answer.
func (u *upstream) drawBadAnswer() (badAnswer, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.bad || u.random.IntN(badOneIn) != 0 {
		return badAnswer{}, false
	}
	for {
		bad := badAnswers[u.random.IntN(len(badAnswers))]
		if bad.service == "" || bad.service == u.service {
			return bad, true
		}
	}
}

// sendBadly sends a bad answer to a request that has begun to run.
func (u *upstream) sendBadly(w http.ResponseWriter, id string, bad badAnswer) {
	u.harness.count("bad answers: " + bad.name)
	if bad.more != "" {
		u.harness.noteEndless(id)
	}
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	if !bad.bare {
		header := http.Header{}
		platform.WriteAnswer(header, dialect.Answer{ID: protocol.RequestID(id)}, string(u.id)+"."+id)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n")
		_ = header.Write(connection)
	}
	_, err = io.WriteString(connection, bad.head)
	if bad.more == "" {
		_, _ = io.Copy(io.Discard, connection)
		return
	}
	block := strings.Repeat(bad.more, badBlockBytes/len(bad.more))
	for err == nil {
		_, err = io.WriteString(connection, block)
	}
}

// noteEndless records that an upstream answers a request with bytes without end. Its caller may get
// some of them, as a router can't know that they are wrong, and never a complete answer.
func (h *harness) noteEndless(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endless[id] = true
}

// answeredEndlessly reports whether an upstream has answered a request with bytes without end.
func (h *harness) answeredEndlessly(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endless[id]
}

// checkMemory checks that no running process has held more memory than the smallest VM has. With the
// race detector programs need several times as much.
func (h *harness) checkMemory() {
	if *withRace {
		return
	}
	for _, p := range h.processes() {
		if kb, known := p.peakResidentKB(); known && kb > maxResidentKB {
			h.violation("%s has held %d MB of memory", p.settings.Name, kb>>10)
		}
	}
}

// peakResidentKB returns the most memory that the process has held since its start. False means that
// it isn't running.
func (p *process) peakResidentKB() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.command == nil {
		return 0, false
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, false
	}
	_, peak, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		return 0, false
	}
	kb, err := strconv.Atoi(strings.Fields(peak)[0])
	return kb, err == nil
}

// Answers that stop midway or never end must not make a router promise that a request hasn't run, mix
// answers, or fill its memory, while routers are killed and lose their paths.
func TestAnswersThatStopOrNeverEnd(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		h := newHarness(t, seed)
		h.done.Go(func() {
			h.awaitRouters(readyWithin)
			h.withRandomUpstream((*upstream).answerBadly)
		})
		h.run(max(*secondsPerSeed, 8), badAnswerFaults)
		if t.Failed() {
			return
		}
	}
}

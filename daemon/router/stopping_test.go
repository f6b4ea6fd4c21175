package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateCaller is a caller whose connection was open before its router's planned stop.
type lateCaller struct {
	t    *testing.T
	conn net.Conn
}

func (r *rig) connect() lateCaller {
	conn, err := net.Dial("tcp", r.settings.Listen.Callers)
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() })
	return lateCaller{r.t, conn}
}

// send writes bytes.
func (c lateCaller) send(text string) {
	_, err := io.WriteString(c.conn, text)
	assert.Check(c.t, err)
}

// status reads the answer and returns its status, 0 if the connection ends without one.
func (c lateCaller) status() int {
	assert.NilError(c.t, c.conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	answer, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return 0
	}
	if _, err := io.ReadAll(answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

// firstLine begins a request, and restOfHead returns what follows it for a caller who waits for some time.
const firstLine = "POST /x HTTP/1.1\r\n"

func restOfHead(wait time.Duration, bodyBytes int) string {
	return fmt.Sprintf("Host: h\r\nT-Id: 7\r\nT-Left: %d\r\nContent-Length: %d\r\n\r\n", wait.Milliseconds(), bodyBytes)
}

// The times of a stop in these tests.
const (
	testUnready = 500 * time.Millisecond
	testGrace   = 4 * time.Second
	// longWait and shortWait are how long callers wait whose answer may come after the end of the
	// grace period, and whose answer can't.
	longWait  = 5 * time.Second
	shortWait = 3 * time.Second
)

// Guards: the rest of a request comes late in the grace period of a planned stop, and it is sent on though it can't be answered before the end, and is cut
// without an answer though it may run only once.
func TestLateRequestInAPlannedStopIsRefusedAndNotSentOn(t *testing.T) {
	r, diskAddress := newStoppingRig(t)
	release, received := make(chan struct{}), make(chan struct{}, 10)
	startDiskVM(t, diskAddress, startUpstream(t, release, received))
	r.eventually("the router is ready", r.ready)
	slow, long, short := r.connect(), r.connect(), r.connect()
	slow.send(firstLine)
	long.send(firstLine + restOfHead(longWait, len("halfhalf")) + "half")
	short.send(firstLine + restOfHead(shortWait, len("halfhalf")) + "half")
	began := time.Now()
	stopped := make(chan bool, 1)
	go func() { stopped <- r.router.Stop() }()
	time.Sleep(testUnready + 500*time.Millisecond)

	sent := time.Now()
	slow.send(restOfHead(longWait, 0))
	long.send("half")
	assert.Check(t, long.status() == http.StatusServiceUnavailable)
	assert.Check(t, slow.status() == 0, "its connection ends before its head is read")
	assert.Check(t, time.Since(sent) < time.Second, "refused after %s", time.Since(sent))
	assert.Check(t, len(received) == 0, "an upstream got a request that can't be answered any more")

	close(release)
	short.send("half")
	assert.Check(t, short.status() == http.StatusOK, "a request that ends before the stop does is served")
	assert.Check(t, <-stopped)
	assert.Check(t, time.Since(began) < testGrace)
}

// Guards: requests that are still in flight at the end of the grace period end with a closed connection
// and not with an answer; or the process tells that it has cut nothing.
func TestRequestsInFlightAtTheEndOfAPlannedStopAreAnswered(t *testing.T) {
	const largeAnswer = 1 << 20
	for name, tc := range map[string]struct {
		first  int
		status int
	}{"no byte": {0, http.StatusBadGateway}, "a part of a large answer": {largeAnswer, 0}} {
		t.Run(name, func(t *testing.T) {
			r, diskAddress := newStoppingRig(t)
			received := make(chan struct{}, 1)
			startDiskVM(t, diskAddress, startStalling(t, tc.first, received))
			r.eventually("the router is ready", r.ready)
			caller := r.connect()
			caller.send(firstLine + restOfHead(2*testGrace, 0))
			<-received
			began := time.Now()
			stopped := make(chan bool, 1)
			go func() { stopped <- r.router.Stop() }()
			assert.Check(t, caller.status() == tc.status)
			assert.Check(t, time.Since(began) < testGrace)
			assert.Check(t, time.Since(began) > testGrace/2, "it is cut before the end")
			assert.Check(t, !<-stopped, "a request was cut")
		})
	}
}

// startStalling starts an upstream that sends the first bytes of an answer, and no more until the router
// closes.
func startStalling(t *testing.T, first int, received chan<- struct{}) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("T-Id", "7")
		w.Header().Set("T-Signed", "yes")
		if first > 0 {
			_, _ = w.Write(make([]byte, first))
			_ = http.NewResponseController(w).Flush()
		}
		received <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newStoppingRig is newRig with the times of these tests.
func newStoppingRig(t *testing.T) (*rig, string) {
	peers := freePort(t)
	r := startRig(t, "127.0.0.1", peers, func(options *Options) {
		options.Settings.Stop.UnreadyMS = float64(testUnready.Milliseconds())
		options.Settings.Stop.GraceMS = float64(testGrace.Milliseconds())
	})
	return r, fmt.Sprintf("127.0.0.2:%d", peers)
}

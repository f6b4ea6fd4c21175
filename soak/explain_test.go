package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/platform"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
)

// explained returns what the operators' tool makes of a request from the logs of
// all processes: also that no line is about it, as long as none is written.
func (w *world) explained(id string) string {
	w.t.Helper()
	folder := w.t.TempDir()
	arguments := []string{"run", "endiveplank/cmd/endiveplank", "explain", "logs", id}
	for _, p := range w.processes() {
		file := filepath.Join(folder, p.settings.Name+".log")
		p.mu.Lock()
		text := append([]byte(nil), p.log.Bytes()...)
		p.mu.Unlock()
		assert.NilError(w.t, os.WriteFile(file, text, 0o600))
		arguments = append(arguments, file)
	}
	output, err := exec.Command("go", arguments...).CombinedOutput()
	if err != nil {
		return fmt.Sprintf("%s\n%s", err, output)
	}
	return string(output)
}

// ask sends one request to a router and returns the status, 0 for no answer.
func (w *world) ask(p *process, id, path, key string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.settings.Listen.Callers+path, strings.NewReader(id))
	assert.NilError(w.t, err)
	request.Host = callersHost
	platform.WriteCall(request.Header, dialect.Call{ID: protocol.RequestID(id), Key: key, Remaining: callersPatience})
	response, err := w.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// eventually waits for what the logs have to say, which is written a moment after
// the answer.
func (w *world) eventually(id string, want ...string) {
	w.t.Helper()
	var story string
	for range 20 {
		story = w.explained(id)
		missing := false
		for _, text := range want {
			missing = missing || !strings.Contains(story, text)
		}
		if !missing {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Errorf("the story of %s lacks one of %q:\n%s", id, want, story)
}

func TestFailedRequestsAreExplainedFromTheLogsAlone(t *testing.T) {
	// A caller complains and gives a request's id. Whoever is on call has the
	// processes' output and the tool, no debugger and nobody to ask: each kind of
	// failed request must lead to its cause.
	w := newWorld(t, 1)
	defer w.end()
	w.settledTable()
	router := w.fronts[0]

	// Refused at the door: a key that no customer holds.
	assert.Equal(t, w.ask(router, "door-1", "/again/x", "no-such-key"), http.StatusUnauthorized)
	w.eventually("door-1", "* ", "reason=unknown-key", "status=401", "table=1", "table-in-force")

	// Sent and lost with its upstream, which broke off in mid-run.
	assert.Equal(t, w.ask(router, "lost-1", "/once/"+pathBreaks, callersKey), http.StatusBadGateway)
	w.eventually("lost-1", " sent ", "reason=outcome-unknown", "upstream=u", `"result":"failed"`, `"cause":`)

	// Late: the first upstream took it and fell silent, the second answered.
	assert.Equal(t, w.ask(router, "late-1", "/again/"+pathHangsOnce, callersKey), http.StatusOK)
	w.eventually("late-1", "attempt=1", "attempt=2", `"cause":"silent for too long`, `"result":"served"`)

	// Its router was killed while it ran: no line tells its end.
	go w.ask(router, "gone-1", "/once/"+pathHangsOnce, callersKey)
	for w.timesRun("gone-1") == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	w.restart(router, syscall.SIGKILL, 0)
	w.eventually("gone-1", " sent ", "no end was logged; "+router.settings.Name+" started again at ")

	// No upstream is left: each one's leaving stands beside the refusal.
	w.leaveAll(deskService)
	other := w.fronts[1]
	assert.Equal(t, w.ask(other, "none-1", "/again/x", callersKey), http.StatusServiceUnavailable)
	w.eventually("none-1", "reason=no-upstream", "state=gone")
}

// settledTable puts the first table and waits until all routers are ready.
func (w *world) settledTable() {
	deadline := time.Now().Add(settleWithin)
	for !w.tellControl(http.MethodPut, platform.TablePath, tableOf(1)) {
		assert.Assert(w.t, time.Now().Before(deadline), "no disk VM takes a table")
		time.Sleep(50 * time.Millisecond)
	}
	w.settled(settleWithin)
	for _, p := range w.fronts {
		for n := 0; w.ask(p, fmt.Sprintf("first-%d", n), "/again/x", callersKey) != http.StatusOK; n++ {
			assert.Assert(w.t, time.Now().Before(deadline), "%s serves nobody", p.settings.Name)
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// leaveAll lets all upstreams of a service leave as planned.
func (w *world) leaveAll(service protocol.Service) {
	for _, u := range w.upstreams {
		if u.service != service {
			continue
		}
		u.end()
		assert.Assert(w.t, w.tellControl(http.MethodDelete, platform.UpstreamPath(u.id), nil))
	}
	time.Sleep(leaveWithin)
}

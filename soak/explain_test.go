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

// explainLogs returns the output of the operators' tool for a request, given the
// logs of all processes. While the logs have no line about the request, that is the
// tool's message that there is none.
func (h *harness) explainLogs(id string) string {
	h.t.Helper()
	folder := h.t.TempDir()
	arguments := []string{"run", "endiveplank/cmd/endiveplank", "explain", "logs", id}
	for _, p := range h.processes() {
		file := filepath.Join(folder, p.settings.Name+".log")
		p.mu.Lock()
		text := append([]byte(nil), p.log.Bytes()...)
		p.mu.Unlock()
		assert.NilError(h.t, os.WriteFile(file, text, 0o600))
		arguments = append(arguments, file)
	}
	output, err := exec.Command("go", arguments...).CombinedOutput()
	if err != nil {
		return fmt.Sprintf("%s\n%s", err, output)
	}
	return string(output)
}

// sendRequest sends one request to a router and returns the status of the answer, or
// 0 if there was no answer.
func (h *harness) sendRequest(p *process, id, path, key string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.settings.Listen.Callers+path, strings.NewReader(id))
	assert.NilError(h.t, err)
	request.Host = callerHost
	platform.WriteCall(request.Header, dialect.Call{ID: protocol.RequestID(id), Key: key, Remaining: callerTimeout})
	response, err := h.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// awaitExplanation waits until the tool's output for a request contains all texts in
// want. The processes write some log lines shortly after the answer.
func (h *harness) awaitExplanation(id string, want ...string) {
	h.t.Helper()
	var timeline string
	for range 20 {
		timeline = h.explainLogs(id)
		missing := false
		for _, text := range want {
			missing = missing || !strings.Contains(timeline, text)
		}
		if !missing {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	h.t.Errorf("the timeline of request %s lacks one of %q:\n%s", id, want, timeline)
}

// A caller reports a failed request by its ID. An operator then has only the logs
// of the processes and the tool. For each kind of failed request, the tool's output
// must name the cause.
func TestFailedRequestsAreExplainedFromTheLogsAlone(t *testing.T) {
	h := newHarness(t, 1)
	defer h.stop()
	h.putFirstTable()
	router := h.routers[0]

	// The router refuses a request whose key belongs to no customer.
	assert.Equal(t, h.sendRequest(router, "door-1", "/again/x", "no-such-key"), http.StatusUnauthorized)
	h.awaitExplanation("door-1", "* ", "reason=unknown-key", "status=401", "table=1", "table-in-force")

	// The upstream closes the connection while it runs the request.
	assert.Equal(t, h.sendRequest(router, "lost-1", "/once/"+pathBreaks, callerKey), http.StatusBadGateway)
	h.awaitExplanation("lost-1", " sent ", "reason=outcome-unknown", "upstream=u", `"result":"failed"`, `"cause":`)

	// The first upstream accepts the request and goes silent, the second one
	// answers.
	assert.Equal(t, h.sendRequest(router, "late-1", "/again/"+pathHangsOnce, callerKey), http.StatusOK)
	h.awaitExplanation("late-1", "attempt=1", "attempt=2", `"cause":"silent for too long`, `"result":"served"`)

	// The router is killed while the request is in flight, so no line logs its end.
	go h.sendRequest(router, "gone-1", "/once/"+pathHangsOnce, callerKey)
	for h.timesRun("gone-1") == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	h.restart(router, syscall.SIGKILL, 0)
	h.awaitExplanation("gone-1", " sent ", "no end was logged; "+router.settings.Name+" started again at ")

	// No upstream is left. The output must show beside the refusal that the
	// upstreams have left.
	h.withdrawUpstreams(deskService)
	other := h.routers[1]
	assert.Equal(t, h.sendRequest(other, "none-1", "/again/x", callerKey), http.StatusServiceUnavailable)
	h.awaitExplanation("none-1", "reason=no-upstream", "state=gone")
}

// putFirstTable puts the first table and waits until all routers are ready and serve
// requests.
func (h *harness) putFirstTable() {
	deadline := time.Now().Add(readyWithin)
	for !h.callDiskVM(http.MethodPut, platform.TablePath, tableOf(1)) {
		assert.Assert(h.t, time.Now().Before(deadline), "no disk VM accepts a table")
		time.Sleep(50 * time.Millisecond)
	}
	h.awaitRouters(readyWithin)
	for _, p := range h.routers {
		for n := 0; h.sendRequest(p, fmt.Sprintf("first-%d", n), "/again/x", callerKey) != http.StatusOK; n++ {
			assert.Assert(h.t, time.Now().Before(deadline), "%s serves no request", p.settings.Name)
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// withdrawUpstreams stops all upstreams of a service and removes them from the
// roster.
func (h *harness) withdrawUpstreams(service protocol.Service) {
	for _, u := range h.upstreams {
		if u.service != service {
			continue
		}
		u.stop()
		assert.Assert(h.t, h.callDiskVM(http.MethodDelete, platform.UpstreamPath(u.id), nil))
	}
	time.Sleep(leaveWithin)
}

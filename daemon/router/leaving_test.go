package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUpstreamThatSaysItLeavesGetsNoFurtherRequest(t *testing.T) {
	// Guards: an upstream says in its answers that it leaves, no disk VM has told the router so
	// yet, and it gets requests until it is gone.
	r, diskAddress := newRig(t, 0)
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		w.Header().Set("T-Id", "7")
		w.Header().Set("T-Signed", "yes")
		w.Header().Set("T-Leaving", "yes")
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(server.Close)
	startDiskVM(t, diskAddress, strings.TrimPrefix(server.URL, "http://"))
	r.eventually("the router is ready", r.ready)
	status, body := r.call()
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "done")

	const callers = 20
	before := received.Load()
	var calling sync.WaitGroup
	for range callers {
		calling.Go(func() {
			for range 10 {
				status, _ := r.call()
				assert.Check(t, status == http.StatusServiceUnavailable, "%d", status)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	calling.Wait()
	assert.Equal(t, received.Load(), before)
	assert.Assert(t, r.router.Stop())
}

package router

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards: a router that most new connections of a data centre come to reads requests that it can't
// serve; or it breaks connections on which callers have been served.
func TestOverloadedRouterTurnsNewConnectionsAwayUnreadAndServesTheOthers(t *testing.T) {
	r, diskAddress := newRig(t, 0)
	release, received := make(chan struct{}), make(chan struct{}, 1000)
	close(release)
	startDiskVM(t, diskAddress, startUpstream(t, release, received))
	r.eventually("the router is ready", r.ready)
	kept, err := net.Dial("tcp", r.settings.Listen.Callers)
	assert.NilError(t, err)
	defer func() { _ = kept.Close() }()
	answers := bufio.NewReader(kept)
	assert.Equal(t, sendOver(t, kept, answers).StatusCode, http.StatusOK)

	r.router.mu.Lock()
	for range 20 {
		r.router.callers.shedder.Observe(time.Second)
	}
	r.router.mu.Unlock()
	before := r.router.handler.Active()
	const calls = 100
	served, failed := 0, 0
	client := &http.Transport{DisableKeepAlives: true}
	for range calls {
		request, err := http.NewRequest(http.MethodPost, "http://"+r.settings.Listen.Callers+"/x", nil)
		assert.NilError(t, err)
		request.Host = "h"
		request.Header.Set("T-Id", "7")
		response, err := client.RoundTrip(request)
		switch {
		case err != nil:
			failed++
		default:
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.NilError(t, response.Body.Close())
			served++
		}
		assert.Equal(t, sendOver(t, kept, answers).StatusCode, http.StatusOK)
	}
	assert.Assert(t, failed >= calls/2, "%d connections turned away", failed)
	assert.Equal(t, before, r.router.handler.Active())
	assert.Equal(t, r.router.callers.turnedAway.Load(), int64(failed))
	assert.Equal(t, len(received), 1+calls+served, "what was read was served")
	r.eventually("all connections are taken again", func() bool {
		r.router.mu.Lock()
		defer r.router.mu.Unlock()
		return r.router.callers.shedder.TurnsAway() == 0
	})
	assert.Assert(t, r.ready(), "an overloaded router stays ready, as the next one would get its callers")
	assert.Assert(t, r.router.Stop())
}

// Guards: callers' open connections take all file descriptors, and no upstream can be reached.
func TestCallersConnectionsAreBounded(t *testing.T) {
	r, diskAddress := newRig(t, 0)
	release, received := make(chan struct{}), make(chan struct{}, 1000)
	close(release)
	startDiskVM(t, diskAddress, startUpstream(t, release, received))
	r.eventually("the router is ready", r.ready)
	r.router.callers.listener.Limit(5)
	var open []net.Conn
	for range 20 {
		connection, err := net.Dial("tcp", r.settings.Listen.Callers)
		if err == nil {
			open = append(open, connection)
		}
	}
	r.eventually("connections are closed or turned away", func() bool {
		counts := r.router.limits.Counts()
		return counts.Closed+counts.TurnedAway >= 15
	})
	assert.Assert(t, r.router.callers.listener.Open() <= 5)
	for _, connection := range open {
		_ = connection.Close()
	}
	r.eventually("the connections have ended", func() bool { return r.router.callers.listener.Open() == 0 })
	status, _ := r.call()
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, r.router.Stop())
}

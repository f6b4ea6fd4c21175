package host_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/protocol/upstreamapi"
	"endiveplank/standin/host"
)

// The first router is down and the second replies with 503. The announcement must
// reach the third one without waiting for the next interval, and the leave message
// must go to the third one directly.
func TestAnnouncementFallsBackToTheNextRouter(t *testing.T) {
	var paths []string
	router := func(status int) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var announcement upstreamapi.Announcement
			assert.Check(t, json.NewDecoder(r.Body).Decode(&announcement))
			paths = append(paths, r.URL.Path+" "+string(announcement.ID))
			w.WriteHeader(status)
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	down := httptest.NewServer(nil)
	down.Close()
	targets := []string{
		strings.TrimPrefix(down.URL, "http://"),
		router(http.StatusServiceUnavailable),
		router(http.StatusOK),
	}
	announcer := host.Announcer{Routers: targets}
	announcer.Announce(context.Background(), upstreamapi.Announcement{ID: "e1"})
	announcer.Leave(context.Background(), upstreamapi.Leave{ID: "e1"})
	assert.DeepEqual(t, paths, []string{
		upstreamapi.AnnouncePath + " e1",
		upstreamapi.AnnouncePath + " e1",
		upstreamapi.LeavePath + " e1",
	})
}

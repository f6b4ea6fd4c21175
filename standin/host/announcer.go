package host

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/protocol/upstreamapi"
)

// announceTimeout limits one attempt to send a message. It is shorter than
// AnnounceInterval, so a silent router delays the attempt at the next router by
// less than one interval.
const announceTimeout = 400 * time.Millisecond

// Announcer sends an upstream's announcements to one of the routers, at regular
// intervals. If that router doesn't accept a message, the Announcer tries the next
// one in the list at once and stays with the one that accepts. It is not safe for
// concurrent use.
type Announcer struct {
	// Routers are the addresses at which routers take announcements, host:port.
	Routers []string
	// BuildAnnouncement returns the next announcement. If ok is false, none is
	// sent in this interval.
	BuildAnnouncement func() (announcement upstreamapi.Announcement, ok bool)

	current int // index of the router to try first, modulo their number
	client  http.Client
}

// Run announces at once and then every AnnounceInterval until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	if len(a.Routers) == 0 {
		return
	}
	ticker := time.NewTicker(upstreamapi.AnnounceInterval)
	defer ticker.Stop()
	for {
		if announcement, ok := a.BuildAnnouncement(); ok {
			a.Announce(ctx, announcement)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Announce sends one announcement immediately.
func (a *Announcer) Announce(ctx context.Context, announcement upstreamapi.Announcement) {
	a.deliver(ctx, upstreamapi.AnnouncePath, announcement)
}

// Leave tells one router that the upstream has left.
func (a *Announcer) Leave(ctx context.Context, leave upstreamapi.Leave) {
	a.deliver(ctx, upstreamapi.LeavePath, leave)
}

// DrainAndLeave withdraws an upstream gracefully: it sends an announcement, which
// the caller has marked as leaving, calls drain to finish the requests in flight,
// and sends the leave message. Without an announcement it only calls drain.
func (a *Announcer) DrainAndLeave(ctx context.Context, drain func(context.Context)) {
	announcement, ok := a.BuildAnnouncement()
	if ok {
		a.Announce(ctx, announcement)
	}
	drain(ctx)
	if ok {
		a.Leave(ctx, upstreamapi.Leave{ID: announcement.ID, Incarnation: announcement.Incarnation})
	}
}

// deliver posts a message to the first router that accepts it.
func (a *Announcer) deliver(ctx context.Context, path string, message any) {
	for range a.Routers {
		router := a.Routers[a.current%len(a.Routers)]
		if err := a.post(ctx, "http://"+router+path, message); err == nil {
			return
		}
		a.current++
	}
}

// post sends one message. It reads the reply to its end, so that the connection
// is reused.
func (a *Announcer) post(ctx context.Context, url string, message any) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	reply, err := a.client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "post %s", url)
	}
	defer reply.Body.Close()
	_, _ = io.Copy(io.Discard, reply.Body)
	if reply.StatusCode/100 != 2 {
		return eris.Errorf("post %s: status %d", url, reply.StatusCode)
	}
	return nil
}

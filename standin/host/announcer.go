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

// announceTimeout bounds one announcement, so that a silent router costs less
// than one interval before the next router is tried.
const announceTimeout = 400 * time.Millisecond

// Announcer repeats an upstream's announcement to one of the routers. When a
// router does not answer, the next one in the list is tried in the same round.
// It is not safe for concurrent use.
type Announcer struct {
	// Targets are the routers' upstream addresses, host:port.
	Targets []string
	// Build makes the next announcement. ok false skips the round.
	Build func() (announcement upstreamapi.Announcement, ok bool)

	current int
	client  http.Client
}

// Run announces at once and then every AnnounceInterval until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	if len(a.Targets) == 0 {
		return
	}
	ticker := time.NewTicker(upstreamapi.AnnounceInterval)
	defer ticker.Stop()
	for {
		if announcement, ok := a.Build(); ok {
			a.Announce(ctx, announcement)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Announce sends one announcement out of turn.
func (a *Announcer) Announce(ctx context.Context, announcement upstreamapi.Announcement) {
	a.deliver(ctx, upstreamapi.AnnouncePath, announcement)
}

// Leave says goodbye to one router.
func (a *Announcer) Leave(ctx context.Context, leave upstreamapi.Leave) {
	a.deliver(ctx, upstreamapi.LeavePath, leave)
}

// Depart ends an upstream gracefully: it announces that it is leaving, if there is
// an announcement to make, lets drain end the work in hand, and says goodbye.
func (a *Announcer) Depart(ctx context.Context, drain func(context.Context)) {
	announcement, known := a.Build()
	if known {
		a.Announce(ctx, announcement)
	}
	drain(ctx)
	if known {
		a.Leave(ctx, upstreamapi.Leave{ID: announcement.ID, Incarnation: announcement.Incarnation})
	}
}

// deliver posts a message to the first router that takes it.
func (a *Announcer) deliver(ctx context.Context, path string, message any) {
	for range a.Targets {
		target := a.Targets[a.current%len(a.Targets)]
		if err := a.post(ctx, "http://"+target+path, message); err == nil {
			return
		}
		a.current++
	}
}

// post sends one message and reads the reply to its end, so that the
// connection is used again.
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

package daemon

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"endiveplank/coordination/table"
	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/settings"
	"endiveplank/standin/engine"
	"endiveplank/standin/relay"
)

// newTestFleetBehindRelays starts three voters with a relay in front of each one's peer listener.
// The others know a daemon by the address of its relay.
func newTestFleetBehindRelays(t *testing.T) (*testFleet, []*relay.Relay) {
	t.Helper()
	f := &testFleet{t: t}
	var relays []*relay.Relay
	var listening []string
	var peers []settings.Peer
	for i := range 3 {
		s := f.settingsOf(i)
		listening = append(listening, s.Listen.Peers)
		peerRelay, err := relay.Start("127.0.0.1:0", s.Listen.Peers)
		assert.NilError(t, err)
		t.Cleanup(peerRelay.Close)
		relays = append(relays, peerRelay)
		s.Listen.Peers = peerRelay.Address()
		peers = append(peers, settings.Peer{RouterID: s.RouterID, Address: s.Listen.Peers})
		f.configs = append(f.configs, s)
	}
	t.Cleanup(f.stop)
	for i := range f.configs {
		f.configs[i].Peers = peers
		d, err := New(f.configs[i], zerolog.Nop())
		assert.NilError(t, err)
		d.settings.Listen.Peers = listening[i]
		assert.NilError(t, d.Start())
		f.daemons = append(f.daemons, d)
	}
	f.awaitReady()
	return f, relays
}

// A firewall between the data centres restarts and loses the state of all connections. It closes
// none of them and reports no error; new connections work. Answers in flight must still reach
// their callers complete, an order must run once, and an operator's change must take effect.
func TestFleetSurvivesSilentConnections(t *testing.T) {
	t.Parallel()
	f, relays := newTestFleetBehindRelays(t)
	f.setUp()
	// A token takes 20 ms, so that an answer is in flight for a second.
	f.engine("e1", func(s *engine.Settings) { s.Model.IterationBase = 20 * time.Millisecond })
	f.desk()
	body := strings.Replace(chatBody, `"max_tokens":6`, `"max_tokens":50`, 1)
	_, _, want := f.call(0, upstreamapi.CompletionsPath, body)
	bodies := make([]string, len(f.daemons))
	var calls sync.WaitGroup
	for i := range f.daemons {
		calls.Go(func() { _, _, bodies[i] = f.call(i, upstreamapi.CompletionsPath, body) })
	}
	time.Sleep(300 * time.Millisecond)
	for _, peerRelay := range relays {
		peerRelay.Forget(relay.Both)
	}
	calls.Wait()
	for i, got := range bodies {
		assert.Assert(t, strings.HasSuffix(got, "data: [DONE]\n\n"), "router %d: %s", i, got)
		assert.Equal(t, contents(got), contents(want))
	}
	f.awaitReady()
	for i := range f.daemons {
		f.await("the order is answered", func() bool {
			// A router whose lease expired meanwhile answers that the order was not run, and the
			// caller sends it again.
			status, headers, answer := f.call(i, "/svc/orders/orders", `{"gallons":900}`, protocol.IdempotencyKeyHeader, "o-1")
			assert.Assert(t, status == 200 || headers.Get(protocol.RunOutcomeHeader) == "not-run", answer)
			return status == 200
		})
	}
	edit := table.Edit{Sheet: table.Routes, Key: "/svc/x", Cells: []table.Cell{{Column: "service", Value: "x"}, {Column: "idempotent", Value: "yes"}}}
	assert.Equal(t, f.change(f.daemons[1], "after", edit).Outcome, table.Committed)
}

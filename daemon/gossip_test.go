package daemon

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/explain"
	"endiveplank/coordination/membership"
	"endiveplank/coordination/quarantine"
	"endiveplank/coordination/reason"
	"endiveplank/protocol"
)

// holds says whether a daemon believes that exactly these routers live.
func holds(d *Daemon, ids ...protocol.RouterID) bool {
	var living []protocol.RouterID
	for _, m := range d.gossip.living() {
		living = append(living, m.ID)
	}
	return slices.Equal(living, ids)
}

// A router's VM loses power. No goodbye is said and no request is on the way
// to it, so nothing else would notice before its lease ends. The others must
// find out by themselves, say why, and take it back when it restarts.
func TestKilledRouterIsFoundAndTakenBack(t *testing.T) {
	f := newTestFleet(t)
	f.await("all routers know each other", func() bool {
		return holds(f.daemons[0], "r1", "r2", "r3") && holds(f.daemons[1], "r1", "r2", "r3") && holds(f.daemons[2], "r1", "r2", "r3")
	})
	killed := f.daemons[2]
	f.daemons[2] = nil
	killed.mesh.Close()
	f.await("the others hold the killed router for dead", func() bool {
		return holds(f.daemons[0], "r1", "r2") && holds(f.daemons[1], "r1", "r2")
	})
	events := f.daemons[0].runner.find(explain.Query{What: string(membership.Died), Limit: explain.MaxLimit})
	assert.Assert(t, slices.ContainsFunc(events, func(e explain.Event) bool {
		return e.What == string(membership.Died) && e.Peer == "r3" && e.Detail != ""
	}))
	f.daemons[2] = killed
	f.stop()
	f.daemons = nil
}

// A request crashes an engine. Its digest is condemned on one router, and the
// caller sends it again through another, which must know of it by then.
func TestQuarantineNoticeReachesEveryRouter(t *testing.T) {
	f := newTestFleet(t)
	f.await("all routers know each other", func() bool { return holds(f.daemons[0], "r1", "r2", "r3") })
	f.setUp()
	f.engine("e1", nil)
	digest := quarantine.DigestOf("a", []byte(chatBody))
	f.daemons[0].spread(quarantine.Notice{Kind: quarantine.QuarantineNotice, Crash: 7, Digest: digest, Strikes: 1, Seconds: 600})
	for i := 1; i < 3; i++ {
		f.await("another router refuses the request", func() bool {
			_, _, body := f.call(i, "/v1/chat/completions", chatBody)
			return strings.Contains(body, string(reason.Quarantined))
		})
	}
}

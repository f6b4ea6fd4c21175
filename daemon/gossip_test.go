package daemon

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/crashes"
	"endiveplank/coordination/explain"
	"endiveplank/coordination/membership"
	"endiveplank/coordination/node"
	"endiveplank/coordination/quarantine"
	"endiveplank/coordination/reason"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/wire"
)

// seesLive reports whether a daemon considers exactly these routers alive.
func seesLive(d *Daemon, ids ...protocol.RouterID) bool {
	var living []protocol.RouterID
	for _, m := range d.gossip.liveMembers() {
		living = append(living, m.ID)
	}
	return slices.Equal(living, ids)
}

// A router's VM loses power. It sends no leave message, and no request is in flight to it, so
// without gossip nothing would notice before its lease expires. The other routers must detect the
// loss and record an event that says why.
func TestKilledRouterIsDetectedAndReported(t *testing.T) {
	f := newTestFleet(t)
	f.await("all routers know each other", func() bool {
		return seesLive(f.daemons[0], "r1", "r2", "r3") && seesLive(f.daemons[1], "r1", "r2", "r3") && seesLive(f.daemons[2], "r1", "r2", "r3")
	})
	killed := f.daemons[2]
	f.daemons[2] = nil
	killed.mesh.Close()
	f.await("the others consider the killed router dead", func() bool {
		return seesLive(f.daemons[0], "r1", "r2") && seesLive(f.daemons[1], "r1", "r2")
	})
	events := f.daemons[0].runner.findEvents(explain.Query{What: string(membership.Died), Limit: explain.MaxLimit})
	assert.Assert(t, slices.ContainsFunc(events, func(e explain.Event) bool {
		return e.What == string(membership.Died) && e.Peer == "r3" && e.Detail != ""
	}))
	f.daemons[2] = killed
	f.stop()
	f.daemons = nil
}

// A request crashes an engine. One router quarantines its digest, and the caller sends the request
// again through another router, which must know of the quarantine by then.
func TestQuarantineNoticeReachesEveryRouter(t *testing.T) {
	f := newTestFleet(t)
	f.await("all routers know each other", func() bool { return seesLive(f.daemons[0], "r1", "r2", "r3") })
	f.setUp()
	f.engine("e1", nil)
	digest := quarantine.DigestOf("a", []byte(chatBody))
	f.daemons[0].broadcastNotice(quarantine.Notice{Kind: quarantine.QuarantineNotice, Crash: 7, Digest: digest, Strikes: 1, Seconds: 600})
	for i := 1; i < 3; i++ {
		f.await("another router refuses the request", func() bool {
			_, _, body := f.call(i, "/v1/chat/completions", chatBody)
			return strings.Contains(body, string(reason.Quarantined))
		})
	}
}

// One message crashes engines. Routers refuse chats that have it, whichever of them found it.
func TestQuarantinedMessageReachesEveryRouter(t *testing.T) {
	const body = `{"model":"m1","messages":[{"role":"system","content":"the message"},{"role":"user","content":"mine"}]}`
	f := newTestFleet(t)
	f.await("all routers know each other", func() bool { return seesLive(f.daemons[0], "r1", "r2", "r3") })
	f.setUp()
	f.engine("e1", nil)
	part := chat.SharedParts([]chat.Message{{Role: "system", Content: "the message"}, {}})[0]
	f.daemons[0].runner.broadcastPart(crashes.Quarantine{Kind: crashes.Part, Key: part, Times: 1, Left: 10 * time.Minute})
	for i := 1; i < 3; i++ {
		f.await("another router refuses the chat", func() bool {
			status, _, answer := f.call(i, "/v1/chat/completions", body)
			return status == http.StatusUnprocessableEntity && strings.Contains(answer, string(reason.Quarantined))
		})
	}
}

// A message about crashes is lost on the way, or arrives as another one.
func TestMessagesAboutCrashesArriveAsSent(t *testing.T) {
	crash := crashes.Crash{Upstream: "e1", StartedAt: 7, Parts: []uint64{1, 2}}
	suspects := crashes.Suspects{Parts: []uint64{2}}
	sound := crashes.Sound{Parts: []crashes.SoundPart{{Key: 2, AgoMS: 30}}}
	known := node.Quarantines{
		Requests: []quarantine.Notice{{Kind: quarantine.QuarantineNotice, Crash: 3, Digest: 4, Strikes: 1, Seconds: 60}},
		Parts:    []crashes.Quarantine{{Kind: crashes.Part, Key: 5, Times: 2, Left: time.Minute}},
	}
	for kind, c := range map[wire.Kind]struct {
		message any
		input   node.Input
	}{
		wire.KindCrash:            {crash, node.PeerCrash{Crash: crash}},
		wire.KindSuspects:         {suspects, node.PeerSuspects{From: "r2", Suspects: suspects}},
		wire.KindSound:            {sound, node.PeerSound{From: "r2", Sound: sound}},
		wire.KindQuarantinesRead:  {node.QuarantinesRead{}, node.PeerQuarantinesRead{From: "r2"}},
		wire.KindQuarantinesReply: {known, node.PeerQuarantines{Quarantines: known}},
	} {
		in, err := decodeDataPath("r2", wire.Frame{Kind: kind, Payload: encodePayload(c.message)})
		assert.NilError(t, err, "%s", kind)
		assert.DeepEqual(t, in, c.input)
	}
}

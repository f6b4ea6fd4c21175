package membership

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol"
)

func drawID(t *rapid.T, label string) protocol.RouterID {
	return protocol.RouterID(rapid.StringMatching(`[a-z0-9]{1,20}`).Draw(t, label))
}

func drawIncarnation(t *rapid.T) Incarnation {
	return Incarnation{Started: rapid.Uint64Range(0, maxStarted).Draw(t, "started"), Refuted: rapid.Uint32Range(0, maxRefuted).Draw(t, "refuted")}
}

func drawRumour(t *rapid.T) rumour {
	r := rumour{Kind: rumourKind(rapid.IntRange(1, int(rumourKinds)-1).Draw(t, "kind"))}
	r.Member.ID = drawID(t, "id")
	r.Member.Incarnation = drawIncarnation(t)
	switch r.Kind {
	case rumourAlive:
		r.Member.Address = string(drawID(t, "address"))
		r.Member.DataCentre = protocol.DataCentre(drawID(t, "dc"))
		r.Member.Region = string(drawID(t, "region"))
	case rumourSuspect, rumourDead:
		r.By = drawID(t, "by")
	case rumourItem:
		r.ItemKind = rapid.Byte().Draw(t, "item")
		r.Key = rapid.Uint64().Draw(t, "key")
		r.Version = rapid.Uint64().Draw(t, "version")
		r.Payload = rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "payload")
	}
	return r
}

func encode(m message) []byte {
	data := appendHead(nil, m)
	for _, r := range m.Rumours {
		data = appendRumour(data, r)
	}
	return data
}

// A message must decode to what was encoded. A truncated packet must be refused,
// unless it ends between two rumours.
func TestPacketsDecodeToWhatWasEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := message{
			Kind: PacketKind(rapid.IntRange(1, int(packetKinds)-1).Draw(t, "kind")), Sequence: rapid.Uint64().Draw(t, "sequence"),
			From: drawID(t, "from"), Incarnation: drawIncarnation(t), Digest: rapid.Uint32().Draw(t, "digest"),
			Target: drawID(t, "target"), More: rapid.Bool().Draw(t, "more"),
		}
		for range rapid.IntRange(0, 4).Draw(t, "rumours") {
			m.Rumours = append(m.Rumours, drawRumour(t))
		}
		data := encode(m)
		decoded, err := decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, m)
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		if whole, err := decode(data[:cut]); err == nil {
			assert.Assert(t, len(whole.Rumours) < len(m.Rumours), "a packet that is truncated inside a rumour is refused")
		}
	})
}

// A peer of another version, or one with a broken network card, sends malformed
// packets. The router must refuse them and keep its list unchanged.
func TestMalformedPacketsChangeNothing(t *testing.T) {
	forged := encode(message{Kind: Gossip, From: "b", Rumours: []rumour{{Kind: rumourDead, Member: Member{ID: "a", Incarnation: Incarnation{Refuted: maxRefuted + 1}}, By: "b"}}})
	item := rumour{Kind: rumourItem, Member: Member{ID: "b"}, Payload: make([]byte, MaxItem)}
	oversized := encode(message{Kind: Gossip, From: "b", Rumours: []rumour{item, item}})
	for _, data := range [][]byte{nil, {2}, {1, 99}, {1, 1}, forged, oversized, encode(message{Kind: Ping})} {
		_, err := decode(data)
		assert.Assert(t, errors.Is(err, errMalformed), "%x", data)
	}
	c := newTestCore("a")
	c.Receive(0, forged)
	assert.Equal(t, c.Counts().Refused, uint64(1))
	assert.Equal(t, c.Known(), 1)
}

// A faulty router sends packets that name another router as their sender. The
// receiver must refuse them where the connection verifies the sender.
func TestPacketInAnothersNameIsRefused(t *testing.T) {
	c := newTestCore("a", "b", "c")
	data := from("b", message{Kind: Gossip, Rumours: []rumour{{Kind: rumourLeft, Member: testMember("b")}}})
	c.ReceiveFrom(0, "c", data)
	assert.Equal(t, c.Living(), 3)
	assert.Equal(t, c.Counts().Refused, uint64(1))
	c.ReceiveFrom(0, "b", data)
	assert.Equal(t, c.Living(), 2)
}

func FuzzReceive(f *testing.F) {
	f.Add(encode(message{Kind: Ping, Sequence: 1, From: "b", Target: "a"}))
	f.Add(encode(message{Kind: List, From: "b", More: true, Rumours: []rumour{{Kind: rumourAlive, Member: Member{ID: "c", Address: "10.0.0.1:1"}}}}))
	f.Add(encode(message{Kind: Gossip, From: "b", Rumours: []rumour{{Kind: rumourSuspect, Member: Member{ID: "a"}, By: "b"}, {Kind: rumourItem, Member: Member{ID: "b"}, Payload: []byte("x")}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newTestCore("a", "b", "c")
		for range 2 {
			c.Receive(0, data)
			c.Tick(TickInterval)
		}
	})
}

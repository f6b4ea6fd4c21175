package lease

import (
	"time"

	"endiveplank/coordination/ownership"
	"endiveplank/protocol/codec"
)

// simRelay is a voter that relays between routers and the leader.
type simRelay struct {
	clock clock
	relay *Relay
	sent  int
	// routers holds the routers that renewed here, by session.
	routers map[ownership.SessionID]*simRouter
}

func (s *sim) addRelays(count int) {
	for range count {
		relay := &simRelay{clock: s.clock(), relay: NewRelay(s.timing, s.machine), routers: map[ownership.SessionID]*simRouter{}}
		s.relays = append(s.relays, relay)
		s.relayLoop(relay)
	}
}

func (s *sim) renewThroughRelay(r *simRouter, renewal Renewal) {
	relay := s.relays[r.id%len(s.relays)]
	if s.rng.IntN(100) < s.loss {
		return
	}
	s.after(s.latency(), nil, func() {
		relay.routers[renewal.Session] = r
		relay.relay.HandleRenewal(relay.clock.read(s.now), renewal)
	})
}

func (s *sim) relayLoop(relay *simRelay) {
	now := relay.clock.read(s.now)
	for _, push := range relay.relay.Pushes(now) {
		r := relay.routers[push.Session]
		relay.sent += len(codec.MarshalArrays(&push)) + frameBytes
		s.relayToRouter(r, func() {
			s.execute(r, r.HandlePush(r.clock.read(s.now), push))
		})
	}
	if bundle, due := relay.relay.Bundle(now); due {
		relay.sent += len(codec.MarshalArrays(&bundle)) + frameBytes
		s.sendBundle(relay, bundle)
	}
	s.after(10*time.Millisecond, nil, func() { s.relayLoop(relay) })
}

func (s *sim) sendBundle(relay *simRelay, bundle Bundle) {
	l := s.current
	if l.partitioned || s.rng.IntN(100) < s.loss {
		return
	}
	s.after(s.latency(), nil, func() {
		reply := l.leader.HandleBundle(l.clock.read(s.now), s.holdsLease(l), bundle)
		l.sent += len(codec.MarshalArrays(&reply)) + frameBytes
		s.flushLeader(l)
		s.after(s.latency(), nil, func() { s.deliverBundleReply(relay, reply) })
	})
}

func (s *sim) deliverBundleReply(relay *simRelay, reply BundleReply) {
	for _, routerReply := range relay.relay.HandleBundleReply(relay.clock.read(s.now), reply) {
		encoded := codec.MarshalArrays(&routerReply.Reply)
		relay.sent += len(encoded) + frameBytes
		r := relay.routers[routerReply.Session]
		holder := r.holder
		s.relayToRouter(r, func() {
			if r.holder == holder {
				s.deliverReply(r, encoded)
			}
		})
	}
}

// relayToRouter delivers a relay's message unless it is lost. Relays are on
// the new leader's side of a partition.
func (s *sim) relayToRouter(r *simRouter, run func()) {
	if s.rng.IntN(100) >= s.loss && !r.partitioned {
		s.deliver(r, run)
	}
}

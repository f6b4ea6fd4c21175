package origin

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/builds"
	"endiveplank/protocol"
)

const (
	// replicaCount is how many other routers are sent where a stream began. One more is asked,
	// as the lists of the two routers may differ by one.
	replicaCount = 3
	askedCount   = replicaCount + 1
	// relayedInterval is how often origins are sent where relays pass them on; elsewhere
	// they are sent with every tick.
	relayedInterval = 250 * time.Millisecond
	// maxPerMessage bounds the streams in a message, and maxQueued those that wait for one
	// receiver. Of more the newest are unknown to that replica.
	maxPerMessage = 512
	maxQueued     = 8 * maxPerMessage
	// relayPatience is how long a relay may take to answer before the replicas are asked
	// directly: it may be gone.
	relayPatience = 60 * time.Millisecond
	// askTimeout is how long replicas may take to answer.
	askTimeout = 300 * time.Millisecond
)

// Routers are the routers that take part.
type Routers struct {
	// Self is this router.
	Self protocol.RouterID
	// Replicas are the other routers that may be replicas.
	Replicas []protocol.RouterID
	// Relay is the router through which this one sends and asks, as long as it answers; "" if
	// this one does so itself.
	Relay protocol.RouterID
	// Relays says that this router does so for others, and is a replica.
	Relays bool
}

// equal reports whether both are the same routers in the same roles.
func (r Routers) equal(other Routers) bool {
	return r.Self == other.Self && r.Relay == other.Relay && r.Relays == other.Relays && slices.Equal(r.Replicas, other.Replicas)
}

// Directory is a router's part of the knowledge where streams began. It is not safe for
// concurrent use.
type Directory struct {
	routers Routers
	// hashes are those of Routers.Replicas, and selfHash that of Routers.Self.
	hashes   []uint64
	selfHash uint64
	store    store
	queued   map[protocol.RouterID]*Origins
	sentAt   time.Duration
	calls    uint64
	lookups  map[uint64]*lookup
}

// lookup is a question to the replicas of a stream.
type lookup struct {
	stream StreamID
	began  time.Duration
	// waiting is how many haven't answered. relayed says that the relay alone was asked.
	waiting int
	relayed bool
	// member and call are set if a member of this relay asked.
	member protocol.RouterID
	call   uint64
}

// Found is the answer to Ask: where a stream began, if Known.
type Found struct {
	Call  uint64
	Known bool
	Began builds.Pair
}

// NewDirectory returns a Directory that knows no other routers.
func NewDirectory() *Directory {
	return &Directory{store: newStore(), queued: map[protocol.RouterID]*Origins{}, lookups: map[uint64]*lookup{}}
}

// SetFirstCall sets the number that this process's questions follow: a random one. The
// answer to a question of the router's former process must answer none of this one, or a
// stream would go on at the build at which another one began.
func (d *Directory) SetFirstCall(number uint64) { d.calls = number }

// SetRouters replaces the routers that take part.
func (d *Directory) SetRouters(r Routers) {
	if d.routers.equal(r) {
		return
	}
	d.routers = r
	d.selfHash = hashOf(r.Self)
	d.hashes = d.hashes[:0]
	for _, id := range r.Replicas {
		d.hashes = append(d.hashes, hashOf(id))
	}
}

func hashOf(id protocol.RouterID) uint64 { return xxhash.Sum64String(string(id)) }

// replicas returns the first count routers by rendezvous hashing of a stream, this one among
// them if it is a relay.
func (d *Directory) replicas(stream StreamID, count int) []protocol.RouterID {
	type ranked struct {
		id   protocol.RouterID
		rank uint64
	}
	best := make([]ranked, 0, count+1)
	consider := func(id protocol.RouterID, hash uint64) {
		r := ranked{id, protocol.Mix(hash ^ uint64(stream))}
		if len(best) == count && r.rank <= best[count-1].rank {
			return
		}
		at, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
		best = slices.Insert(best, at, r)
		best = best[:min(len(best), count)]
	}
	for i, id := range d.routers.Replicas {
		consider(id, d.hashes[i])
	}
	if d.routers.Relays {
		consider(d.routers.Self, d.selfHash)
	}
	ids := make([]protocol.RouterID, 0, len(best))
	for _, r := range best {
		ids = append(ids, r.id)
	}
	return ids
}

// Began records where a stream began at this router. share says that its replicas need it, as
// its service has several builds.
func (d *Directory) Began(now time.Duration, stream StreamID, began builds.Pair, share bool) {
	d.store.add(now, stream, entry{began: began, own: true})
	if share {
		d.distribute(now, stream, began)
	}
}

// Share sends the replicas what began at this router lately, as the service has got a second
// build.
func (d *Directory) Share(now time.Duration, service protocol.Service) {
	d.store.expire(now)
	for _, r := range d.store.remembered() {
		if e := d.store.streams[r.stream]; e.own && e.began.Service == service {
			d.distribute(now, r.stream, e.began)
		}
	}
}

// distribute queues a stream for its replicas, or for this router's relay.
func (d *Directory) distribute(now time.Duration, stream StreamID, began builds.Pair) {
	if d.routers.Relay != "" {
		d.queue(d.routers.Relay, stream, began)
		return
	}
	for _, id := range d.replicas(stream, replicaCount) {
		if id == d.routers.Self {
			d.store.add(now, stream, entry{began: began})
			continue
		}
		d.queue(id, stream, began)
	}
}

func (d *Directory) queue(to protocol.RouterID, stream StreamID, began builds.Pair) {
	waiting := d.queued[to]
	if waiting == nil {
		waiting = &Origins{}
		d.queued[to] = waiting
	}
	if waiting.count() < maxQueued {
		waiting.add(stream, began)
	}
}

// HandleOrigins takes what another router sends.
func (d *Directory) HandleOrigins(now time.Duration, o Origins) {
	o.each(func(stream StreamID, began builds.Pair) {
		if o.Distribute {
			d.distribute(now, stream, began)
			return
		}
		d.store.add(now, stream, entry{began: began})
	})
}

// Lookup returns where a stream began, if this router remembers it.
func (d *Directory) Lookup(now time.Duration, stream StreamID) (builds.Pair, bool) {
	d.store.expire(now)
	e, known := d.store.streams[stream]
	return e.began, known
}

// Learned records where a stream began that this router has gone on with.
func (d *Directory) Learned(now time.Duration, stream StreamID, began builds.Pair) {
	d.store.add(now, stream, entry{began: began})
}

// Ask asks where a stream began that this router doesn't remember. HandleReply or Tick returns
// what was found under the call's number. False means that there is nobody to ask.
func (d *Directory) Ask(now time.Duration, stream StreamID) (call uint64, messages []Message, asked bool) {
	if d.routers.Relay != "" {
		call = d.startLookup(now, &lookup{stream: stream, waiting: 1, relayed: true})
		return call, []Message{{To: d.routers.Relay, Body: Query{Call: call, Stream: stream, Relayed: true}}}, true
	}
	return d.askReplicas(now, &lookup{stream: stream})
}

// askReplicas sends a question to the replicas of its stream.
func (d *Directory) askReplicas(now time.Duration, l *lookup) (call uint64, messages []Message, asked bool) {
	call = d.startLookup(now, l)
	messages = d.queries(call, l)
	if len(messages) == 0 {
		delete(d.lookups, call)
		return 0, nil, false
	}
	return call, messages, true
}

// queries returns the messages that ask the replicas of a stream.
func (d *Directory) queries(call uint64, l *lookup) []Message {
	var messages []Message
	for _, id := range d.replicas(l.stream, askedCount) {
		if id != d.routers.Self {
			messages = append(messages, Message{To: id, Body: Query{Call: call, Stream: l.stream}})
		}
	}
	l.waiting += len(messages)
	return messages
}

func (d *Directory) startLookup(now time.Duration, l *lookup) uint64 {
	d.calls++
	l.began = now
	d.lookups[d.calls] = l
	return d.calls
}

// HandleQuery answers another router's question, or passes it on to the replicas.
func (d *Directory) HandleQuery(now time.Duration, from protocol.RouterID, q Query) []Message {
	began, known := d.Lookup(now, q.Stream)
	if !known && q.Relayed {
		if _, messages, asked := d.askReplicas(now, &lookup{stream: q.Stream, member: from, call: q.Call}); asked {
			return messages
		}
	}
	return []Message{{To: from, Body: Reply{Call: q.Call, Known: known, Began: began}}}
}

// HandleReply takes the answer to a question. It returns messages to send, and what was found if
// that ends a question of this router.
func (d *Directory) HandleReply(now time.Duration, r Reply) ([]Message, []Found) {
	l := d.lookups[r.Call]
	if l == nil {
		return nil, nil
	}
	l.waiting--
	if !r.Known && l.waiting > 0 {
		return nil, nil
	}
	if r.Known {
		d.Learned(now, l.stream, r.Began)
	}
	return d.end(r.Call, l, r)
}

// end ends a question.
func (d *Directory) end(call uint64, l *lookup, r Reply) ([]Message, []Found) {
	delete(d.lookups, call)
	if l.member != "" {
		return []Message{{To: l.member, Body: Reply{Call: l.call, Known: r.Known, Began: r.Began}}}, nil
	}
	return nil, []Found{{Call: call, Known: r.Known, Began: r.Began}}
}

// Tick returns the messages that are due, and the questions that weren't answered in time.
func (d *Directory) Tick(now time.Duration) ([]Message, []Found) {
	d.store.expire(now)
	messages := d.dueOrigins(now)
	var found []Found
	for call, l := range d.lookups {
		switch {
		case now-l.began >= askTimeout:
			toMember, unknown := d.end(call, l, Reply{})
			messages = append(messages, toMember...)
			found = append(found, unknown...)
		case l.relayed && now-l.began >= relayPatience:
			l.relayed = false
			messages = append(messages, d.queries(call, l)...)
		}
	}
	return messages, found
}

// dueOrigins returns the messages to the replicas.
func (d *Directory) dueOrigins(now time.Duration) []Message {
	relayed := d.routers.Relay != "" || d.routers.Relays
	if len(d.queued) == 0 || relayed && now-d.sentAt < relayedInterval {
		return nil
	}
	d.sentAt = now
	var messages []Message
	for to, waiting := range d.queued {
		distribute := to == d.routers.Relay
		for _, part := range waiting.split() {
			part.Distribute = distribute
			messages = append(messages, Message{To: to, Body: part})
		}
	}
	clear(d.queued)
	return messages
}

// split returns the streams in messages of at most maxPerMessage.
func (o *Origins) split() []Origins {
	if o.count() <= maxPerMessage {
		return []Origins{*o}
	}
	var parts []Origins
	var part Origins
	o.each(func(stream StreamID, began builds.Pair) {
		part.add(stream, began)
		if part.count() == maxPerMessage {
			parts = append(parts, part)
			part = Origins{}
		}
	})
	if part.count() > 0 {
		parts = append(parts, part)
	}
	return parts
}

// Remembered returns how many streams this router remembers.
func (d *Directory) Remembered() int { return len(d.store.streams) }

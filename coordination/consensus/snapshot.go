package consensus

import (
	"hash/crc32"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// castagnoli is the polynomial of CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// transfer is a snapshot on its way to one member.
type transfer struct {
	index, term uint64
	encoded     []byte
	checksum    uint32
	// offset is how much has been acknowledged.
	offset int
	// waiting says that a chunk is out; it is sent again at a heartbeat.
	waiting bool
}

// incomingSnapshot collects chunks.
type incomingSnapshot struct {
	from        Member
	index, term uint64
	data        []byte
}

// bucket is a token bucket in bytes, for snapshot traffic.
//
// Load: a spare that joins needs the whole state, perhaps megabytes, beside
// a control budget of kilobytes a second. Harm prevented: a repair that
// floods small VMs just when one is lost. The rate bounds the mean; the burst
// lets a small state through at once.
type bucket struct {
	tokens, burst float64
	perSecond     float64
	at            time.Duration
}

// newBucket returns a full bucket.
func newBucket(s Settings, now time.Duration) bucket {
	burst := float64(max(s.SnapshotBurstBytes, s.ChunkBytes))
	return bucket{tokens: burst, burst: burst, perSecond: float64(s.SnapshotBytesPerSecond), at: now}
}

// take reports whether n bytes may be sent now, and counts them.
func (b *bucket) take(now time.Duration, n int) bool {
	b.tokens = min(b.burst, b.tokens+b.perSecond*(now-b.at).Seconds())
	b.at = now
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// startTransfer begins to send the newest snapshot to a member whose next
// entries are no longer held.
func (c *Core) startTransfer(m Member, p *progress) {
	s := c.log.snapshot
	encoded, err := msgpack.Marshal(s)
	if err != nil {
		panic("consensus: invariant broken: a snapshot always encodes: " + err.Error())
	}
	p.transfer = &transfer{index: s.Index, term: s.Term, encoded: encoded, checksum: crc32.Checksum(encoded, castagnoli)}
	p.due = true
	c.event(EventSnapshotStarted, m, "it needs entry %d, the log starts after %d; %d bytes", p.next, c.log.base, len(encoded))
}

// sendChunk sends the next chunk, or an empty one as a heartbeat while the
// budget is used up.
func (c *Core) sendChunk(m Member, p *progress) {
	t := p.transfer
	if t.waiting && !p.due {
		return
	}
	end := min(len(t.encoded), t.offset+c.settings.ChunkBytes)
	allowed := c.budget.take(c.now, end-t.offset)
	if !allowed && !p.due {
		return
	}
	chunk := Chunk{Offset: uint64(t.offset), Total: uint64(len(t.encoded)), Checksum: t.checksum}
	if allowed {
		chunk.Data = t.encoded[t.offset:end]
	}
	t.waiting = allowed
	p.due = false
	c.send(Message{Kind: MessageSnapshot, To: m, Index: t.index, LogTerm: t.term, Sent: c.now, Chunk: &chunk})
}

// chunkReceived moves a transfer on.
func (c *Core) chunkReceived(p *progress, m Message) {
	t := p.transfer
	if t == nil || m.Chunk == nil || m.Index != t.index || m.Chunk.Offset > uint64(len(t.encoded)) {
		return
	}
	if m.Chunk.Offset != uint64(t.offset) || len(t.encoded) == 0 {
		t.waiting = false
	}
	t.offset = int(m.Chunk.Offset)
}

// receiveSnapshot takes one chunk and installs the snapshot with the last.
func (c *Core) receiveSnapshot(now time.Duration, m Message) {
	if m.Term < c.term {
		c.sendAfterSync(Message{Kind: MessageAppendReply, To: m.From, Reject: true, Index: m.Index})
		return
	}
	c.follow(now, m)
	if m.Index <= c.log.commit {
		c.acknowledge(m, c.log.commit)
		return
	}
	if c.log.matches(m.Index, m.LogTerm) {
		// The entries are here already. Dropping those after them would
		// take back acknowledgements that may have committed them.
		c.log.commit = m.Index
		c.acknowledge(m, m.Index)
		return
	}
	c.collect(m)
	if uint64(len(c.incoming.data)) < m.Chunk.Total {
		c.sendAfterSync(Message{
			Kind: MessageSnapshotReply, To: m.From, Index: m.Index, Sent: m.Sent,
			Chunk: &Chunk{Offset: uint64(len(c.incoming.data))},
		})
		return
	}
	c.install(m)
}

// collect keeps a chunk that continues what has arrived. Another snapshot
// starts anew.
func (c *Core) collect(m Message) {
	in := &c.incoming
	if in.from != m.From || in.index != m.Index || in.term != m.LogTerm {
		*in = incomingSnapshot{from: m.From, index: m.Index, term: m.LogTerm}
	}
	if m.Chunk.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Chunk.Data...)
	}
}

// install replaces the state and the log by a complete snapshot. A damaged one
// is dropped and asked for again.
func (c *Core) install(m Message) {
	data := c.incoming.data
	c.incoming = incomingSnapshot{}
	var s Snapshot
	damaged := crc32.Checksum(data, castagnoli) != m.Chunk.Checksum || msgpack.Unmarshal(data, &s) != nil || s.Index != m.Index
	if damaged {
		c.sendAfterSync(Message{Kind: MessageSnapshotReply, To: m.From, Index: m.Index, Sent: m.Sent, Chunk: &Chunk{}})
		return
	}
	c.event(EventSnapshotReceived, m.From, "state up to entry %d, %d bytes", s.Index, len(data))
	c.log.restore(s)
	c.out.Snapshot = &s
	c.acknowledge(m, s.Index)
}

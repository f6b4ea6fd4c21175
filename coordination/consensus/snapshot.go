package consensus

import (
	"hash/crc32"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// castagnoli is the table for CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// snapshotTransfer is a snapshot that is being sent to one member.
type snapshotTransfer struct {
	index, term uint64
	encoded     []byte
	checksum    uint32
	// offset is the number of bytes that the member has acknowledged.
	offset int
	// chunkInFlight means that a chunk is not yet acknowledged. It is sent
	// again with the next heartbeat.
	chunkInFlight bool
}

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	from        Member
	index, term uint64
	data        []byte
}

// tokenBucket limits snapshot traffic, in bytes.
//
// A spare that joins needs the whole state, perhaps megabytes, while the budget
// for control traffic is kilobytes a second. Without the limit, a repair would
// flood small VMs at the moment one of them is lost. The rate limits the
// average; the burst lets a small state through at once.
type tokenBucket struct {
	tokens, burst float64
	perSecond     float64
	at            time.Duration
}

// newTokenBucket returns a full bucket.
func newTokenBucket(s Settings, now time.Duration) tokenBucket {
	burst := float64(max(s.SnapshotBurstBytes, s.ChunkBytes))
	return tokenBucket{tokens: burst, burst: burst, perSecond: float64(s.SnapshotBytesPerSecond), at: now}
}

// take reports whether n bytes may be sent now, and if so deducts them.
func (b *tokenBucket) take(now time.Duration, n int) bool {
	b.tokens = min(b.burst, b.tokens+b.perSecond*(now-b.at).Seconds())
	b.at = now
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// startSnapshotTransfer starts to send the newest snapshot to a member whose
// next entries are no longer in the log.
func (c *Core) startSnapshotTransfer(m Member, p *progress) {
	s := c.log.snapshot
	encoded, err := msgpack.Marshal(s)
	if err != nil {
		panic("consensus: invariant broken: a snapshot always encodes: " + err.Error())
	}
	p.snapshotTransfer = &snapshotTransfer{index: s.Index, term: s.Term, encoded: encoded, checksum: crc32.Checksum(encoded, castagnoli)}
	p.due = true
	c.event(EventSnapshotStarted, m, "the member needs entry %d, but the log starts after entry %d; the snapshot has %d bytes", p.next, c.log.base, len(encoded))
}

// sendChunk sends the next chunk. While the budget is used up it sends an empty
// chunk as a heartbeat.
func (c *Core) sendChunk(m Member, p *progress) {
	t := p.snapshotTransfer
	if t.chunkInFlight && !p.due {
		return
	}
	end := min(len(t.encoded), t.offset+c.settings.ChunkBytes)
	allowed := c.snapshotBudget.take(c.now, end-t.offset)
	if !allowed && !p.due {
		return
	}
	chunk := Chunk{Offset: uint64(t.offset), Total: uint64(len(t.encoded)), Checksum: t.checksum}
	if allowed {
		chunk.Data = t.encoded[t.offset:end]
	}
	t.chunkInFlight = allowed
	p.due = false
	c.send(Message{Kind: MessageSnapshot, To: m, Index: t.index, LogTerm: t.term, Sent: c.now, Chunk: &chunk})
}

// recordChunkReply advances the transfer to the offset that the member
// acknowledged.
func (c *Core) recordChunkReply(p *progress, m Message) {
	t := p.snapshotTransfer
	if t == nil || m.Chunk == nil || m.Index != t.index || m.Chunk.Offset > uint64(len(t.encoded)) {
		return
	}
	if m.Chunk.Offset != uint64(t.offset) || len(t.encoded) == 0 {
		t.chunkInFlight = false
	}
	t.offset = int(m.Chunk.Offset)
}

// receiveSnapshot handles one chunk and installs the snapshot when it is
// complete.
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
		// The log holds these entries already. Dropping the entries after them
		// would revoke acknowledgements that may have committed them.
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

// collect stores a chunk that continues the received data. A chunk of another
// snapshot restarts the collection.
func (c *Core) collect(m Message) {
	in := &c.incoming
	if in.from != m.From || in.index != m.Index || in.term != m.LogTerm {
		*in = incomingSnapshot{from: m.From, index: m.Index, term: m.LogTerm}
	}
	if m.Chunk.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Chunk.Data...)
	}
}

// install replaces the state and the log by a complete snapshot. If the
// snapshot is damaged, install drops it and asks for it again.
func (c *Core) install(m Message) {
	data := c.incoming.data
	c.incoming = incomingSnapshot{}
	var s Snapshot
	damaged := crc32.Checksum(data, castagnoli) != m.Chunk.Checksum || msgpack.Unmarshal(data, &s) != nil || s.Index != m.Index
	if damaged {
		c.sendAfterSync(Message{Kind: MessageSnapshotReply, To: m.From, Index: m.Index, Sent: m.Sent, Chunk: &Chunk{}})
		return
	}
	c.event(EventSnapshotReceived, m.From, "the snapshot covers entries up to %d and has %d bytes", s.Index, len(data))
	c.log.restore(s)
	c.out.Snapshot = &s
	c.acknowledge(m, s.Index)
}

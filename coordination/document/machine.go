package document

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"endiveplank/protocol/codec"
)

// Digest identifies the content of a document.
type Digest [sha256.Size / 2]byte

// digestOf returns the digest of a body.
func digestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(sum[:len(Digest{})])
}

// Document is one version of the document. It is immutable.
type Document struct {
	Version uint64
	Body    []byte
	Digest  Digest
}

// New returns a document with its digest.
func New(version uint64, body []byte) *Document {
	return &Document{Version: version, Body: body, Digest: digestOf(body)}
}

// Change turns one version of the document into the next.
type Change struct {
	// Base is the digest of the document that Delta is made from, or zero if
	// Delta holds the whole new document.
	Base    Digest `msgpack:"b"`
	Version uint64 `msgpack:"v"`
	// Result is the digest of the new document.
	Result Digest `msgpack:"r"`
	Delta  []byte `msgpack:"d"`
}

// MakeChange returns the change from base to next. A nil base gives a change that
// holds the whole of next.
func MakeChange(base, next *Document) Change {
	change := Change{Version: next.Version, Result: next.Digest}
	var old []byte
	if base != nil {
		change.Base = base.Digest
		old = base.Body
	}
	change.Delta = MakeDelta(old, next.Body)
	return change
}

// ErrOtherBase means that a change was made from a document other than the one that
// it is applied to. Held is the version of the latter.
type ErrOtherBase struct{ Held uint64 }

// Error implements error.
func (e ErrOtherBase) Error() string {
	return fmt.Sprintf("document: the change was made from a document other than version %d", e.Held)
}

// Apply returns the document that a change makes from base, which is nil if there
// is none. It fails with ErrOtherBase, or if the change is damaged.
func (c Change) Apply(base *Document) (*Document, error) {
	var old []byte
	var digest Digest
	held := uint64(0)
	if base != nil {
		old, digest, held = base.Body, base.Digest, base.Version
	}
	if c.Base != (Digest{}) && c.Base != digest {
		return nil, ErrOtherBase{Held: held}
	}
	if c.Base == (Digest{}) {
		old = nil
	}
	body, err := ApplyDelta(old, c.Delta)
	if err != nil {
		return nil, err
	}
	next := New(c.Version, body)
	if next.Digest != c.Result {
		return nil, errDelta
	}
	return next, nil
}

// Encode encodes a change as a command of the log.
func (c Change) Encode() []byte {
	data, err := msgpack.Marshal(c)
	if err != nil {
		panic("document: invariant broken: a change always encodes: " + err.Error())
	}
	return data
}

// DecodeChange decodes a command of the log.
func DecodeChange(data []byte) (Change, error) {
	var c Change
	err := codec.Unmarshal(data, &c)
	return c, err
}

// Outcome is the result of a put.
type Outcome uint8

const (
	// Accepted means that the put's document is now in force.
	Accepted Outcome = iota + 1
	// Held means that this version with this content was already in force.
	Held
	// Overtaken means that a higher version is in force.
	Overtaken
	// Conflict means that this version is in force with other content.
	Conflict
	// OtherBase means that the change can't be applied to the document in force: it
	// must be made again from that document.
	OtherBase
)

// String returns the word used in logs.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Held:
		return "held"
	case Overtaken:
		return "overtaken"
	case Conflict:
		return "conflict"
	case OtherBase:
		return "other-base"
	}
	return "none"
}

// DecidePut returns the outcome of a put of a version and digest. inForce is the
// document in force, nil if there is none. DecidePut never returns OtherBase.
func DecidePut(inForce *Document, version uint64, digest Digest) Outcome {
	switch {
	case inForce == nil || version > inForce.Version:
		return Accepted
	case version < inForce.Version:
		return Overtaken
	case digest == inForce.Digest:
		return Held
	}
	return Conflict
}

// Machine is the replicated state machine that holds the document in force. It is a
// state machine of package replica and is safe for concurrent use.
type Machine struct {
	mu      sync.Mutex
	inForce *Document
	// latest is the change that made the document in force, if the document came
	// by the log.
	latest Change
	// changed is closed and replaced when the document changes.
	changed chan struct{}
}

// NewMachine returns a Machine without a document.
func NewMachine() *Machine {
	return &Machine{changed: make(chan struct{})}
}

// InForce returns the document in force, nil if there is none, and a channel
// that is closed when another document replaces it.
func (m *Machine) InForce() (*Document, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inForce, m.changed
}

// Latest returns the document in force and the change that made it. If the document
// came by a snapshot, the change isn't the one that made it, and its Result differs
// from the document's digest.
func (m *Machine) Latest() (*Document, Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inForce, m.latest
}

// Apply applies a committed change. The result is one byte, the Outcome.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return []byte{byte(m.apply(command))}
}

// apply decides by the document in force alone, so all members reach the same
// outcome.
func (m *Machine) apply(command []byte) Outcome {
	change, err := DecodeChange(command)
	if err != nil {
		return OtherBase
	}
	outcome := DecidePut(m.inForce, change.Version, change.Result)
	if outcome != Accepted {
		return outcome
	}
	next, err := change.Apply(m.inForce)
	if err != nil {
		return OtherBase
	}
	m.latest = change
	m.replace(next)
	return Accepted
}

func (m *Machine) replace(next *Document) {
	m.inForce = next
	close(m.changed)
	m.changed = make(chan struct{})
}

// snapshot is the encoded form of a Machine.
type snapshot struct {
	Version uint64 `msgpack:"v"`
	Body    []byte `msgpack:"b"`
	Any     bool   `msgpack:"a"`
	// Added is other state that is kept with the document's.
	Added []byte `msgpack:"x,omitempty"`
}

// Snapshot encodes the state.
func (m *Machine) Snapshot() []byte { return m.SnapshotWith(nil) }

// SnapshotWith encodes the state together with other state, which AddedTo returns.
func (m *Machine) SnapshotWith(added []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := snapshot{Added: added}
	if m.inForce != nil {
		s.Version, s.Body, s.Any = m.inForce.Version, Compress(m.inForce.Body), true
	}
	data, err := msgpack.Marshal(s)
	if err != nil {
		panic("document: invariant broken: a snapshot always encodes: " + err.Error())
	}
	return data
}

// AddedTo returns the other state in a snapshot, nil if there is none.
func AddedTo(data []byte) ([]byte, error) {
	var s snapshot
	err := codec.Unmarshal(data, &s)
	return s.Added, err
}

// Restore replaces the state by a snapshot.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := codec.Unmarshal(data, &s); err != nil {
		return err
	}
	var restored *Document
	if s.Any {
		body, err := Decompress(s.Body)
		if err != nil {
			return err
		}
		restored = New(s.Version, body)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if equal(m.inForce, restored) {
		return nil
	}
	m.replace(restored)
	return nil
}

// equal reports whether two documents, each possibly nil, are equal.
func equal(a, b *Document) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Version == b.Version && bytes.Equal(a.Body, b.Body)
}

package document

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"endiveplank/protocol/codec"
)

// Digest tells documents apart.
type Digest [sha256.Size / 2]byte

// digestOf returns the digest of a body.
func digestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(sum[:len(Digest{})])
}

// Document is one version. It is not changed once made.
type Document struct {
	Version uint64
	Body    []byte
	Digest  Digest
}

// New returns a document.
func New(version uint64, body []byte) *Document {
	return &Document{Version: version, Body: body, Digest: digestOf(body)}
}

// Change turns one document into the next.
type Change struct {
	// Base is the digest of the document that Delta is made from; zero for
	// none.
	Base    Digest `msgpack:"b"`
	Version uint64 `msgpack:"v"`
	// Result is the digest of the new document.
	Result Digest `msgpack:"r"`
	Delta  []byte `msgpack:"d"`
}

// MakeChange returns the change from base, nil for none, to next.
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

// ErrOtherBase means that a change was made from another document.
type ErrOtherBase struct{ Held uint64 }

// Error implements error.
func (e ErrOtherBase) Error() string {
	return fmt.Sprintf("document: the change was made from another document than version %d", e.Held)
}

// Apply returns the document that a change makes from base, nil for none.
// Errors: ErrOtherBase, damage.
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

// Encode returns a change as a command for the log.
func (c Change) Encode() []byte {
	data, err := msgpack.Marshal(c)
	if err != nil {
		panic("document: invariant broken: a change always encodes: " + err.Error())
	}
	return data
}

// DecodeChange reads a command of the log.
func DecodeChange(data []byte) (Change, error) {
	var c Change
	err := codec.Unmarshal(data, &c)
	return c, err
}

// Outcome says what became of a put.
type Outcome uint8

const (
	// Accepted means that the version is the one in force.
	Accepted Outcome = iota + 1
	// Held means that this version with this content was in force already.
	Held
	// Overtaken means that a higher version is in force.
	Overtaken
	// Conflict means that this version is in force with other content.
	Conflict
	// OtherBase means that the change has to be made from a newer document.
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

// Judge says what becomes of a put of a document while another is in force,
// nil for none. It leaves out OtherBase.
func Judge(inForce *Document, version uint64, digest Digest) Outcome {
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

// Machine is the replicated state: the document in force. It is a state
// machine of package replica and safe for concurrent use.
type Machine struct {
	mu      sync.Mutex
	inForce *Document
	// latest is the change that made the document in force, if the log held it.
	latest Change
	// changed is closed and replaced at each new document.
	changed chan struct{}
}

// NewMachine returns a machine without a document.
func NewMachine() *Machine {
	return &Machine{changed: make(chan struct{})}
}

// InForce returns the document in force, nil if there is none, and a channel
// that is closed when another takes its place.
func (m *Machine) InForce() (*Document, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inForce, m.changed
}

// Latest returns the document in force and the change that made it. The change
// has another result where the document came by a snapshot.
func (m *Machine) Latest() (*Document, Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inForce, m.latest
}

// Apply carries out a committed change. The result is one byte, an Outcome.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return []byte{byte(m.apply(command))}
}

// apply decides from the document in force alone, so all members agree.
func (m *Machine) apply(command []byte) Outcome {
	change, err := DecodeChange(command)
	if err != nil {
		return OtherBase
	}
	outcome := Judge(m.inForce, change.Version, change.Result)
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
}

// Snapshot encodes the state.
func (m *Machine) Snapshot() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := snapshot{}
	if m.inForce != nil {
		s = snapshot{Version: m.inForce.Version, Body: Compress(m.inForce.Body), Any: true}
	}
	data, err := msgpack.Marshal(s)
	if err != nil {
		panic("document: invariant broken: a snapshot always encodes: " + err.Error())
	}
	return data
}

// Restore replaces the state by an encoded one.
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
	if same(m.inForce, restored) {
		return nil
	}
	m.replace(restored)
	return nil
}

// same reports whether two documents are equal.
func same(a, b *Document) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Version == b.Version && bytes.Equal(a.Body, b.Body)
}

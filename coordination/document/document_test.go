package document

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// manyRoutes returns a document like an operator's, with about 300 bytes a route.
func manyRoutes(n int) []byte {
	random := rand.New(rand.NewPCG(5, 5))
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%x","host":"h%x.example","path":"/%x/","timeout_ms":15000,"objective_ms":1000,"priority":1,"split":[{"service":"s%x","weight":90},{"service":"s%x","weight":10}],"attempts_most":2,"public":false},`, i, random.Uint32(), random.Uint32(), i%3, i%4)
	}
	return []byte(b.String())
}

func TestDeltaRestoresAnyDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SliceOfN(rapid.Byte(), 0, 400)
		base := part.Draw(t, "base")
		next := append(append([]byte{}, part.Draw(t, "before")...), base...)
		next = append(next, part.Draw(t, "after")...)
		got, err := ApplyDelta(base, MakeDelta(base, next))
		if err != nil || string(got) != string(next) {
			t.Fatalf("%v", err)
		}
	})
}

func TestAChangeOfOneRouteCostsLittle(t *testing.T) {
	// Operators send 390 routes for each change, sixteen times a second, over links
	// of 375 KB a second. If the whole document were forwarded, each change would
	// take a third of a second to reach one follower.
	base := manyRoutes(390)
	next := append([]byte{}, base...)
	copy(next[50_000:], "7777")
	next = append(next[:70_000:70_000], append([]byte(`{"name":"r-new","host":"new.example","path":"/new/"},`), next[70_000:]...)...)
	delta := MakeDelta(base, next)
	assert.Assert(t, len(base) > 80_000)
	assert.Assert(t, len(delta) < 600, "%d bytes", len(delta))
	whole := MakeDelta(nil, next)
	assert.Assert(t, len(whole) < len(next)/4, "%d of %d bytes", len(whole), len(next))
}

func TestDamagedDeltasAreRefused(t *testing.T) {
	// A delta is damaged or was made from a longer base. It must give an error, not a
	// wrong document or a panic.
	base := manyRoutes(3)
	for _, operations := range [][]byte{{opCopy}, {opCopy, 1}, {opCopy, 0xff, 0xff, 0x7f, 1}, {opInsert, 9, 1}, {7}} {
		_, err := ApplyDelta(base, Compress(operations))
		assert.Assert(t, err != nil, "%v", operations)
	}
	_, err := ApplyDelta(base, []byte("no compressed data"))
	assert.Assert(t, err != nil)
}

// put applies a change to a machine and returns the outcome.
func put(m *Machine, base, next *Document) Outcome {
	return Outcome(m.Apply(0, MakeChange(base, next).Encode())[0])
}

func TestPuts(t *testing.T) {
	// Puts of repeated, competing and old versions and of changes made from another
	// document must each get the outcome by which an operator knows what to do.
	m := NewMachine()
	first := New(3, []byte("first"))
	assert.Equal(t, put(m, nil, first), Accepted)
	_, changed := m.InForce()

	// The answer was lost and the operator sends the change again.
	assert.Equal(t, put(m, nil, first), Held)
	// Two operators put different documents under one version. One of them must
	// learn that the other's content is in force.
	assert.Equal(t, put(m, nil, New(3, []byte("other"))), Conflict)
	assert.Equal(t, put(m, nil, New(2, []byte("older"))), Overtaken)

	// A change was made from a document that has since been replaced.
	second := New(4, []byte("second"))
	assert.Equal(t, put(m, first, second), Accepted)
	assert.Equal(t, put(m, first, New(5, []byte("third"))), OtherBase)
	select {
	case <-changed:
	default:
		t.Fatal("the channel of the document's changes wasn't closed")
	}
	inForce, _ := m.InForce()
	assert.Equal(t, string(inForce.Body), "second")
}

func TestSnapshotRestoresTheDocument(t *testing.T) {
	m := NewMachine()
	copied := NewMachine()
	assert.NilError(t, copied.Restore(m.Snapshot()))
	inForce, _ := copied.InForce()
	assert.Assert(t, inForce == nil)
	put(m, nil, New(9, manyRoutes(50)))
	assert.NilError(t, copied.Restore(m.Snapshot()))
	inForce, _ = copied.InForce()
	assert.Equal(t, inForce.Version, uint64(9))
	assert.Equal(t, string(inForce.Body), string(manyRoutes(50)))
	assert.Assert(t, copied.Restore([]byte("damage")) != nil)
}

func TestDamagedCommandsChangeNothing(t *testing.T) {
	// The log holds a command that can't be decoded or whose result has another
	// digest. Applying it must leave the document in force as it is.
	m := NewMachine()
	assert.Equal(t, Outcome(m.Apply(1, []byte("damage"))[0]), OtherBase)
	change := MakeChange(nil, New(1, []byte("x")))
	change.Result = Digest{1}
	assert.Equal(t, Outcome(m.Apply(2, change.Encode())[0]), OtherBase)
	inForce, _ := m.InForce()
	assert.Assert(t, inForce == nil)
}

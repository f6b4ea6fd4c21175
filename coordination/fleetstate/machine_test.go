package fleetstate

import (
	"bytes"
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/orders"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/table"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// CI runs the properties with one seed; -rapid.seed selects others.
func init() { _ = flag.Set("rapid.seed", "1") }

// drawCommand draws a command over few names, so that commands conflict.
func drawCommand(t *rapid.T, m *Machine) Command {
	small := func(label string) string { return fmt.Sprint(rapid.IntRange(0, 4).Draw(t, label)) }
	session := ownership.SessionID(rapid.Uint64Range(1, m.index+1).Draw(t, "session"))
	upstreams := []protocol.UpstreamID{protocol.UpstreamID(small("upstream")), protocol.UpstreamID(small("upstream"))}
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 10:
		return Command{Configure: &orders.Settings{RetentionMS: 60_000, MaxBytes: rapid.IntRange(0, 3000).Draw(t, "bytes"), MaxAnswer: 1}}
	case 0:
		return Command{Open: &ownership.Open{Router: protocol.RouterID(small("router")), Incarnation: m.index, DataCentre: "a", Address: "x", Capacity: 1}}
	case 1:
		return Command{Close: &ownership.Close{Session: session}}
	case 2:
		return Command{Stop: &ownership.Stop{Session: session}}
	case 3:
		return Command{Assign: &ownership.Assign{Targets: []ownership.Target{{Upstream: upstreams[0], Owner: session}, {Upstream: upstreams[1], Owner: session}}}}
	case 4:
		return Command{Move: &ownership.Move{Upstreams: upstreams}}
	case 5:
		held, _ := m.ownership.Assignment(upstreams[0])
		return Command{Release: &ownership.Release{Session: held.Owner, Held: []ownership.Held{{Upstream: held.Upstream, Fence: held.Fence}}}}
	case 6:
		return Command{Forget: &ownership.Forget{Upstreams: upstreams}}
	case 7:
		op := orders.Op(rapid.IntRange(0, 8).Draw(t, "op"))
		return Command{Order: &orders.Command{Op: op, Key: orders.Key{Customer: "c", Key: small("order")}, Holder: orders.Holder{Session: session, Attempt: 1}, At: int64(m.index) * 1000, Answer: &orders.Answer{Status: 200}}}
	case 8:
		return Command{Engine: drawEngineCommand(t, m, upstreams[0])}
	}
	key := small("key")
	expect := m.table.Revision(table.Routes, key)
	if rapid.Bool().Draw(t, "stale") {
		expect = rapid.Uint64Range(0, m.index).Draw(t, "expect")
	}
	edit := table.Edit{Sheet: table.Routes, Key: "/" + key, Expect: m.table.Revision(table.Routes, "/"+key)}
	if rapid.Bool().Draw(t, "delete") {
		edit.Delete = true
	} else {
		edit.Cells = []table.Cell{{Column: "service", Value: "s" + small("service")}, {Column: "idempotent", Value: "no"}}
	}
	customer := table.Edit{Sheet: table.Customers, Key: key, Expect: expect, Cells: []table.Cell{{Column: "key_hashes", Value: fmt.Sprintf("%064d", expect%7)}}}
	return Command{Change: &table.Change{ID: small("change") + small("change") + small("change"), Who: "w", At: 1, Edits: []table.Edit{edit, customer}[:1+rapid.IntRange(0, 1).Draw(t, "edits")]}}
}

// drawEngineCommand draws a command about orders to engines.
func drawEngineCommand(t *rapid.T, m *Machine, upstream protocol.UpstreamID) *engineorders.Command {
	office, _ := m.engines.Term()
	open, _ := m.engines.OpenOf(upstream)
	settle := &engineorders.Settle{Term: office, Upstream: upstream, Fence: open.Fence, Resolution: engineorders.TimedOut}
	switch rapid.IntRange(0, 4).Draw(t, "engine") {
	case 0:
		return &engineorders.Command{StartTerm: &engineorders.StartTerm{Router: "r"}}
	case 1:
		return &engineorders.Command{Confirm: settle}
	case 2:
		return &engineorders.Command{Abandon: settle}
	}
	intent := engineorders.Intent{Action: "load", Model: "m", Version: "v"}
	return &engineorders.Command{Issue: &engineorders.Issue{Term: office, Upstream: upstream, Intent: intent}}
}

// assertSame checks that a view holds exactly what the machine holds.
func assertSame(t *rapid.T, m *Machine, v *View) {
	rows := 0
	for _, sheet := range table.Sheets {
		for _, row := range m.table.Rows(sheet) {
			got, ok := v.Row(sheet, row.Key)
			assert.Assert(t, ok && got.Revision == row.Revision, "%s %s", sheet, row.Key)
			rows++
		}
	}
	assert.Equal(t, len(v.current.rows), rows)
	assert.Equal(t, len(v.current.sessions), len(m.ownership.Sessions()))
	assert.Equal(t, len(v.current.assignments), len(m.ownership.Assignments()))
	for _, assignment := range m.ownership.Assignments() {
		got, _ := v.Assignment(assignment.Upstream)
		assert.Equal(t, got, assignment)
	}
	for _, row := range m.table.Rows(table.Customers) {
		for _, hash := range table.CustomerOf(row).KeyHashes {
			customer, ok := v.CustomerByKeyHash(hash)
			assert.Assert(t, ok && string(customer.ID) == row.Key, hash)
		}
	}
}

// Guards against replicas that diverge and views that mix revisions. Whatever
// the commands, and wherever a voter is restored from a snapshot, replicas
// hold the same bytes and return the same results. A router receives deltas in
// chunks of any size, with duplicates and losses, while the state goes on
// changing. Its view always holds one whole revision, never goes back, and in
// the end holds everything.
func TestReplicasAndViewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second, view := New(DefaultSettings()), New(DefaultSettings()), NewView()
		for index := uint64(1); index < 60; index++ {
			encoded := drawCommand(t, first).Encode()
			assert.Assert(t, bytes.Equal(first.Apply(index, encoded), second.Apply(index, encoded)))
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				snapshot := second.Snapshot()
				assert.Assert(t, bytes.Equal(first.Snapshot(), snapshot))
				second = New(DefaultSettings())
				assert.NilError(t, second.Restore(snapshot))
			}
			before, content := view.Revision(), fmt.Sprint(view.current)
			delta := second.DeltaSince(view.Position(), rapid.IntRange(0, 200).Draw(t, "budget"))
			for range rapid.IntRange(0, 2).Draw(t, "copies") {
				view.ApplyDelta(delta)
			}
			assert.Assert(t, view.Revision() >= before)
			assert.Assert(t, view.Revision() > before || fmt.Sprint(view.current) == content, "a mixture of revisions")
		}
		for view.Revision() < first.Revision() {
			assert.Assert(t, view.ApplyDelta(first.DeltaSince(view.Position(), 100)))
		}
		assertSame(t, first, view)
	})
}

// Guards against a snapshot that mixes revisions. A snapshot of many orders is
// encoded while the voter applies further commands. It must hold the state as
// of its capture, byte for byte.
func TestCaptureIsASnapshotInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(DefaultSettings())
		for index := uint64(1); index < 30; index++ {
			m.Apply(index, drawCommand(t, m).Encode())
		}
		want := m.Snapshot()
		encode := m.Capture()
		got := make(chan []byte)
		go func() { got <- encode() }()
		for index := uint64(30); index < 60; index++ {
			m.Apply(index, drawCommand(t, m).Encode())
		}
		assert.Assert(t, bytes.Equal(<-got, want))
	})
}

// Guards against a router that serves deleted rows forever. While it was away,
// more rows were deleted than the machine remembers, so the changes alone do
// not tell it about all removals. It must start from an empty state.
func TestViewBelowTombstoneFloorIsReset(t *testing.T) {
	m, view := New(DefaultSettings()), NewView()
	index := uint64(0)
	apply := func(edit table.Edit) {
		index++
		change := table.Change{ID: fmt.Sprint(index), Who: "w", Edits: []table.Edit{edit}}
		result, err := DecodeResult(m.Apply(index, Command{Change: &change}.Encode()))
		assert.NilError(t, err)
		assert.Equal(t, result.Change.Outcome, table.Committed)
	}
	for i := range maxTombstones + 1 {
		apply(table.Edit{Sheet: table.Models, Key: fmt.Sprint("m", i), Cells: nil})
	}
	assert.Assert(t, view.ApplyDelta(m.DeltaSince(view.Position(), 1<<30)))
	for i := range maxTombstones + 1 {
		key := fmt.Sprint("m", i)
		apply(table.Edit{Sheet: table.Models, Key: key, Expect: m.table.Revision(table.Models, key), Delete: true})
	}
	restored := New(DefaultSettings())
	assert.NilError(t, restored.Restore(m.Snapshot()))
	delta := restored.DeltaSince(view.Position(), 1<<30)
	assert.Equal(t, delta.Reset, true)
	assert.Assert(t, view.ApplyDelta(delta))
	assert.Equal(t, len(view.current.rows), 0)
	assert.Equal(t, view.Revision(), index)
}

// One change moves a key hash from one customer to another. The key must
// belong to the new customer, whichever of the two rows comes first in the
// delta.
func TestKeyHashMoves(t *testing.T) {
	row := func(key, hash string) table.Row {
		return table.Row{Sheet: table.Customers, Key: key, Cells: []string{hash, "1", "1", "0", "0", "0", ""}}
	}
	for _, order := range [][]table.Row{{row("a", "h2"), row("b", "h1")}, {row("b", "h1"), row("a", "h2")}} {
		view := NewView()
		view.current.putRow(row("a", "h1"))
		view.current.putRow(order[0])
		view.current.putRow(order[1])
		for hash, want := range map[string]string{"h1": "b", "h2": "a"} {
			customer, _ := view.CustomerByKeyHash(hash)
			assert.Equal(t, string(customer.ID), want)
		}
	}
}

// RouteFor must find the longest route that ends at a path segment.
func TestRouteFor(t *testing.T) {
	view := NewView()
	for _, prefix := range []string{"/desk", "/desk/orders", "/x/"} {
		view.current.putRow(table.Row{Sheet: table.Routes, Key: prefix, Cells: []string{"s", "no", "1"}})
	}
	for path, want := range map[string]string{
		"/desk": "/desk", "/desk/a": "/desk", "/desk/orders/7": "/desk/orders",
		"/desk/ordersheet": "/desk", "/desks": "", "/x/y": "/x/", "/": "", "": "",
	} {
		route, _ := view.RouteFor(path)
		assert.Equal(t, route.Prefix, want, path)
	}
}

// Guards against a voter that stops at bytes that no leader of this version
// wrote (a bug, a newer version, a flipped bit). All voters would stop at the
// same entry, at every start.
func FuzzApply(f *testing.F) {
	f.Add(Command{Order: &orders.Command{Op: orders.OpReserve, Key: orders.Key{Customer: "c", Key: "k"}}}.Encode())
	f.Add(Command{Assign: &ownership.Assign{Targets: []ownership.Target{{Upstream: "u", Owner: 1}}}}.Encode())
	f.Add(Command{Change: &table.Change{ID: "1", Who: "w", Edits: []table.Edit{{Sheet: table.Models, Key: "m"}}}}.Encode())
	f.Fuzz(func(t *testing.T, encoded []byte) {
		m := New(DefaultSettings())
		m.Apply(1, Command{Open: &ownership.Open{Router: "r", Address: "a", Capacity: 1}}.Encode())
		result, err := DecodeResult(m.Apply(2, encoded))
		assert.NilError(t, err)
		assert.Assert(t, result.Outcome == Ran || result.Outcome == Malformed)
		assert.NilError(t, New(DefaultSettings()).Restore(m.Snapshot()))
		_ = New(DefaultSettings()).Restore(encoded)
		NewView().ApplyDelta(m.DeltaSince(Position{}, 1))
	})
}

// BenchmarkOrders measures one whole order (reserve, dispatch, done with a
// body of 300 bytes) in the machine: the time, the bytes in the log, and the
// bytes in the snapshot. Run it with -benchtime=20000x.
func BenchmarkOrders(b *testing.B) {
	settings := DefaultSettings()
	settings.Orders.MaxBytes = 1 << 30
	m := New(settings)
	m.Apply(1, Command{Open: &ownership.Open{Router: "r", Capacity: 1}}.Encode())
	empty := len(m.Snapshot())
	logged := 0
	for i := range b.N {
		order := orders.Command{Op: orders.OpReserve, Key: orders.Key{Customer: "customer-1234", Key: fmt.Sprintf("%016x", i)}, Digest: orders.Digest{1}, At: 1_700_000_000_000}
		for _, op := range []orders.Op{orders.OpReserve, orders.OpDispatch, orders.OpDone} {
			order.Op = op
			if op != orders.OpReserve {
				order.Holder = orders.Holder{Session: 1, Token: uint64(i), Attempt: 1}
			}
			if op == orders.OpDone {
				order.Answer = &orders.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 300)}
			}
			encoded := Command{Order: &order}.Encode()
			logged += len(encoded)
			m.Apply(m.index+1, encoded)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(logged)/float64(b.N), "log-B/order")
	start := time.Now()
	encode := m.Capture()
	b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "capture-ms")
	start = time.Now()
	b.ReportMetric(float64(len(encode())-empty)/float64(b.N), "snapshot-B/order")
	b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "encode-ms")
}

// BenchmarkView measures a router's copy of 2,400 customers, 790 assignments
// and 330 sessions: the bytes to send all of it, in chunks of 16 KB, and its
// memory.
func BenchmarkView(b *testing.B) {
	m := New(DefaultSettings())
	var edits []table.Edit
	for i := range 2400 {
		edits = append(edits, table.Edit{Sheet: table.Customers, Key: fmt.Sprintf("customer-%04d", i), Cells: []table.Cell{{Column: "key_hashes", Value: fmt.Sprintf("%064x", i)}}})
	}
	m.Apply(1, Command{Change: &table.Change{ID: "1", Who: "w", Edits: edits}}.Encode())
	for i := range 330 {
		m.Apply(uint64(i+2), Command{Open: &ownership.Open{Router: protocol.RouterID(fmt.Sprintf("router-%03d", i)), DataCentre: "north-1", Address: "10.0.12.34:7000", Capacity: 100}}.Encode())
	}
	var targets []ownership.Target
	for i := range 790 {
		targets = append(targets, ownership.Target{Upstream: protocol.UpstreamID(fmt.Sprintf("engine-%03d", i)), Owner: ownership.SessionID(2 + i%330)})
	}
	m.Apply(400, Command{Assign: &ownership.Assign{Targets: targets}}.Encode())
	for range b.N {
		sent, chunks := 0, 0
		view := NewView()
		before := heap()
		for view.Revision() < m.Revision() {
			encoded := codec.MarshalArrays(m.DeltaSince(view.Position(), 16<<10))
			var delta Delta
			assert.NilError(b, codec.Unmarshal(encoded, &delta))
			assert.Assert(b, view.ApplyDelta(delta))
			sent += len(encoded)
			chunks++
		}
		b.ReportMetric(float64(heap()-before), "heap-B/view")
		b.ReportMetric(float64(sent), "catch-up-B")
		b.ReportMetric(float64(chunks), "chunks")
		runtime.KeepAlive(view)
	}
	b.ReportMetric(float64(len(m.Snapshot())), "snapshot-B")
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

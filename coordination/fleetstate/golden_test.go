package fleetstate

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"endiveplank/coordination/orders"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/table"
	"endiveplank/protocol"
)

// sessionCommands returns the commands of a short session: a router joins, a
// customer and a route are created, two operators write the same row, an
// upstream is owned and released, one order runs, another is sealed, and the
// router leaves.
func sessionCommands() []Command {
	weight := func(id string, expect uint64, value string) Command {
		return Command{Change: &table.Change{ID: id, Who: "ana", Why: "season", At: 1_700_000_000_000, Edits: []table.Edit{
			{Sheet: table.Customers, Key: "ramp", Expect: expect, Cells: []table.Cell{{Column: "weight", Value: value}}},
		}}}
	}
	setup := weight("setup", 0, "250")
	setup.Change.Edits[0].Cells = append(setup.Change.Edits[0].Cells, table.Cell{Column: "key_hashes", Value: strings.Repeat("ab", 32)})
	setup.Change.Edits = append(setup.Change.Edits, table.Edit{Sheet: table.Routes, Key: "/desk", Cells: []table.Cell{{Column: "service", Value: "desk"}, {Column: "idempotent", Value: "no"}}})
	order := func(op orders.Op, key string, answer *orders.Answer) Command {
		command := orders.Command{Op: op, Key: orders.Key{Customer: "ramp", Key: key}, Digest: orders.Digest{1, 2}, At: 1_700_000_000_000, Answer: answer}
		if op != orders.OpReserve {
			command.Holder = orders.Holder{Session: 1, Token: 7, Attempt: 1}
		}
		return Command{Order: &command}
	}
	return []Command{
		{Open: &ownership.Open{Router: "r1", Incarnation: 3, DataCentre: "north", Address: "10.0.0.1:7000", Capacity: 100}},
		setup,
		weight("won", 2, "300"),
		weight("lost", 2, "400"),
		weight("wrong", 3, "heavy"),
		{Assign: &ownership.Assign{Targets: []ownership.Target{{Upstream: "engine-1", Owner: 1}}}},
		{Move: &ownership.Move{Upstreams: []protocol.UpstreamID{"engine-1"}}},
		{Release: &ownership.Release{Session: 1, Held: []ownership.Held{{Upstream: "engine-1", Fence: 6}}}},
		order(orders.OpReserve, "uplift-1", nil),
		order(orders.OpDispatch, "uplift-1", nil),
		order(orders.OpDone, "uplift-1", &orders.Answer{Status: 201, ContentType: "text/plain", Body: []byte("ticket 1")}),
		order(orders.OpReserve, "uplift-1", nil),
		order(orders.OpSeal, "uplift-2", nil),
		{Configure: &orders.Settings{RetentionMS: 3_600_000, MaxBytes: 1 << 20, MaxAnswer: 100}},
		{Stop: &ownership.Stop{Session: 1}},
		{Close: &ownership.Close{Session: 1}},
		{Forget: &ownership.Forget{Upstreams: []protocol.UpstreamID{"engine-1"}}},
	}
}

// Guards against an encoding that differs from the previous version's. A fleet
// is updated VM by VM, so a voter reads a log and a snapshot that the previous
// version wrote. The bytes of commands, results and snapshots must stay the
// same. A change of them is a new format, and needs code that still reads the
// old one.
func TestGoldenSession(t *testing.T) {
	m := New(DefaultSettings())
	var out strings.Builder
	for i, command := range sessionCommands() {
		encoded := command.Encode()
		result, err := DecodeResult(m.Apply(uint64(i+1), encoded))
		assert.NilError(t, err)
		shown, err := json.Marshal(result)
		assert.NilError(t, err)
		fmt.Fprintf(&out, "%d command %s\n%d result %s\n", i+1, hex.EncodeToString(encoded), i+1, shown)
	}
	fmt.Fprintf(&out, "snapshot %s\n", hex.EncodeToString(m.Snapshot()))
	golden.Assert(t, out.String(), "session.golden")
	restored := New(DefaultSettings())
	assert.NilError(t, restored.Restore(m.Snapshot()))
	assert.Equal(t, restored.Orders().Settings().RetentionMS, int64(3_600_000))
}

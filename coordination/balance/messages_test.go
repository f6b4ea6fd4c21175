package balance

import (
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/retryschedule"
	"endiveplank/protocol/codec"
)

func TestReservationsAreReported(t *testing.T) {
	// Guards: a report of reservations alone counts as empty, or loses them on the way.
	report := LoadReport{Reservations: []retryschedule.Reported{{Digest: 1<<32 - 1, DueIn: 1500}, {Digest: 7, DueIn: -1}}}
	assert.Assert(t, !report.empty())
	for _, encoded := range [][]byte{codec.Marshal(report), codec.MarshalArrays(report)} {
		var decoded LoadReport
		assert.NilError(t, codec.Unmarshal(encoded, &decoded))
		assert.DeepEqual(t, decoded, report)
	}
}

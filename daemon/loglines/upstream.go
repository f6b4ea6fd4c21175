package loglines

import (
	"github.com/rs/zerolog"

	"endiveplank/coordination/roster"
)

// Upstream writes a line with the state that a process lists for an upstream from now on.
func Upstream(log zerolog.Logger, e roster.Entry) {
	line := log.Info().Str("event", "upstream").Str("upstream", string(e.ID)).Stringer("state", e.State).
		Str("service", string(e.Service)).Str("address", e.Address).Int64("born", e.StartedAt).Uint64("sequence", e.Sequence)
	if e.ColdFor > 0 {
		line.Int64("cold_ms", e.ColdFor.Milliseconds())
	}
	line.Send()
}

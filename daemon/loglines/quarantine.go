package loglines

import (
	"github.com/rs/zerolog"

	"endiveplank/coordination/crashes"
	"endiveplank/protocol"
)

// Quarantined writes a line for what is refused from now on. from is the disk VM that said so, "" for
// the one that writes the line.
func Quarantined(log zerolog.Logger, from protocol.RouterID, q crashes.Quarantine) {
	log.Warn().Str("event", "quarantined").Str("disk_vm", string(from)).Stringer("kind", q.Kind).Uint64("digest", q.Key).
		Int("times", q.Times).Int64("left_ms", q.Left.Milliseconds()).Send()
}

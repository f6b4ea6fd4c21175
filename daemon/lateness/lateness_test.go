package lateness

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

func TestOnlyDelaysAboveTheToleranceAreLogged(t *testing.T) {
	// Guards against delays that an operator can't find in the log: a VM was suspended for two
	// seconds, which Go's monotonic clock doesn't show, or its processor was taken for one.
	// Ticks that are only a little late write no line.
	tests := map[string]struct {
		ran, passed time.Duration
		line        string
	}{
		"on time":       {ran: 50 * time.Millisecond, passed: 50 * time.Millisecond},
		"a little late": {ran: 300 * time.Millisecond, passed: 300 * time.Millisecond},
		"processor taken": {ran: time.Second, passed: time.Second,
			line: `"late_ms":950,"suspended_ms":0`},
		"suspended": {ran: 50 * time.Millisecond, passed: 2050 * time.Millisecond,
			line: `"late_ms":0,"suspended_ms":2000`},
		"no boot-time clock": {ran: time.Second, passed: 0,
			line: `"late_ms":950,"suspended_ms":0`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var lines bytes.Buffer
			m := &Monitor{log: zerolog.New(&lines)}
			m.check(50*time.Millisecond, test.ran, test.passed)
			if test.line == "" {
				assert.Equal(t, lines.String(), "")
				return
			}
			assert.Assert(t, strings.Contains(lines.String(), test.line), lines.String())
			assert.Assert(t, strings.Contains(lines.String(), `"event":"held-up"`))
		})
	}
}

package exchange

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/transport/strict/stricttest"
)

// Guards: an upstream answers a long upload at once with neither a length nor chunks and resets the
// connection while the upload is being written; the write takes the error of the reset, and the next
// read finds what looks like the end of a whole answer.
func TestEarlyAnswerIsCompleteOnlyIfItsConnectionWasNotReset(t *testing.T) {
	const raw = "HTTP/1.1 200 OK\r\nX-Name: 1\r\n\r\nthe answer"
	for name, tc := range map[string]struct {
		ending   stricttest.Ending
		complete bool
	}{
		"reset":              {stricttest.Reset, false},
		"half closed":        {stricttest.HalfClose, true},
		"closed, then reset": {stricttest.CloseUnread, true},
	} {
		for _, wait := range []time.Duration{0, 150 * time.Millisecond} {
			t.Run(name+", read after "+wait.String(), func(t *testing.T) {
				p := NewPool(Options{})
				defer p.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				address := stricttest.Start(t, raw, tc.ending)
				answer, err := p.Send(ctx, address, request("1", strings.Repeat("x", stricttest.UploadBytes)), idOf)
				assert.NilError(t, err)
				defer answer.Close()
				time.Sleep(wait)
				body, err := io.ReadAll(readerFunc(answer.Read))
				assert.Equal(t, err == nil, tc.complete, "%v", err)
				if tc.complete {
					assert.Equal(t, string(body), "the answer")
				}
			})
		}
	}
}

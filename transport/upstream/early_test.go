package upstream

import (
	"bytes"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/node"
	"endiveplank/protocol/fleet"
	"endiveplank/transport/strict/stricttest"
)

// Guards: the relay fleet takes the part of an answer for the whole that came before its connection
// was reset, while the upload was being written.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	const raw = "HTTP/1.1 200 OK\r\n\r\nthe whole answer"
	for name, tc := range map[string]struct {
		ending   stricttest.Ending
		complete bool
	}{"reset": {stricttest.Reset, false}, "half closed": {stricttest.HalfClose, true}, "closed, then reset": {stricttest.CloseUnread, true}} {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				sink := &recordingSink{ended: make(chan node.UpstreamEnd, 1)}
				client := New(sink, nil)
				attempt := fleet.Attempt{Request: "r1-1", Number: 1}
				client.Call(node.CallUpstream{Attempt: attempt, Address: stricttest.Start(t, raw, tc.ending), Place: fleet.Place{
					Attempt: attempt, Method: http.MethodPost, Path: "/orders", Body: bytes.Repeat([]byte("x"), stricttest.UploadBytes),
				}})
				client.Wait()
				end := <-sink.ended
				assert.Assert(t, end.Sent)
				assert.Equal(t, end.Complete, tc.complete)
			}
		})
	}
}

package announce

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/node"
)

type inputRecorder []node.Input

func (i *inputRecorder) Input(in node.Input) { *i = append(*i, in) }

const validAnnouncement = `{"id":"e1","kind":"engine","address":"127.0.0.1:9","data_centre":"dc1","models":["m"],"capacity":10,"max_concurrent":4}`

// A faulty upstream or an unknown sender sends an invalid announcement. The handler
// must reply with the reason, count it, and pass nothing on.
func TestBadAnnouncementsChangeNothing(t *testing.T) {
	for name, tc := range map[string]struct{ old, new, message string }{
		"no id":         {`"e1"`, `""`, "id must"},
		"host name":     {`127.0.0.1:9`, `engine.local:9`, "address"},
		"no capacity":   {`"capacity":10`, `"capacity":0`, "capacity"},
		"negative load": {`"models"`, `"load":{"running":-1},"models"`, "load"},
		"kind":          {`"engine"`, `"toaster"`, "kind"},
		"not JSON":      {`{"id"`, `{"id`, "isn't an announcement"},
		"oversized":     {`"e1"`, `"` + strings.Repeat("x", maxBytes) + `"`, "too large"},
	} {
		t.Run(name, func(t *testing.T) {
			var seen inputRecorder
			handler := New(&seen)
			body := strings.Replace(validAnnouncement, tc.old, tc.new, 1)
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest("POST", "/v1/upstreams/announce", strings.NewReader(body)))
			assert.Equal(t, recorder.Code, 400)
			assert.Assert(t, strings.Contains(recorder.Body.String(), tc.message), recorder.Body.String())
			assert.Equal(t, len(seen), 0)
			assert.Equal(t, handler.Refused(), uint64(1))
		})
	}
}

func TestValidAnnouncementReachesTheCore(t *testing.T) {
	var seen inputRecorder
	recorder := httptest.NewRecorder()
	New(&seen).ServeHTTP(recorder, httptest.NewRequest("POST", "/v1/upstreams/announce", strings.NewReader(validAnnouncement)))
	assert.Equal(t, recorder.Code, 200)
	assert.Equal(t, len(seen), 1)
}

package desk_test

import (
	"encoding/json"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"endiveplank/protocol"
	"endiveplank/standin/desk"
)

func start(t *testing.T, settings desk.Settings) *desk.Server {
	t.Helper()
	settings.ID, settings.Listen = "desk1", "127.0.0.1:0"
	server, err := desk.Start(settings)
	assert.NilError(t, err)
	return server
}

// order posts an order. An error means that no complete answer arrived.
func order(server *desk.Server, key, body string) (desk.Answer, error) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+server.Address()+desk.OrdersSuffix, strings.NewReader(body))
	request.Header.Set(protocol.IdempotencyKeyHeader, key)
	var answer desk.Answer
	// With reused connections, the client could send a request a second time
	// itself.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}
	reply, err := client.Do(request)
	if err != nil {
		return answer, err
	}
	defer reply.Body.Close()
	read, err := io.ReadAll(reply.Body)
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(read, &answer)
}

// After each of these faults, a router that gets no answer must not send the order
// again, since the order may have run and would then run twice. The audit must
// distinguish an order that ran and whose answer was lost from one that did not
// run. The desk must restart after a crash.
func TestFaultsAroundTheRun(t *testing.T) {
	cases := map[string]struct {
		faults   desk.Faults
		runs     int
		answered bool
	}{
		"none":         {desk.Faults{}, 1, true},
		"lose answer":  {desk.Faults{LoseAnswer: 1}, 1, false},
		"crash before": {desk.Faults{CrashBefore: 1}, 0, false},
		"crash after":  {desk.Faults{CrashAfter: 1}, 1, false},
	}
	for name, test := range cases {
		server := start(t, desk.Settings{Faults: test.faults, RestartAfter: time.Millisecond})
		answer, err := order(server, "k1", "1200 gal")
		assert.Equal(t, err == nil, test.answered, name)
		assert.Equal(t, server.Audit().Keys["k1"].Count, test.runs, name)
		if test.answered {
			assert.DeepEqual(t, answer, desk.AnswerFor("k1", []byte("1200 gal")))
		}
		server.SetFaults(desk.Faults{})
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, err := order(server, "k2", "back"); err != nil {
				return poll.Continue("%s: %v", name, err)
			}
			return poll.Success()
		})
		server.Close()
	}
}

// The desk runs a duplicate order again, and the audit must show both runs even if
// the desk restarted between them. Otherwise a test of the fleet would miss the
// duplicate.
func TestDuplicateRunIsVisibleAcrossRestart(t *testing.T) {
	journal := filepath.Join(t.TempDir(), "runs.jsonl")
	for range 2 {
		server := start(t, desk.Settings{Journal: journal})
		_, err := order(server, "k1", "1200 gal")
		assert.NilError(t, err)
		server.Close()
	}
	server := start(t, desk.Settings{Journal: journal})
	defer server.Close()
	assert.Equal(t, server.Audit().Total, 2)
	assert.Equal(t, server.Audit().Keys["k1"].Count, 2)
	_, err := order(server, "", "no key")
	assert.NilError(t, err)
	assert.Equal(t, server.Audit().Total, 2, "an order without a key does not run")
}

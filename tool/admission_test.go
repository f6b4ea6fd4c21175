package tool

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/transport/admissionview"
)

// runAdmission runs the command against a router that answers with a view.
func runAdmission(t *testing.T, view admissionview.View, arguments ...string) (string, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != admissionview.Path {
			_, _ = w.Write([]byte("endiveplank_ready 1\n"))
			return
		}
		assert.Check(t, json.NewEncoder(w).Encode(view))
	}))
	defer server.Close()
	command := NewCommand()
	var out bytes.Buffer
	command.SetOut(&out)
	command.SetArgs(append([]string{"admission", "--router", strings.TrimPrefix(server.URL, "http://")}, arguments...))
	err := command.Execute()
	return out.String(), err
}

// shortView is the view of a fleet with one service that is short of capacity and one that isn't.
var shortView = admissionview.View{
	Router: "10.0.0.1:74", Enabled: true, Reservations: 12,
	Services: []admissionview.Service{{
		Service: "desk", Short: true, Routers: 29, Slots: 12, InFlight: 14, Limit: 180, Free: 4, InTime: 176, Late: 3,
		Ranks:     []admissionview.Rank{{Rank: 0, Arrived: 50, Admitted: 50}, {Rank: 1, Arrived: 200, Admitted: 126, Refused: 74}},
		Customers: []admissionview.Customer{{Customer: "acme", Arrived: 120, Admitted: 60.5, Refused: 59.5, Share: 61}},
		Due:       []int{0, 3, 2}, RestCustomers: 16, RestArrived: 40,
	}, {Service: "quiet", Slots: 6}},
}

func TestAdmissionShowsWhoIsRefused(t *testing.T) {
	// Guards: an operator can't see which rank and which customer is refused, and what its share is.
	output, err := runAdmission(t, shortView)
	assert.NilError(t, err)
	rows := map[string]bool{}
	for line := range strings.Lines(output) {
		rows[strings.Join(strings.Fields(line), " ")] = true
	}
	for _, row := range []string{
		"desk limited 29 12 14 180.0 4.0 176.0 3.0", "quiet ok 0 6 0 - - 0.0 0.0",
		"1 200.0 126.0 74.0", "acme 120.0 60.5 59.5 61.0", "16 others 40.0",
		"reservations of this router by second from now: 0 3 2",
	} {
		assert.Assert(t, rows[row], "%q in\n%s", row, output)
	}
	text, err := runAdmission(t, shortView, "--output", "json")
	assert.NilError(t, err)
	var read admissionview.View
	assert.NilError(t, json.Unmarshal([]byte(text), &read))
	assert.DeepEqual(t, read, shortView)
}

func TestAdmissionFailuresSayWhatToDo(t *testing.T) {
	// Guards: with admission off an operator sees an empty table, as if nothing were short.
	var failure *Failure
	_, err := runAdmission(t, admissionview.View{Router: "10.0.0.1:74"})
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Status, ExitRefused)
	_, err = runAdmission(t, shortView, "--router", "127.0.0.1:1")
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Status, ExitUnreachable)
	_, err = runAdmission(t, shortView, "--router", "")
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Status, ExitUsage)
}

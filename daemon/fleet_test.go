package daemon

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"endiveplank/coordination/table"
	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/settings"
	"endiveplank/standin/desk"
	"endiveplank/standin/engine"
)

// testTimeout bounds how long a test waits for something that must happen. It is far beyond what a
// busy machine needs, so it decides no test by itself.
const testTimeout = 60 * time.Second

// testFleet is a fleet of daemons in this process, on real sockets and disks.
type testFleet struct {
	t       *testing.T
	daemons []*Daemon
	configs []settings.Settings
}

// newTestFleet starts three voters.
func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	return newTestFleetWith(t, 0, func(*settings.Settings) {})
}

// newTestFleetWith starts three voters and some spares. change may change each daemon's settings.
func newTestFleetWith(t *testing.T, spares int, change func(*settings.Settings)) *testFleet {
	t.Helper()
	f := &testFleet{t: t}
	var peers []settings.Peer
	var spareIDs []protocol.RouterID
	for i := range 3 + spares {
		s := f.settingsOf(i)
		if i >= 3 {
			s.Role = settings.RoleSpare
			spareIDs = append(spareIDs, s.RouterID)
		}
		change(&s)
		peers = append(peers, settings.Peer{RouterID: s.RouterID, Address: s.Listen.Peers})
		f.configs = append(f.configs, s)
	}
	t.Cleanup(f.stop)
	for i := range f.configs {
		f.configs[i].Peers = peers
		f.configs[i].Spares = spareIDs
		f.daemons = append(f.daemons, f.start(i))
	}
	f.awaitReady()
	return f
}

// settingsOf returns the settings of one process as a voter, without peers.
func (f *testFleet) settingsOf(i int) settings.Settings {
	f.t.Helper()
	s := settings.Defaults()
	s.RouterID = protocol.RouterID(fmt.Sprintf("r%d", i+1))
	s.Role = settings.RoleVoter
	s.DataCentre = protocol.DataCentre(fmt.Sprintf("dc%d", i+1))
	s.DataFolder = f.t.TempDir()
	s.Voters = []protocol.RouterID{"r1", "r2", "r3"}
	s.Listen = settings.Listen{Callers: freeAddress(f.t), Upstreams: freeAddress(f.t), Admin: freeAddress(f.t), Peers: freeAddress(f.t)}
	s.Timing.UnreadyMS = 0
	s.Timing.ReplaceVoterMS = 2_000
	return s
}

func (f *testFleet) awaitReady() {
	f.t.Helper()
	f.await("every router is ready", func() bool {
		for _, d := range f.daemons {
			if !d.runner.Ready() {
				return false
			}
		}
		return true
	})
}

// freeAddress returns an unused address. It picks one from the whole loopback range and from ports
// that the system doesn't use for outgoing connections, so that nothing takes the address before
// the daemon listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		address := fmt.Sprintf("127.%d.%d.%d:%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250), 20_000+rand.IntN(10_000))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		assert.NilError(t, listener.Close())
		return address
	}
}

func (f *testFleet) start(i int) *Daemon {
	d, err := New(f.configs[i], zerolog.Nop())
	assert.NilError(f.t, err)
	assert.NilError(f.t, d.Start())
	return d
}

// stop stops all daemons at once. Nobody is left to take over their upstreams and requests, so
// they get little time.
func (f *testFleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	var stopped sync.WaitGroup
	for _, d := range f.daemons {
		if d != nil {
			stopped.Go(func() { d.Stop(ctx) })
		}
	}
	stopped.Wait()
}

// kill ends a daemon without a planned stop: its sockets close and its loops end.
func (f *testFleet) kill(i int) {
	d := f.daemons[i]
	f.daemons[i] = nil
	d.abort()
}

func (f *testFleet) await(what string, holds func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("condition not met within %v: %s", testTimeout, what)
}

func (f *testFleet) upstreamAddresses() []string {
	var addresses []string
	for _, s := range f.configs {
		addresses = append(addresses, s.Listen.Upstreams)
	}
	return addresses
}

// engine starts a model engine and waits until it has an owner in every router's view.
func (f *testFleet) engine(id string, change func(*engine.Settings)) *engine.Server {
	f.t.Helper()
	s := engine.DefaultSettings(protocol.UpstreamID(id))
	s.Models = []protocol.Model{"m1"}
	s.DataCentre = "dc1"
	s.Announce = f.upstreamAddresses()
	if change != nil {
		change(&s)
	}
	server, err := engine.Start(s)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { server.Close() })
	f.awaitOwner(id)
	return server
}

func (f *testFleet) desk() *desk.Server {
	f.t.Helper()
	server, err := desk.Start(desk.Settings{ID: "desk1", Service: "orders", DataCentre: "dc3", Listen: "127.0.0.1:0", Announce: f.upstreamAddresses()})
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { server.Close() })
	f.awaitOwner("desk1")
	return server
}

func (f *testFleet) awaitOwner(id string) {
	f.t.Helper()
	f.await("upstream "+id+" has an owner in every router's view", func() bool {
		for _, d := range f.daemons {
			owned := false
			for _, upstream := range d.Status(context.Background()).Upstreams {
				owned = owned || (string(upstream.Upstream) == id && upstream.Owner != "")
			}
			if !owned {
				return false
			}
		}
		return true
	})
}

// change edits one row through a router and returns the answer.
func (f *testFleet) change(d *Daemon, id string, edit table.Edit) table.Answer {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	answer, err := d.Change(ctx, table.Change{ID: id, Who: "test", Why: "test", Edits: []table.Edit{edit}})
	assert.NilError(f.t, err)
	return answer
}

// setUp adds a customer with the key "key-a" and an order route.
func (f *testFleet) setUp() {
	digest := sha256.Sum256([]byte("key-a"))
	f.change(f.daemons[0], "customer", table.Edit{Sheet: table.Customers, Key: "a", Cells: []table.Cell{{Column: "key_hashes", Value: hex.EncodeToString(digest[:])}}})
	f.change(f.daemons[0], "route", table.Edit{Sheet: table.Routes, Key: "/svc/orders", Cells: []table.Cell{{Column: "service", Value: "orders"}, {Column: "idempotent", Value: "no"}}})
}

// call sends a request to router i and returns status, headers and body.
func (f *testFleet) call(i int, path, body string, headers ...string) (int, http.Header, string) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.configs[i].Listen.Callers+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	request.Header.Set("Authorization", "Bearer key-a")
	for n := 0; n+1 < len(headers); n += 2 {
		request.Header.Set(headers[n], headers[n+1])
	}
	client := &http.Client{Timeout: testTimeout}
	response, err := client.Do(request)
	assert.NilError(f.t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.NilError(f.t, err)
	return response.StatusCode, response.Header, string(raw)
}

const chatBody = `{"model":"m1","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"fuel?"}]}`

// contents joins the content of the data lines of an event stream. It leaves out what differs
// between requests.
func contents(body string) string {
	var text strings.Builder
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		line := scanner.Text()
		if i := strings.Index(line, `"content":"`); i >= 0 {
			rest := line[i+len(`"content":"`):]
			text.WriteString(rest[:strings.IndexByte(rest, '"')])
		}
	}
	return text.String()
}

// A caller sends the same chat through each router. Whichever router owns the engine, the answer
// must be complete and the same.
func TestChatThroughEveryRouterGivesTheSameWholeAnswer(t *testing.T) {
	f := newTestFleet(t)
	f.setUp()
	f.engine("e1", nil)
	var first string
	for i := range f.daemons {
		status, headers, body := f.call(i, upstreamapi.CompletionsPath, chatBody)
		assert.Equal(t, status, 200)
		assert.Equal(t, headers.Get(protocol.RunOutcomeHeader), "ran")
		assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"), body)
		if first == "" {
			first = contents(body)
		}
		assert.Equal(t, contents(body), first)
	}
}

// A key leaks and an operator disables its customer. Once the edit is accepted, no router may
// serve the customer.
func TestDisabledCustomerIsForbiddenEverywhere(t *testing.T) {
	f := newTestFleet(t)
	f.setUp()
	f.engine("e1", nil)
	revision := f.daemons[0].Rows(table.Customers)[0].Revision
	answer := f.change(f.daemons[1], "off", table.Edit{
		Sheet: table.Customers, Key: "a", Expect: revision, Cells: []table.Cell{{Column: "disabled", Value: "yes"}},
	})
	assert.Equal(t, answer.Outcome, table.Committed)
	for i := range f.daemons {
		status, headers, _ := f.call(i, upstreamapi.CompletionsPath, chatBody)
		assert.Equal(t, status, 403)
		assert.Equal(t, headers.Get(protocol.RunOutcomeHeader), "not-run")
	}
}

// A dispatcher sends an order, and sends it again through other routers because the first answer
// takes long. The order must run once, and every attempt must get the same answer. The same key
// with another order is refused.
func TestOrderSentAgainThroughAnotherRouterRunsOnce(t *testing.T) {
	f := newTestFleet(t)
	f.setUp()
	server := f.desk()
	var first string
	for i := range f.daemons {
		status, headers, body := f.call(i, "/svc/orders/orders", `{"gallons":900}`, protocol.IdempotencyKeyHeader, "o-1")
		assert.Equal(t, status, 200, body)
		assert.Equal(t, headers.Get(protocol.RunOutcomeHeader), "ran")
		if first == "" {
			first = body
		}
		assert.Equal(t, body, first)
	}
	status, headers, _ := f.call(0, "/svc/orders/orders", `{"gallons":901}`, protocol.IdempotencyKeyHeader, "o-1")
	assert.Equal(t, status, 422)
	assert.Equal(t, headers.Get(protocol.RunOutcomeHeader), "not-run")
	status, _, _ = f.call(0, "/svc/orders/orders", `{}`)
	assert.Equal(t, status, 400)
	response, err := http.Get("http://" + server.Address() + "/audit")
	assert.NilError(t, err)
	defer response.Body.Close()
	audit, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(audit), `"total":1`), string(audit))
}

// Two operators edit the same row at the same time, after both have read revision 0. One edit
// wins. The other operator must get the winning row as a conflict and not overwrite it, and a
// repetition of the winning change must not count as a third edit.
func TestRacingOperatorsOneWinsAndTheOtherSeesIt(t *testing.T) {
	f := newTestFleet(t)
	edit := func(weight string) table.Edit {
		return table.Edit{Sheet: table.Routes, Key: "/svc/x", Cells: []table.Cell{{Column: "service", Value: weight}, {Column: "idempotent", Value: "yes"}}}
	}
	won := f.change(f.daemons[0], "c1", edit("north"))
	lost := f.change(f.daemons[1], "c2", edit("south"))
	assert.Equal(t, won.Outcome, table.Committed)
	assert.Equal(t, lost.Outcome, table.Conflict)
	assert.Equal(t, lost.Conflicts[0].Winner.Cells[0], "north")
	again := f.change(f.daemons[2], "c1", edit("north"))
	assert.DeepEqual(t, again, won)
	for _, d := range f.daemons {
		assert.Equal(t, d.Rows(table.Routes)[0].Cells[0], "north")
	}
}

// The VM of a voter is lost for good, and soon after the repair a second one; no operator steps
// in. A spare must take the first voter's place, so that the fleet accepts edits after the second
// loss too, and loses none.
func TestSpareReplacesLostVoterAndASecondLossIsSurvived(t *testing.T) {
	f := newTestFleetWith(t, 1, func(*settings.Settings) {})
	f.setUp()
	f.kill(2)
	f.await("the spare votes in place of the lost one", func() bool {
		var names []string
		for _, voter := range f.daemons[0].voters() {
			if voter.Role == "voter" {
				names = append(names, string(voter.Router))
			}
		}
		slices.Sort(names)
		return slices.Equal(names, []string{"r1", "r2", "r4"})
	})
	f.kill(1)
	edit := table.Edit{Sheet: table.Routes, Key: "/svc/late", Cells: []table.Cell{{Column: "service", Value: "orders"}, {Column: "idempotent", Value: "yes"}}}
	assert.Equal(t, f.change(f.daemons[0], "late", edit).Outcome, table.Committed)
	assert.Equal(t, len(f.daemons[3].Rows(table.Routes)), 2)
	assert.Equal(t, len(f.daemons[3].Rows(table.Customers)), 1)
}

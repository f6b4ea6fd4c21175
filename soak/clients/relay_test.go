package clients

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/table"
	"endiveplank/protocol"
	"endiveplank/settings"
	"endiveplank/standin/engine"
	"endiveplank/transport/admin"
)

const (
	operatorKey  = "operator"
	bearer       = "Bearer " + callerKey
	chatPath     = "/v1/chat/completions"
	ordinaryChat = `{"model":"m1","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"fuel?"}]}`
)

// relayFleet is a fleet of one voter, whose routers own upstreams, and an engine.
type relayFleet struct {
	t        *testing.T
	voter    *process
	settings settings.Settings
}

func (f *relayFleet) processes() []*process { return []*process{f.voter} }

func (f *relayFleet) isReady() bool {
	return get(f.settings.Listen.Callers, readyPath, time.Second) == http.StatusOK
}

func (f *relayFleet) readTable() bool {
	return f.operate(http.MethodGet, "/admin/v1/table/customers", "")
}

func (f *relayFleet) traffic() traffic {
	return traffic{
		at: f.settings.Listen.Callers,
		request: func(string, time.Duration) *http.Request {
			request := newRequest(http.MethodPost, "http://"+callerHost+chatPath, ordinaryChat)
			request.Header.Set("Authorization", bearer)
			return request
		},
		isAnswer: func(body string) bool { return strings.Contains(body, "[DONE]") },
	}
}

// startRelayFleet starts a fleet and waits until a chat is served.
func startRelayFleet(t *testing.T) *relayFleet {
	t.Helper()
	f := &relayFleet{t: t, settings: settings.Defaults()}
	host, port := fmt.Sprintf("127.11.%d.1", 1+rand.IntN(250)), freePort(t)
	s := &f.settings
	s.RouterID, s.Role, s.DataCentre, s.Voters = "r1", settings.RoleVoter, "here", []protocol.RouterID{"r1"}
	s.DataFolder = filepath.Join(t.TempDir(), "data")
	s.Listen = settings.Listen{Callers: address(host, port), Upstreams: address(host, port+1), Admin: address(host, port+2), Peers: address(host, port+3)}
	s.Operators = []settings.Operator{{Name: "operator", Role: settings.OperatorControl, KeySHA256: digest(operatorKey)}}
	s.Peers, s.Spares = []settings.Peer{}, []protocol.RouterID{} // nil would be written as null
	text, err := json.Marshal(s)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, text, 0o600))
	f.voter = startProcess(t, "voter", host, routerVM, "--config", file)
	options := engine.DefaultSettings("e1", "m1")
	options.DataCentre, options.Announce = "here", []string{s.Listen.Upstreams}
	server, err := engine.Start(options)
	assert.NilError(t, err)
	t.Cleanup(func() { server.Close() })
	customer := table.Edit{Sheet: table.Customers, Key: "acme", Cells: []table.Cell{{Column: "key_hashes", Value: digest(callerKey)}}}
	change, err := json.Marshal(admin.ChangeRequest{ID: "customer", Why: "test", Edits: []table.Edit{customer}})
	assert.NilError(t, err)
	await(t, f, "the customer is added", func() bool { return f.operate(http.MethodPost, "/admin/v1/changes", string(change)) })
	await(t, f, "a chat is served", func() bool { return servedWithin(f.traffic(), time.Second) })
	return f
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// operate reports whether an operator's call is answered with 200.
func (f *relayFleet) operate(method, path, body string) bool {
	request := newRequest(method, "http://"+f.settings.Listen.Admin+path, body)
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	return statusOf(request, 2*time.Second) == http.StatusOK
}

// relayTargets are the listeners of a fleet whose routers own upstreams.
var relayTargets = []struct {
	name, path string
	at         func(settings.Listen) string
}{
	{"chat", chatPath, func(l settings.Listen) string { return l.Callers }},
	{"no route", noRoutePath, func(l settings.Listen) string { return l.Callers }},
	{"ready path", readyPath, func(l settings.Listen) string { return l.Callers }},
	{"upstreams", "/", func(l settings.Listen) string { return l.Upstreams }},
	{"admin", "/admin/v1/changes", func(l settings.Listen) string { return l.Admin }},
	{"peers", "/", func(l settings.Listen) string { return l.Peers }},
}

// Guards: clients that don't behave make a process of a fleet whose routers own upstreams pass its
// memory, end or hang, or keep it from serving ordinary callers.
func TestRelayFleetServesCallersBesideClientsThatDoNotBehave(t *testing.T) {
	for i, to := range relayTargets {
		for j, k := range kinds {
			if !*all && (j+*seed)%len(relayTargets) != i {
				continue
			}
			t.Run(to.name+"/"+k.name, func(t *testing.T) {
				f := startRelayFleet(t)
				play(t, f, k, to.at(f.settings.Listen), to.path, bearer)
			})
		}
	}
}

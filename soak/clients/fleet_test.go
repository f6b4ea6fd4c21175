package clients

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
	"endiveplank/coordination/routing"
	"endiveplank/platform"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/settings/direct"
)

const (
	callerHost = "caller.example"
	callerKey  = "key"
	service    = protocol.Service("desk")
	// maxBodyBytes and maxHeadBytes are the table's limits on requests.
	maxBodyBytes = 4 << 20
	maxHeadBytes = 16 << 10
	// bigAnswerBytes is the size of the answers on bigPath.
	bigAnswerBytes = 4 << 20
	ordinaryPath   = "/again/x"
	ordinaryBytes  = 500
	bigPath        = "/big/x"
	noRoutePath    = "/none/x"
	readyPath      = "/readyz"

	announceInterval = 250 * time.Millisecond
	startTimeout     = 30 * time.Second
)

// fleet is a router with the other processes that it needs, and upstreams.
type fleet interface {
	// processes returns the processes, the router first.
	processes() []*process
	// traffic returns what ordinary callers send to the router.
	traffic() traffic
	// isReady reports whether the router tells its balancer that it is ready.
	isReady() bool
	// readTable reads the table as an operator and reports whether that worked.
	readTable() bool
}

// directFleet is a router that sends to upstreams itself, and a disk VM.
type directFleet struct {
	t              *testing.T
	router, diskVM *process
	settings       map[*process]direct.Settings
}

func (f *directFleet) processes() []*process { return []*process{f.router, f.diskVM} }

func (f *directFleet) isReady() bool {
	return get(f.listen(f.router).Readiness, readyPath, time.Second) == http.StatusOK
}

func (f *directFleet) readTable() bool { return f.callDiskVM(http.MethodGet, platform.TablePath, nil) }

func (f *directFleet) traffic() traffic {
	return traffic{
		at: f.listen(f.router).Callers,
		request: func(id string, left time.Duration) *http.Request {
			request := newRequest(http.MethodPost, "http://"+callerHost+ordinaryPath, strings.Repeat(".", ordinaryBytes))
			platform.WriteCall(request.Header, dialect.Call{ID: protocol.RequestID(id), Key: callerKey, Remaining: left})
			return request
		},
		isAnswer: func(body string) bool { return body == fmt.Sprint(ordinaryBytes) },
	}
}

func newRequest(method, url, body string) *http.Request {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic("clients: cannot build a request: " + err.Error())
	}
	return request
}

// startFleet starts a fleet and waits until the router is ready.
func startFleet(t *testing.T) *directFleet {
	t.Helper()
	f := &directFleet{t: t, settings: map[*process]direct.Settings{}}
	port := freePort(t)
	hosts := map[direct.Role]string{direct.RoleDiskVM: fmt.Sprintf("127.9.%d.1", 1+rand.IntN(250)), direct.RoleRouter: fmt.Sprintf("127.10.%d.1", 1+rand.IntN(250))}
	seeds := []string{address(hosts[direct.RoleDiskVM], port)}
	f.diskVM = f.start(direct.RoleDiskVM, hosts[direct.RoleDiskVM], port, diskVM, seeds)
	f.router = f.start(direct.RoleRouter, hosts[direct.RoleRouter], port, routerVM, seeds)
	for n := range 3 {
		f.startUpstream(protocol.UpstreamID(fmt.Sprintf("u%d", n)), service, 32, serveUpstream)
	}
	await(t, f, "the table is accepted", func() bool { return f.callDiskVM(http.MethodPut, platform.TablePath, routingTable()) })
	await(t, f, "the router is ready", f.isReady)
	return f
}

func address(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

// freePort returns the first of ten ports that no process listens at, below those that the system
// uses for outgoing connections.
func freePort(t *testing.T) int {
	t.Helper()
	const first, count = 20_000, 4_000
	for {
		port := first + 10*rand.IntN(count/10)
		listener, err := net.Listen("tcp", address("127.0.0.1", port))
		if err == nil {
			assert.NilError(t, listener.Close())
			return port
		}
	}
}

// start starts a process with the settings of its role, on ports from port on.
func (f *directFleet) start(role direct.Role, host string, port int, limits vm, seeds []string) *process {
	s := direct.Defaults()
	s.Role, s.Name, s.DataCentre, s.Seeds = role, string(role), "here", seeds
	s.Memory.LimitMB = float64(limits.memoryBytes >> 20)
	s.Log.LinesPerSecond = 2000
	s.Listen.Peers, s.Listen.Metrics = address(host, port+1), address(host, port+2)
	if role == direct.RoleDiskVM {
		s.Listen.Control, s.FirstStart, s.DataFolder = address(host, port), true, filepath.Join(f.t.TempDir(), "data")
	} else {
		s.Admission.Enabled = true
		s.Listen.Callers, s.Listen.Readiness = address(host, port+3), address(host, port+4)
		s.Listen.Announcements, s.Listen.Routers = address(host, port+5), address(host, port+6)
	}
	text, err := json.Marshal(s)
	assert.NilError(f.t, err)
	file := filepath.Join(f.t.TempDir(), "settings.json")
	assert.NilError(f.t, os.WriteFile(file, text, 0o600))
	p := startProcess(f.t, string(role), host, limits, string(role), "--config", file)
	f.settings[p] = s
	return p
}

func (f *directFleet) listen(p *process) direct.Listen { return f.settings[p].Listen }

// await waits until a condition holds.
func await(t *testing.T, f fleet, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); !holds(); time.Sleep(20 * time.Millisecond) {
		for _, p := range f.processes() {
			if _, why := p.verdict(); why != "" {
				t.Fatalf("%s: %s", p.name, why)
			}
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not after %s", what, startTimeout)
		}
	}
}

// routingTable returns the routing table of the fleet.
func routingTable() []byte {
	route := func(name string, to protocol.Service) routing.Route {
		return routing.Route{
			Name: name, Host: callerHost, PathPrefix: "/" + name + "/", Repeat: routing.Idempotent,
			Split: []routing.Share{{Service: to, Weight: 1}}, Timeout: 3 * time.Second, Objective: 300 * time.Millisecond, MaxAttempts: 2,
		}
	}
	events := route("events", faultyService)
	events.Stream, events.Resumable, events.Timeout = true, true, 15*time.Second
	text, err := platform.EncodeTable(&routing.Table{
		Version: 1, Routes: []routing.Route{route("again", service), route("big", service), route("faulty", faultyService), events},
		Services:  []routing.Service{{Name: service, HealthPath: "/h"}, {Name: faultyService, HealthPath: "/h"}},
		Customers: []routing.Customer{{Name: "acme", Keys: []string{callerKey}}},
		Limits:    routing.Limits{MaxHeaderBytes: maxHeadBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	if err != nil {
		panic("clients: cannot encode the table: " + err.Error())
	}
	return text
}

// callDiskVM reports whether the disk VM answers a call with 200.
func (f *directFleet) callDiskVM(method, path string, body []byte) bool {
	return statusOf(newRequest(method, "http://"+f.listen(f.diskVM).Control+path, string(body)), 2*time.Second) == http.StatusOK
}

// get returns the status of an answer, 0 for none.
func get(at, path string, timeout time.Duration) int {
	return statusOf(newRequest(http.MethodGet, "http://"+at+path, ""), timeout)
}

func statusOf(request *http.Request, timeout time.Duration) int {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// startUpstream starts a stand-in for an upstream, which announces itself to the disk VM.
func (f *directFleet) startUpstream(id protocol.UpstreamID, of protocol.Service, slots int, serve http.HandlerFunc) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	server := &http.Server{Handler: serve, MaxHeaderBytes: 1 << 20}
	go func() { _ = server.Serve(listener) }()
	quit := make(chan struct{})
	f.t.Cleanup(func() { close(quit); _ = server.Close() })
	entry := roster.Entry{
		ID: id, Service: of, Address: listener.Addr().String(), DataCentre: "here", Slots: slots,
		State: roster.Ready, StartedAt: time.Now().UnixMilli(),
	}
	go func() {
		for {
			entry.Sequence++
			if body, err := platform.EncodeAnnouncement(entry); err == nil {
				f.callDiskVM(http.MethodPut, platform.UpstreamPath(entry.ID), body)
			}
			select {
			case <-quit:
				return
			case <-time.After(announceInterval):
			}
		}
	}()
}

// serveUpstream answers a request with its size, or with a big answer.
func serveUpstream(w http.ResponseWriter, r *http.Request) {
	request, _ := platform.ReadAttempt(r.Header)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	platform.WriteAnswer(w.Header(), dialect.Answer{ID: request}, "signed")
	if strings.HasPrefix(r.URL.Path, "/big/") {
		_, _ = w.Write(make([]byte, bigAnswerBytes)) // fails if the router has closed
		return
	}
	_, _ = fmt.Fprintf(w, "%d", n)
}

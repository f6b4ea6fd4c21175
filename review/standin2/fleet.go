package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The ports of all machines of a fleet, each on its own loopback address. Peers is the first of the
// port range of the pages and announcements the second.
type ports struct{ peers, announcements, control, frontend, readiness, metrics int }

// fleet is a small deployment of the program: five disk VMs and some routers, started with the
// commands of the deploy file, with the settings that its templates give for magramp-south.
type fleet struct {
	folder   string
	network  string
	ports    ports
	vms      []*process
	routers  []*process
	operator *http.Client
}

// process is one machine with its only process.
type process struct {
	name, role, ip, file string
	fleet                *fleet

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

const diskVMs = 5

// zones are those of magramp-south.
var zones = []string{"hall-mobile", "hall-baton", "hall-jackson"}

// newFleet writes the settings of a fleet and starts its processes. The error means that the case
// can't run.
func newFleet(routers int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, operator: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	if err := f.pickAddresses(diskVMs + routers); err != nil {
		return nil, err
	}
	for n := range diskVMs {
		f.vms = append(f.vms, f.newProcess(n, "disk-vm", n))
	}
	for n := range routers {
		f.routers = append(f.routers, f.newProcess(n, "router", diskVMs+n))
	}
	for _, p := range f.processes() {
		if err := p.start(); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) processes() []*process {
	return append(append([]*process(nil), f.vms...), f.routers...)
}

// pickAddresses picks a loopback network and ports that are free there on every machine's address.
func (f *fleet) pickAddresses(machines int) error {
	for range 50 {
		f.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		first := 21_000 + 20*rand.IntN(400)
		f.ports = ports{peers: first, announcements: first + 15, control: first + 16, frontend: first + 17, readiness: first + 18, metrics: first + 19}
		if f.areFree(machines, first) {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (f *fleet) areFree(machines, first int) bool {
	for n := range machines {
		for port := first; port < first+20; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", f.network, n+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (f *fleet) newProcess(n int, role string, machine int) *process {
	p := &process{name: fmt.Sprintf("%s-%d", role, n+1), role: role, ip: fmt.Sprintf("%s.%d", f.network, machine+1), fleet: f}
	p.file = filepath.Join(f.folder, p.name+".json")
	at := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	settings := map[string]any{
		"role": role, "name": p.name, "data_centre": zones[n%len(zones)],
		"upstreams":   map[string]any{"heartbeat_ms": heartbeat.Milliseconds(), "leave_ms": 2000},
		"descriptors": map[string]any{"limit": 4100}, "processor": map[string]any{"share": 0.4}, "memory": map[string]any{"limit_mb": 284},
	}
	var seeds []string
	for seed := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", f.network, seed+1, f.ports.control))
	}
	settings["seeds"] = seeds
	if role == "disk-vm" {
		settings["listen"] = map[string]any{"control": at(f.ports.control), "peers": at(f.ports.peers), "metrics": at(f.ports.metrics)}
		settings["first_start"], settings["data_folder"], settings["data_centres"] = true, filepath.Join(f.folder, "data-"+p.name), zones
		settings["stop"] = map[string]any{"unready_ms": 0, "grace_ms": 8000}
		settings["link"] = map[string]any{"mbps": 6}
	} else {
		settings["listen"] = map[string]any{"callers": at(f.ports.frontend), "readiness": at(f.ports.readiness), "peers": at(f.ports.peers),
			"announcements": at(f.ports.announcements), "routers": "next", "metrics": at(f.ports.metrics)}
		settings["retries"] = map[string]any{"ratio": 0.2, "window_ms": 10_000, "slack": 58}
		settings["admission"] = map[string]any{"enabled": true}
		settings["load"] = map[string]any{"multiple": 2, "slack": 3}
		settings["stop"] = map[string]any{"unready_ms": 2500, "grace_ms": 8000}
		settings["link"] = map[string]any{"mbps": 1000}
	}
	text, _ := json.Marshal(settings) // a map of plain values always encodes
	if err := os.WriteFile(p.file, text, 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return p
}

// start starts the process by the run line of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.fleet.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/endiveplankd", p.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.fleet.folder, "ENDIVEPLANK_CONFIG=" + p.file}
	command.Stdout, command.Stderr = log, log
	// The kernel ends it should this program be killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.done = command, make(chan struct{})
	go func(done chan struct{}) {
		_ = command.Wait()
		close(done)
	}(p.done)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop ends all processes and removes their files.
func (f *fleet) stop() {
	for _, p := range f.processes() {
		if p.command != nil {
			p.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

// control returns the address of a disk VM for operators and servers.
func (f *fleet) control(n int) string { return f.vms[n].address(f.ports.control) }

// frontend returns the address of a router for clients.
func (f *fleet) frontend(n int) string { return f.routers[n].address(f.ports.frontend) }

// call sends a call to a disk VM, and to the next one after a failure, for at most ten seconds. It returns
// the status, 0 for none.
func (f *fleet) call(method, path string, body []byte) int {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		request, err := http.NewRequest(method, "http://"+f.control(rand.IntN(diskVMs))+path, bytes.NewReader(body))
		if err != nil {
			return 0
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := f.operator.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode < 500 {
			return response.StatusCode
		}
	}
	return 0
}

// awaitReady waits until every router answers the platform's question whether it is ready.
func (f *fleet) awaitReady(within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range f.routers {
			response, err := f.operator.Get("http://" + p.address(f.ports.readiness) + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.routers) {
			return true
		}
	}
	return false
}

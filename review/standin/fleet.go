package main

import (
	"errors"
	"fmt"
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

// Bounds of the deployment, as the site magramp-south has them.
const (
	heartbeat      = 1200 * time.Millisecond
	drainTime      = 2000 * time.Millisecond
	contactTime    = 3000 * time.Millisecond
	routerCount    = 3
	diskVMCount    = 5
	seedCount      = 3
	firstPort      = 20_000
	portCount      = 10_000
	lastHost       = 40
	startUpTimeout = 30 * time.Second
)

// ports are the ports that all machines of a play use, each at its own loopback address. As in
// the platform's settings, they are the same on every machine.
type ports struct{ frontend, readiness, control, peers, routers, announcements, metrics, server int }

// machine is one process of the system.
type machine struct {
	play     *play
	name     string
	role     string
	ip       string
	settings string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// stopped says that the play ended the process.
	stopped bool
}

// fleet is the processes of the system.
type fleet struct {
	play    *play
	ports   ports
	routers []*machine
	diskVMs []*machine
}

// zones are the deployment's zones.
var zones = []string{"hall-mobile", "hall-baton", "hall-jackson"}

// startFleet starts the system for the first time.
func startFleet(p *play) *fleet {
	f := &fleet{play: p}
	p.fleet = f
	f.choosePorts()
	for i := range diskVMCount {
		f.diskVMs = append(f.diskVMs, f.newMachine("disk-vm", i, 21+i))
	}
	for i := range routerCount {
		f.routers = append(f.routers, f.newMachine("router", i, 11+i))
	}
	for _, m := range f.machines() {
		f.writeSettings(m, true)
		m.start()
	}
	return f
}

// machines returns all machines.
func (f *fleet) machines() []*machine {
	return append(append([]*machine{}, f.diskVMs...), f.routers...)
}

// choosePorts chooses ports that are free on all addresses of the play.
func (f *fleet) choosePorts() {
	for _, port := range []*int{&f.ports.frontend, &f.ports.readiness, &f.ports.control, &f.ports.announcements, &f.ports.metrics, &f.ports.server} {
		*port = freePorts(1)
	}
	// Routers take each other's requests at the port after that of their peers.
	f.ports.peers = freePorts(2)
	f.ports.routers = f.ports.peers + 1
}

// freePorts returns the first of some adjacent ports that are free on the loopback addresses.
func freePorts(count int) int {
	for {
		first := firstPort + rand.IntN(portCount)
		free := true
		for port := first; port < first+count; port++ {
			for host := range lastHost + 1 {
				listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", max(host, 1), port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return first
		}
	}
}

// newMachine returns a machine that isn't started.
func (f *fleet) newMachine(role string, number, host int) *machine {
	name := fmt.Sprintf("%s-%s-%d", role, zones[number%len(zones)], 1+number/len(zones))
	m := &machine{play: f.play, name: name, role: role, ip: fmt.Sprintf("127.0.0.%d", host)}
	m.settings = filepath.Join(f.play.folder, name+".json")
	log, err := os.Create(filepath.Join(f.play.folder, name+".log"))
	f.play.require(err, "open a log")
	m.log = log
	return m
}

// at returns an address of a machine.
func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// seeds returns the control addresses of three disk VMs as JSON.
func (f *fleet) seeds() string {
	text := "["
	for i, m := range f.diskVMs[:seedCount] {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%q", m.at(f.ports.control))
	}
	return text + "]"
}

// writeSettings writes a machine's settings as the templates in deploy/ give them for the site
// magramp-south.
func (f *fleet) writeSettings(m *machine, first bool) {
	zone := zones[0]
	for i, other := range append(append([]*machine{}, f.routers...), f.diskVMs...) {
		if other == m {
			zone = zones[i%len(zones)]
		}
	}
	text := ""
	if m.role == "router" {
		text = fmt.Sprintf(`{"role": "router", "name": %q, "data_centre": %q,
  "listen": {"callers": %q, "readiness": %q, "peers": %q, "announcements": %q, "routers": "next", "metrics": %q},
  "seeds": %s,
  "upstreams": {"heartbeat_ms": 1200, "leave_ms": 2000},
  "retries": {"ratio": 0.2, "window_ms": 10e3, "slack": 58},
  "admission": {"enabled": true},
  "load": {"multiple": 2, "slack": 3},
  "stop": {"unready_ms": 2500, "grace_ms": 8e3},
  "memory": {"limit_mb": 284},
  "link": {"mbps": 1000.0}}`, m.name, zone, m.at(f.ports.frontend), m.at(f.ports.readiness), m.at(f.ports.peers), m.at(f.ports.announcements), m.at(f.ports.metrics), f.seeds())
	} else {
		text = fmt.Sprintf(`{"role": "disk-vm", "name": %q, "data_centre": %q,
  "listen": {"control": %q, "peers": %q, "metrics": %q},
  "seeds": %s,
  "first_start": %t,
  "data_folder": %q,
  "data_centres": ["hall-mobile", "hall-baton", "hall-jackson"],
  "upstreams": {"heartbeat_ms": 1200, "leave_ms": 2000},
  "stop": {"unready_ms": 0, "grace_ms": 8e3},
  "memory": {"limit_mb": 280},
  "link": {"mbps": 6}}`, m.name, zone, m.at(f.ports.control), m.at(f.ports.peers), m.at(f.ports.metrics), f.seeds(), first, filepath.Join(f.play.folder, "data-"+m.name))
	}
	f.play.require(os.WriteFile(m.settings, []byte(text), 0o600), "write settings")
}

// start starts the process with the command of deploy/system.toml.
func (m *machine) start() {
	command := exec.Command(filepath.Join("target", "endiveplankd"), m.role)
	command.Dir = m.play.repository
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ENDIVEPLANK_CONFIG=" + m.settings}
	command.Stdout, command.Stderr = m.log, m.log
	// The kernel ends the process if this one is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ended := make(chan struct{})
	started := make(chan error)
	go func() {
		// Pdeathsig follows the thread that started the process.
		lockThread()
		err := command.Start()
		started <- err
		if err != nil {
			return
		}
		_ = command.Wait()
		m.noteEnd(command)
		close(ended)
	}()
	m.play.require(<-started, "start "+m.name)
	m.mu.Lock()
	m.command, m.ended, m.stopped = command, ended, false
	m.mu.Unlock()
	m.play.note("%s starts", m.name)
}

// noteEnd records a process that ended though nothing stopped it.
func (m *machine) noteEnd(command *exec.Cmd) {
	m.mu.Lock()
	stopped := m.stopped
	m.mu.Unlock()
	if !stopped {
		m.play.note("%s ended by itself: %s", m.name, command.ProcessState)
	}
}

// signal sends the process a signal.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	m.stopped = m.stopped || s == syscall.SIGKILL || s == syscall.SIGTERM
	command := m.command
	m.mu.Unlock()
	if command != nil {
		_ = command.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.ended
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, m := range f.machines() {
		if m.command != nil {
			m.signal(syscall.SIGKILL)
		}
	}
	for _, m := range f.machines() {
		if m.command != nil {
			<-m.ended
		}
		_ = m.log.Close()
	}
}

// client makes the calls of the platform, the operator and the servers: each over a new connection.
var client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// isReady asks a router's readiness address as the platform does.
func (f *fleet) isReady(m *machine) bool {
	response, err := client.Get("http://" + m.at(f.ports.readiness) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready.
func (f *fleet) awaitReady() {
	until := time.Now().Add(startUpTimeout)
	for _, m := range f.routers {
		for !f.isReady(m) {
			if time.Now().After(until) {
				f.play.require(errors.New(m.name), "not ready in time")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.play.note("all routers are ready")
}

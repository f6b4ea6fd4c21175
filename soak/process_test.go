package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/settings/direct"
	"endiveplank/standin/relay"
)

// build compiles endiveplankd once for all runs.
var build = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "endiveplank-soak")
	if err != nil {
		return "", err
	}
	program := filepath.Join(folder, "endiveplankd")
	arguments := []string{"build", "-o", program}
	if *withRace {
		arguments = append(arguments, "-race")
	}
	output, err := exec.Command("go", append(arguments, "endiveplank/cmd/endiveplankd")...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return program, nil
})

// process is one endiveplankd of the fleet. Faults stop it and start it again.
type process struct {
	// withoutPath says that this router has lost its paths to all upstreams.
	withoutPath atomic.Bool
	harness     *harness
	settings    direct.Settings
	file        string
	// proxy forwards the connections that other processes of the fleet open to it.
	proxy *relay.Relay
	// routersProxy forwards those that routers without a path open to a router; nil for disk VMs.
	routersProxy *relay.Relay

	// faultMu allows one fault of this process at a time.
	faultMu sync.Mutex
	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	// signalled is set once the test has sent a signal that ends the process since
	// its last start.
	signalled bool
	paused    bool
	// disturbedAt is when the test last sent a signal that ends, pauses or resumes the
	// process, or started it.
	disturbedAt time.Time
	down        bool // the process has ended since its last start
	// hasLogged is set once the process has written output since its last start.
	hasLogged bool
	log       bytes.Buffer
}

// bindAddress returns an address at which process n listens. peerAddress returns
// the address of its proxy, to which the other processes connect.
func bindAddress(n, port int) string { return fmt.Sprintf("127.0.0.%d:%d", n, port) }
func peerAddress(n, port int) string { return fmt.Sprintf("127.1.0.%d:%d", n, port) }

// ports are the ports that every process of a run uses, each on its own address.
type ports struct{ peers, control, callers, readiness, routers int }

// freePorts selects ports that are free on 127.0.0.1 and that no other package's tests use, of
// those that the system doesn't use for outgoing connections: one of these could take the port
// before a process listens at it.
func freePorts(t *testing.T) ports {
	t.Helper()
	const first, count = 25_000, 5_000
	var free [5]int
	for i := range free {
		for free[i] == 0 {
			port := first + rand.IntN(count)
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if err != nil {
				continue
			}
			defer func() { _ = listener.Close() }()
			free[i] = port
		}
	}
	return ports{free[0], free[1], free[2], free[3], free[4]}
}

// newProcess returns process n with the settings of its role and starts its proxy,
// but not the process.
func (h *harness) newProcess(n int, role direct.Role) *process {
	p := &process{harness: h, file: filepath.Join(h.folder, fmt.Sprintf("settings-%d.json", n))}
	s := direct.Defaults()
	s.Role = role
	s.Name = fmt.Sprintf("%s-%d", role, n)
	s.DataCentre = "here"
	s.Listen.Peers = peerAddress(n, h.ports.peers)
	s.Listen.PeersBind = bindAddress(n, h.ports.peers)
	s.Seeds = []string{peerAddress(1, h.ports.control), peerAddress(2, h.ports.control), peerAddress(3, h.ports.control)}
	s.Retries = direct.Retries{Ratio: retryRatio, WindowMS: float64(retryWindow.Milliseconds()), Slack: retrySlack}
	s.Stop = direct.Stop{UnreadyMS: 500, GraceMS: 4000}
	s.Log.LinesPerSecond = 2000
	s.Admission.Enabled = role == direct.RoleRouter
	switch role {
	case direct.RoleRouter:
		s.Listen.Callers = bindAddress(n, h.ports.callers)
		s.Listen.Readiness = bindAddress(n, h.ports.readiness)
		s.Listen.Routers = bindAddress(n, h.ports.routers)
		routersProxy, err := relay.Start(peerAddress(n, h.ports.routers), s.Listen.Routers)
		assert.NilError(h.t, err)
		p.routersProxy = routersProxy
	case direct.RoleDiskVM:
		s.Listen.Control = bindAddress(n, h.ports.control)
		s.FirstStart = true
		s.DataFolder = filepath.Join(h.folder, fmt.Sprintf("data-%d", n))
	}
	p.settings = s
	proxy, err := relay.Start(s.Listen.Peers, s.Listen.PeersBind)
	assert.NilError(h.t, err)
	p.proxy = proxy
	return p
}

// writeSettings writes the settings to the process's settings file.
func (p *process) writeSettings() {
	text, err := json.Marshal(p.settings)
	assert.NilError(p.harness.t, err)
	assert.NilError(p.harness.t, os.WriteFile(p.file, text, 0o600))
}

// start starts the process and watches for its end.
func (p *process) start() {
	program, err := build()
	assert.NilError(p.harness.t, err)
	p.writeSettings()
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(program, string(p.settings.Role), "--config", p.file)
	command.Stdout = &lockedLog{p}
	command.Stderr = &lockedLog{p}
	command.Env = append(os.Environ(), "GORACE=halt_on_error=1")
	assert.NilError(p.harness.t, command.Start())
	p.disturbedAt = time.Now()
	p.command, p.done, p.signalled, p.down, p.hasLogged = command, make(chan struct{}), false, false, false
	go p.watch(command, p.done)
}

// lockedLog appends the output of a process to its log.
type lockedLog struct{ p *process }

// Write implements io.Writer.
func (l *lockedLog) Write(data []byte) (int, error) {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	l.p.hasLogged = true
	return l.p.log.Write(data)
}

// lines returns the log lines of the process with the given event.
func (p *process) lines(event string) []map[string]any {
	p.mu.Lock()
	text := bytes.Clone(p.log.Bytes())
	p.mu.Unlock()
	var found []map[string]any
	for line := range bytes.Lines(text) {
		if !bytes.Contains(line, []byte(event)) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && fields["event"] == event {
			found = append(found, fields)
		}
	}
	return found
}

// watch waits for the end of the process. It records a violation if the process
// ended without a signal from the test.
func (p *process) watch(command *exec.Cmd, done chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	expected := p.signalled
	p.down = true
	p.mu.Unlock()
	if !expected {
		p.harness.violation("process %s ended without a signal: %v", p.settings.Name, err)
	}
	close(done)
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.command == nil {
		return
	}
	ends := s == syscall.SIGKILL || s == syscall.SIGTERM
	p.signalled = p.signalled || ends
	if s != syscall.SIGHUP {
		p.disturbedAt = time.Now()
	}
	// The error is ignored: the process may just have ended.
	_ = p.command.Process.Signal(s)
}

// stop ends the process with a signal and waits for its end. It records a violation
// if the process takes longer than its grace time, and kills it then.
func (p *process) stop(s syscall.Signal) {
	if p.isPaused() {
		p.resume()
	}
	p.signal(s)
	select {
	case <-p.done:
	case <-time.After(p.settings.Stop.Grace() + time.Second):
		p.harness.violation("process %s has not ended within its grace time of %s", p.settings.Name, p.settings.Stop.Grace())
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// reload sends SIGHUP to the process if it has written output. Before that, it may
// not have installed its signal handler yet, and SIGHUP would end it.
func (p *process) reload() {
	p.mu.Lock()
	hasLogged := p.hasLogged
	p.mu.Unlock()
	if hasLogged {
		p.signal(syscall.SIGHUP)
	}
}

func (p *process) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

func (p *process) pause() {
	p.signal(syscall.SIGSTOP)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = true
}

func (p *process) resume() {
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = false
}

// disturbedSince reports whether the test has stopped, paused or started the process after a
// time, so that it may have missed or forgotten what it was told.
func (p *process) disturbedSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused || p.disturbedAt.After(at)
}

// isRunning reports whether the process is up, not paused, and not being stopped.
func (p *process) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.down && !p.paused && !p.signalled
}

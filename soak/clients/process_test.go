package clients

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// vm is what a VM gives to a process.
type vm struct {
	memoryBytes int64
	descriptors int
	// processor is the share of a processor, which is used up within each quotaPeriod.
	processor float64
}

const (
	quotaPeriod   = 100 * time.Millisecond
	watchInterval = 5 * time.Millisecond
	// memoryInterval is how often the memory is measured.
	memoryInterval = 50 * time.Millisecond
)

// The smallest VMs in use.
var (
	routerVM = vm{memoryBytes: 284 << 20, descriptors: 3900, processor: 0.4}
	diskVM   = vm{memoryBytes: 280 << 20, descriptors: 3896, processor: 0.192}
)

// build compiles endiveplankd once.
var build = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "endiveplank-clients")
	if err != nil {
		return "", err
	}
	program := filepath.Join(folder, "endiveplankd")
	output, err := exec.Command("go", "build", "-o", program, "endiveplank/cmd/endiveplankd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return program, nil
})

// process is one endiveplankd.
type process struct {
	t       *testing.T
	name    string
	host    string
	vm      vm
	command *exec.Cmd
	done    chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
	// peakBytes is the most memory that it used, with peakQueued in the kernel's buffers, stopping says that the test ends it, and why
	// tells what went wrong.
	peakBytes, peakQueued int64
	stopping              bool
	why                   string
}

// startProcess starts a program with the limits of a VM. host is the address of its listeners.
func startProcess(t *testing.T, name, host string, limits vm, arguments ...string) *process {
	t.Helper()
	program, err := build()
	assert.NilError(t, err)
	p := &process{t: t, name: name, host: host, vm: limits, done: make(chan struct{})}
	script := fmt.Sprintf(`ulimit -n %d && exec "$@"`, limits.descriptors)
	p.command = exec.Command("sh", append([]string{"-c", script, "sh", program}, arguments...)...)
	p.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	p.command.Stdout, p.command.Stderr = p, p
	assert.NilError(t, p.command.Start())
	go p.wait()
	go p.limitProcessor()
	go p.watchMemory()
	t.Cleanup(p.stop)
	return p
}

// maxLogBytes bounds what is kept of a process's log.
const maxLogBytes = 8 << 20

// Write keeps the log lines of the process.
func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.log.Len() < maxLogBytes {
		p.log.Write(data)
	}
	return len(data), nil
}

// wait records an end that the test didn't ask for.
func (p *process) wait() {
	err := p.command.Wait()
	p.mu.Lock()
	if !p.stopping && p.why == "" {
		p.why = fmt.Sprintf("it ended by itself: %v", err)
	}
	p.mu.Unlock()
	close(p.done)
}

// stop ends the process.
func (p *process) stop() {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	if os.Getenv("CLIENTS_LOGS") != "" {
		_ = os.WriteFile(filepath.Join(os.Getenv("CLIENTS_LOGS"), strings.ReplaceAll(p.t.Name(), "/", "-")+"-"+p.name+".log"), p.log.Bytes(), 0o600)
	}
}

func (p *process) signal(s syscall.Signal) {
	// It fails only if the process has ended.
	_ = p.command.Process.Signal(s)
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// limitProcessor stops the process for the rest of each quotaPeriod in which it has used its share.
func (p *process) limitProcessor() {
	quota := time.Duration(p.vm.processor * float64(quotaPeriod))
	for !p.hasEnded() {
		began, used := time.Now(), p.processorTime()
		for time.Since(began) < quotaPeriod {
			time.Sleep(watchInterval)
			if p.processorTime()-used < quota {
				continue
			}
			p.signal(syscall.SIGSTOP)
			time.Sleep(quotaPeriod - time.Since(began))
			p.signal(syscall.SIGCONT)
		}
	}
}

// processorTime returns the processor time of all threads.
func (p *process) processorTime() time.Duration {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.command.Process.Pid))
	var total time.Duration
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		first, _, _ := strings.Cut(string(text), " ")
		nanoseconds, _ := strconv.ParseInt(first, 10, 64)
		total += time.Duration(nanoseconds)
	}
	return total
}

// watchMemory ends the process when it uses more memory than its VM has.
func (p *process) watchMemory() {
	for !p.hasEnded() {
		resident, queued := p.residentBytes(), p.queuedBytes()
		used := resident + queued
		p.mu.Lock()
		if used > p.peakBytes {
			p.peakBytes, p.peakQueued = used, queued
		}
		tooMuch := used > p.vm.memoryBytes
		if tooMuch && p.why == "" {
			p.why = fmt.Sprintf("it used %d MB, its VM has %d", used>>20, p.vm.memoryBytes>>20)
		}
		p.mu.Unlock()
		if tooMuch {
			p.signal(syscall.SIGKILL)
			return
		}
		time.Sleep(memoryInterval)
	}
}

func (p *process) residentBytes() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// queuedBytes returns the bytes in the kernel's buffers of the connections that the process has
// taken: those that it hasn't read, and those that its peers haven't read.
func (p *process) queuedBytes() int64 {
	text, _ := os.ReadFile("/proc/net/tcp")
	local := kernelAddress(p.host)
	var total int64
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, count := range []string{sent, received} {
			n, _ := strconv.ParseInt(count, 16, 64)
			total += n
		}
	}
	return total
}

// kernelAddress returns an IPv4 address as /proc/net/tcp writes it.
func kernelAddress(host string) string {
	var parts [4]int
	_, _ = fmt.Sscanf(host, "%d.%d.%d.%d", &parts[0], &parts[1], &parts[2], &parts[3])
	return fmt.Sprintf("%02X%02X%02X%02X:", parts[3], parts[2], parts[1], parts[0])
}

// verdict returns the most memory that the process used, as text, and what went wrong.
func (p *process) verdict() (peak, why string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s %d MB (%d in the kernel)", p.name, p.peakBytes>>20, p.peakQueued>>20), p.why
}

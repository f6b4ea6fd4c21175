package loadgen

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ticksPerSecond is the resolution of processor time in /proc on Linux. It is the
// same on every architecture that Go supports.
const ticksPerSecond = 100

// Process is a process on this machine whose processor time and memory are read
// from /proc during each phase. This works on Linux only.
type Process struct {
	Name string
	PID  int
}

// ParseProcess parses NAME=PID.
func ParseProcess(text string) (Process, error) {
	name, number, found := strings.Cut(text, "=")
	pid, err := strconv.Atoi(number)
	if !found || err != nil || name == "" {
		return Process{}, eris.Errorf("process %q is not NAME=PID", text)
	}
	return Process{Name: name, PID: pid}, nil
}

// ProcessCost is the processor time and memory that one process used in a phase.
type ProcessCost struct {
	Name string `json:"name"`
	// CPUS is processor time in seconds, in steps of 10 ms.
	CPUS float64 `json:"cpu_s"`
	// CPUPerTokenUs is CPUS divided by the phase's tokens, in microseconds. It
	// includes all that the process did, not just the relaying of tokens.
	CPUPerTokenUs float64 `json:"cpu_per_token_us"`
	// Resident memory at the start, at the end and at its highest reading.
	MemoryStartMB float64 `json:"memory_start_mb"`
	MemoryEndMB   float64 `json:"memory_end_mb"`
	MemoryPeakMB  float64 `json:"memory_peak_mb"`
	// Ended means that the process no longer existed at the end of the phase. Its
	// costs are then those up to the last reading.
	Ended bool `json:"ended,omitempty"`
}

// usage is one reading of a process: its processor time so far and its resident
// memory.
type usage struct {
	cpu      time.Duration
	memoryMB float64
}

// processPoller reads processes during a phase.
type processPoller struct {
	processes []Process
	first     []usage
	last      []usage
	peak      []float64
	ended     []bool
}

func newProcessPoller(processes []Process) *processPoller {
	p := &processPoller{
		processes: processes,
		first:     make([]usage, len(processes)),
		last:      make([]usage, len(processes)),
		peak:      make([]float64, len(processes)),
		ended:     make([]bool, len(processes)),
	}
	p.sample()
	copy(p.first, p.last)
	return p
}

// sample reads every process once.
func (p *processPoller) sample() {
	for i, process := range p.processes {
		now, err := readUsage(process.PID)
		p.ended[i] = err != nil
		if err == nil {
			p.last[i] = now
			p.peak[i] = max(p.peak[i], now.memoryMB)
		}
	}
}

// costs returns the costs of the processes so far, for a phase in which answers
// had this many tokens.
func (p *processPoller) costs(tokens int) []ProcessCost {
	var costs []ProcessCost
	for i, process := range p.processes {
		cpu := p.last[i].cpu - p.first[i].cpu
		cost := ProcessCost{
			Name:          process.Name,
			CPUS:          round(cpu.Seconds()),
			MemoryStartMB: round(p.first[i].memoryMB),
			MemoryEndMB:   round(p.last[i].memoryMB),
			MemoryPeakMB:  round(p.peak[i]),
			Ended:         p.ended[i],
		}
		if tokens > 0 {
			cost.CPUPerTokenUs = round(float64(cpu.Microseconds()) / float64(tokens))
		}
		costs = append(costs, cost)
	}
	return costs
}

// readUsage reads the usage of one process from /proc.
func readUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, eris.Wrapf(err, "read process %d", pid)
	}
	return parseStat(string(stat), os.Getpagesize())
}

// Indexes of the fields of /proc/PID/stat that follow the command's name, from 0.
const (
	fieldUserTicks   = 11
	fieldSystemTicks = 12
	fieldPages       = 21
)

// parseStat parses /proc/PID/stat. The command's name is in parentheses and may
// itself hold parentheses and spaces, so the fields are counted from the last
// closing one.
func parseStat(stat string, pageSize int) (usage, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= fieldPages {
		return usage{}, eris.Errorf("process status is too short: %q", stat)
	}
	var values [3]int
	for i, field := range []int{fieldUserTicks, fieldSystemTicks, fieldPages} {
		value, err := strconv.Atoi(fields[field])
		if err != nil {
			return usage{}, eris.Wrapf(err, "process status, field %d", field)
		}
		values[i] = value
	}
	return usage{
		cpu:      time.Duration(values[0]+values[1]) * time.Second / ticksPerSecond,
		memoryMB: float64(values[2]) * float64(pageSize) / (1 << 20),
	}, nil
}

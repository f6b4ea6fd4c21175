package settings

import "endiveplank/settings/strict"

// Memory limits the memory of the process.
type Memory struct {
	// LimitMB is the platform's memory limit, above which it kills the process.
	LimitMB float64 `json:"limit_mb"`
}

// LimitBytes returns LimitMB in bytes.
func (m Memory) LimitBytes() int64 { return int64(m.LimitMB * (1 << 20)) }

// Processor describes the VM's processor.
type Processor struct {
	// Share is the share of a processor that the process has; above 1 for several processors.
	Share float64 `json:"share"`
}

// Descriptors limits the open files and connections of the process.
type Descriptors struct {
	// Limit is the platform's limit; 0 for that of the process.
	Limit int `json:"limit"`
}

// DefaultMemory and DefaultProcessor are those of the smallest VMs in use.
func DefaultMemory() Memory { return Memory{LimitMB: 256} }

// DefaultProcessor returns the processor of the smallest VMs in use.
func DefaultProcessor() Processor { return Processor{Share: 0.4} }

// CheckProcess checks what a process has.
func CheckProcess(c *strict.Checker, memory Memory, processor Processor, descriptors Descriptors) {
	c.Between("memory.limit_mb", memory.LimitMB, 32, 1<<20)
	c.Between("processor.share", processor.Share, 0.01, 1024)
	c.Between("descriptors.limit", float64(descriptors.Limit), 0, 1<<30)
}

// Package direct holds the settings of a fleet whose routers send to upstreams
// themselves: one JSON document for each process. docs/SETTINGS.md lists every
// field.
package direct

import (
	"net"
	"time"

	"endiveplank/protocol"
	"endiveplank/settings"
	"endiveplank/settings/strict"
)

// Role says what a process does.
type Role string

const (
	// RoleRouter takes callers' requests and sends them to upstreams. It keeps
	// no files.
	RoleRouter Role = "router"
	// RoleDiskVM keeps the routing table with the other disk VMs and hears the
	// upstreams and the operators.
	RoleDiskVM Role = "disk-vm"
)

// Settings is the whole document.
type Settings struct {
	Role       Role                `json:"role"`
	Name       string              `json:"name"`
	DataCentre protocol.DataCentre `json:"data_centre"`
	Listen     Listen              `json:"listen"`
	// Seeds are control addresses of some disk VMs. The others are learned from
	// them.
	Seeds []string `json:"seeds"`
	// FirstStart says that the whole fleet starts for the first time. Only then
	// may the seeds form a cluster.
	FirstStart bool `json:"first_start"`
	// DataFolder holds all files of a disk VM.
	DataFolder string `json:"data_folder"`
	// DiskLosses is how many disk VMs may be lost at once: so many and one more
	// keep each change, as far as there are as many VMs.
	DiskLosses int      `json:"disk_losses"`
	Upstreams  Upstream `json:"upstreams"`
	Retries    Retries  `json:"retries"`
	Load       Load     `json:"load"`
	Stop       Stop     `json:"stop"`
	Log        Log      `json:"log"`
	Memory     Memory   `json:"memory"`
	Link       Link     `json:"link"`
	// Traces says where a router's spans go.
	Traces settings.Traces `json:"traces"`
}

// Listen holds the IP:port of each listener; a role leaves out what it doesn't
// serve.
type Listen struct {
	// Callers takes callers' requests.
	Callers string `json:"callers"`
	// Readiness answers the balancer's probes.
	Readiness string `json:"readiness"`
	// Announcements takes upstreams' announcements at a router; empty for none.
	Announcements string `json:"announcements"`
	// Control takes operators' and upstreams' calls.
	Control string `json:"control"`
	// Peers is the address at which the fleet's other processes reach this one,
	// and its name. Its port is the same on every VM.
	Peers string `json:"peers"`
	// PeersBind is where to listen for them where that differs, as behind a
	// translation of addresses; empty for Peers itself.
	PeersBind string `json:"peers_bind"`
	// Metrics serves the metrics; empty for none.
	Metrics string `json:"metrics"`
}

// Upstream says how upstreams behave.
type Upstream struct {
	// HeartbeatMS is the time between two announcements.
	HeartbeatMS int `json:"heartbeat_ms"`
	// LeaveMS is how soon after it said so a leaving upstream must get no more
	// work.
	LeaveMS int `json:"leave_ms"`
}

// Retries bounds what routers send a second time, all of them together.
type Retries struct {
	// Ratio is the share of a service's requests that may be sent again.
	Ratio float64 `json:"ratio"`
	// WindowMS is the time over which it is counted.
	WindowMS int `json:"window_ms"`
	// Slack is how many more may be, in a window.
	Slack int `json:"slack"`
}

// Window returns the time over which retries are counted.
func (r Retries) Window() time.Duration { return milliseconds(r.WindowMS) }

// Load bounds the work on one upstream.
type Load struct {
	// Multiple of the mean of its service, which no upstream may pass by more
	// than Slack requests.
	Multiple float64 `json:"multiple"`
	Slack    int     `json:"slack"`
}

// Stop says how a process ends.
type Stop struct {
	// UnreadyMS is how long a stopping router reports unready and still takes
	// requests.
	UnreadyMS int `json:"unready_ms"`
	// GraceMS is how long after the signal it is killed.
	GraceMS int `json:"grace_ms"`
}

// Unready returns UnreadyMS as a duration.
func (s Stop) Unready() time.Duration { return milliseconds(s.UnreadyMS) }

// Grace returns GraceMS as a duration.
func (s Stop) Grace() time.Duration { return milliseconds(s.GraceMS) }

// Log says what is written to standard output.
type Log struct {
	Level string `json:"level"`
	// LinesPerSecond bounds what a process writes; failures go before the rest.
	LinesPerSecond int `json:"lines_per_second"`
}

// Memory bounds the process.
type Memory struct {
	// LimitMB is what the platform allows; above it the process is killed.
	LimitMB int `json:"limit_mb"`
}

// Link is the VM's own link.
type Link struct {
	// Mbps is its rate in megabits a second.
	Mbps float64 `json:"mbps"`
}

// LinkRate returns the bytes a second that the VM's link carries.
func (s Settings) LinkRate() int {
	const bitsPerByte = 8
	return int(s.Link.Mbps * 1e6 / bitsPerByte)
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Defaults returns the settings that a document may leave out.
//
// Heartbeats and the time to leave are those of a platform whose upstreams
// announce themselves each second or so. Two disk VMs may be lost at once, as
// five bear. Retries of a tenth, with a slack of 10
// requests in 10 s, let a failed upstream's requests be repeated and no storm.
// The load's multiple of 2 leaves room for a hot prompt; the slack of 3 is for
// services with hardly any work. A balancer that asks each second and acts on
// the second miss takes 2 s to turn callers elsewhere.
func Defaults() Settings {
	return Settings{
		DiskLosses: 2,
		Upstreams:  Upstream{HeartbeatMS: 1000, LeaveMS: 2000},
		Retries:    Retries{Ratio: 0.1, WindowMS: 10_000, Slack: 10},
		Load:       Load{Multiple: 2, Slack: 3},
		Stop:       Stop{UnreadyMS: 2500, GraceMS: 8000},
		Log:        Log{Level: "info", LinesPerSecond: 100},
		Memory:     Memory{LimitMB: 256},
		Link:       Link{Mbps: 1000},
		Traces:     settings.DefaultTraces(),
	}
}

// ReadFile reads and checks the document at path. The error is strict.Problems
// when the document was read but has mistakes.
func ReadFile(path string) (Settings, error) {
	return strict.ReadFile(path, Defaults(), check)
}

// Parse checks a document and fills in defaults. The error is strict.Problems
// when the text is JSON but has mistakes.
func Parse(raw []byte) (Settings, error) {
	return strict.Parse(raw, Defaults(), check)
}

// Self returns the name under which the fleet knows this process: the address
// at which the others reach it. Processes are told addresses, not names, so
// this is the one name that all can derive.
func (s Settings) Self() protocol.RouterID { return protocol.RouterID(s.Listen.Peers) }

// PeersListen returns where to listen for the fleet's other processes.
func (s Settings) PeersListen() string {
	if s.Listen.PeersBind != "" {
		return s.Listen.PeersBind
	}
	return s.Listen.Peers
}

// SeedPeers returns the names of the seeds in the fleet.
func (s Settings) SeedPeers() []protocol.RouterID {
	_, port, err := net.SplitHostPort(s.Listen.Peers)
	if err != nil {
		panic("direct: settings with an address that was not checked: " + s.Listen.Peers)
	}
	peers := make([]protocol.RouterID, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			panic("direct: settings with a seed that was not checked: " + seed)
		}
		peers = append(peers, protocol.RouterID(net.JoinHostPort(host, port)))
	}
	return peers
}

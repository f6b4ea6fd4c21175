// Package direct reads and checks the settings of a fleet whose routers send to
// upstreams themselves: one JSON document for each process, a router or a disk
// VM. Like package settings, it reports all mistakes of a document at once.
// docs/SETTINGS.md lists every field.
package direct

import (
	"net"
	"strconv"
	"time"

	"endiveplank/protocol"
	"endiveplank/settings"
	"endiveplank/settings/strict"
)

// Role is the task of a process.
type Role string

const (
	// RoleRouter accepts callers' requests and sends them to upstreams. It keeps
	// no files.
	RoleRouter Role = "router"
	// RoleDiskVM replicates the routing table with the other disk VMs, receives
	// the upstreams' announcements and serves the operators' calls.
	RoleDiskVM Role = "disk-vm"
)

// Settings is the whole document.
type Settings struct {
	Role       Role                `json:"role"`
	Name       string              `json:"name"`
	DataCentre protocol.DataCentre `json:"data_centre"`
	Listen     Listen              `json:"listen"`
	// Seeds are control addresses of some disk VMs, from which the process learns
	// of the others.
	Seeds []string `json:"seeds"`
	// FirstStart means that the whole fleet starts for the first time. Only then
	// may the seeds form a cluster.
	FirstStart bool `json:"first_start"`
	// DataFolder holds all files of a disk VM.
	DataFolder string `json:"data_folder"`
	// DiskLosses is how many disk VMs may be lost at once without losing a change:
	// each change is stored on at least one more VM than that, if the fleet has
	// enough.
	DiskLosses int `json:"disk_losses"`
	// DataCentres are all data centres of the deployment. A disk VM refuses to evacuate
	// another one; if the list is empty, it accepts any name.
	DataCentres []protocol.DataCentre `json:"data_centres"`
	// SlowStart limits requests to upstreams that have just started.
	SlowStart SlowStart `json:"slow_start"`
	Upstreams Upstream  `json:"upstreams"`
	Retries   Retries   `json:"retries"`
	Load      Load      `json:"load"`
	// PrefixCache says how engines' caches of prompts' prefixes are used.
	PrefixCache PrefixCache `json:"prefix_cache"`
	// Admission decides about requests while demand for a service exceeds its capacity.
	Admission   Admission            `json:"admission"`
	Stop        Stop                 `json:"stop"`
	Log         Log                  `json:"log"`
	Memory      settings.Memory      `json:"memory"`
	Processor   settings.Processor   `json:"processor"`
	Descriptors settings.Descriptors `json:"descriptors"`
	Link        Link                 `json:"link"`
	// Traces selects where a router exports its spans.
	Traces settings.Traces `json:"traces"`
}

// Listen holds the IP:port of each listener. A document leaves out those that its
// role does not serve.
type Listen struct {
	// Callers accepts callers' requests.
	Callers string `json:"callers"`
	// Readiness answers the balancer's probes.
	Readiness string `json:"readiness"`
	// Announcements accepts upstreams' announcements at a router; empty for none.
	Announcements string `json:"announcements"`
	// Routers accepts the requests of other routers that have no path to upstreams, at a
	// router; empty if routers don't send requests for each other, NextPort for the port after
	// that of Peers. Its port is the same on every router, and the other routers reach it at
	// the host of Peers.
	Routers string `json:"routers"`
	// Control accepts operators' and upstreams' calls at a disk VM.
	Control string `json:"control"`
	// Peers is the address at which the fleet's other processes reach this one.
	// It is also the name of the process. Its port is the same on every VM.
	Peers string `json:"peers"`
	// PeersBind is the address to listen at for the other processes if it differs
	// from Peers, as behind network address translation; empty for Peers.
	PeersBind string `json:"peers_bind"`
	// Metrics serves the metrics; empty for none.
	Metrics string `json:"metrics"`
}

// Upstream describes the behaviour of upstreams.
type Upstream struct {
	// HeartbeatMS is the time between two announcements.
	HeartbeatMS float64 `json:"heartbeat_ms"`
	// LeaveMS is the time after an upstream's notice that it leaves within which
	// routers must stop sending it requests.
	LeaveMS float64 `json:"leave_ms"`
}

// LeaveTime returns LeaveMS as a duration.
func (u Upstream) LeaveTime() time.Duration { return milliseconds(u.LeaveMS) }

// Retries limits the retries of all routers together.
type Retries struct {
	// Ratio is the maximum ratio of retries to requests of a service.
	Ratio float64 `json:"ratio"`
	// WindowMS is the window over which retries and requests are counted.
	WindowMS float64 `json:"window_ms"`
	// Slack is the number of retries that are allowed in a window in addition.
	Slack float64 `json:"slack"`
}

// Window returns WindowMS as a duration.
func (r Retries) Window() time.Duration { return milliseconds(r.WindowMS) }

// Load limits the load of one upstream.
type Load struct {
	// Multiple and Slack are the load bound: no upstream may have more requests
	// than Multiple times the mean of its service plus Slack.
	Multiple float64 `json:"multiple"`
	Slack    float64 `json:"slack"`
}

// PrefixCache says how engines' caches of prompts' prefixes are used.
type PrefixCache struct {
	// Replicas is how many engines hold a prefix that is in demand, so that it is copied and not
	// prefilled again when one of them crashes. 1 means no copies in advance.
	Replicas int `json:"replicas"`
	// MinTokens is the length from which on a prefix is replicated. Shorter ones are prefilled
	// about as fast as they are copied.
	MinTokens int `json:"min_tokens"`
}

// Admission configures what a router decides while demand for a service exceeds its
// capacity. Shares are shares of the service's rate limit.
type Admission struct {
	// Enabled switches rate limits, fleet-wide shares and scheduled retries on.
	Enabled bool `json:"enabled"`
	// Reserve is the share that is left to the most urgent requests alone.
	Reserve float64 `json:"reserve"`
	// Floor is the share of what it would get if all were served alike that each rank gets
	// at least.
	Floor float64 `json:"floor"`
	// Reports is whether upstreams' reports of their own load are used.
	Reports bool `json:"reports"`
}

// SlowStart limits what all routers together send to an upstream that is cold. The rate
// that an upstream declares is in the table; these settings say by how much it may be
// exceeded in one second.
type SlowStart struct {
	// Overrun multiplies the declared rate.
	Overrun float64 `json:"overrun"`
	// Tolerance is added to the result, in requests a second.
	Tolerance float64 `json:"tolerance"`
}

// Stop holds the times of a planned stop.
type Stop struct {
	// UnreadyMS is how long a stopping router reports unready and still accepts
	// requests.
	UnreadyMS float64 `json:"unready_ms"`
	// GraceMS is the time after the stop signal at which the platform kills the
	// process.
	GraceMS float64 `json:"grace_ms"`
}

// Unready returns UnreadyMS as a duration.
func (s Stop) Unready() time.Duration { return milliseconds(s.UnreadyMS) }

// Grace returns GraceMS as a duration.
func (s Stop) Grace() time.Duration { return milliseconds(s.GraceMS) }

// Log configures the log lines on standard output.
type Log struct {
	Level string `json:"level"`
	// LinesPerSecond limits the lines that a process writes. Lines about failures
	// take precedence over the rest.
	LinesPerSecond int `json:"lines_per_second"`
}

// Link describes the VM's network link.
type Link struct {
	// Mbps is the rate of the link in megabits per second.
	Mbps float64 `json:"mbps"`
}

// LinkRate returns the rate of the VM's link in bytes per second.
func (s Settings) LinkRate() int {
	const bitsPerByte = 8
	return int(s.Link.Mbps * 1e6 / bitsPerByte)
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// Defaults returns the values of fields that a document leaves out.
//
// HeartbeatMS and LeaveMS suit a platform whose upstreams announce themselves
// about every second. DiskLosses is 2, which five disk VMs tolerate. A retry ratio
// of 0.1 with a slack of 10 requests in 10 s allows the requests of a failed
// upstream to be retried but prevents a retry storm. A load multiple of 2 leaves
// capacity for an often-used prompt; the slack of 3 is for services with hardly
// any load. A floor of 0.3 serves each rank at least a quarter as often as all requests
// even where a limit is off by a sixth; a reserve of 0.05 covers what more urgent
// requests need until the other routers know of them. UnreadyMS is 2.5 s because a balancer that probes every second and
// reacts to the second failed probe needs 2 s to redirect callers.
func Defaults() Settings {
	return Settings{
		DiskLosses: 2,
		// A nil list would be written as null, which Parse refuses.
		DataCentres: []protocol.DataCentre{},
		Upstreams:   Upstream{HeartbeatMS: 1000, LeaveMS: 2000},
		Retries:     Retries{Ratio: 0.1, WindowMS: 10_000, Slack: 10},
		Load:        Load{Multiple: 2, Slack: 3},
		PrefixCache: PrefixCache{Replicas: 1, MinTokens: 4096},
		Admission:   Admission{Reserve: 0.05, Floor: 0.3, Reports: true},
		SlowStart:   SlowStart{Overrun: 1},
		Stop:        Stop{UnreadyMS: 2500, GraceMS: 8000},
		Log:         Log{Level: "info", LinesPerSecond: 100},
		Memory:      settings.DefaultMemory(),
		Processor:   settings.DefaultProcessor(),
		Link:        Link{Mbps: 1000},
		Traces:      settings.DefaultTraces(),
	}
}

// ReadFile reads and checks the document at path. The error is a strict.Problems
// if the document was read but has mistakes.
func ReadFile(path string) (Settings, error) {
	return strict.ReadFile(path, Defaults(), check)
}

// Parse checks a document and fills in defaults. The error is a strict.Problems
// if the text is JSON but has mistakes.
func Parse(raw []byte) (Settings, error) {
	return strict.Parse(raw, Defaults(), check)
}

// Self returns the fleet-wide name of this process: the address at which the
// others reach it. The settings of the other processes contain addresses, not
// names, so this is the only name that all of them can derive.
func (s Settings) Self() protocol.RouterID { return protocol.RouterID(s.Listen.Peers) }

// PeersListen returns the address to listen at for the fleet's other processes.
func (s Settings) PeersListen() string {
	if s.Listen.PeersBind != "" {
		return s.Listen.PeersBind
	}
	return s.Listen.Peers
}

// NextPort stands for the port after that of Listen.Peers.
const NextPort = "next"

// RoutersListen returns the address to listen at for other routers' requests, "" for none.
func (s Settings) RoutersListen() string {
	if s.Listen.Routers != NextPort {
		return s.Listen.Routers
	}
	host, port, err := net.SplitHostPort(s.PeersListen())
	if err != nil {
		panic("direct: unchecked settings: listen.peers is not an address: " + s.PeersListen())
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		panic("direct: unchecked settings: listen.peers has no port: " + s.PeersListen())
	}
	return net.JoinHostPort(host, strconv.Itoa(number+1))
}

// SeedPeers returns the fleet-wide names of the seeds: their IP addresses with
// this process's peer port, which is the same on every VM.
func (s Settings) SeedPeers() []protocol.RouterID {
	_, port, err := net.SplitHostPort(s.Listen.Peers)
	if err != nil {
		panic("direct: unchecked settings: listen.peers is not an address: " + s.Listen.Peers)
	}
	peers := make([]protocol.RouterID, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			panic("direct: unchecked settings: a seed is not an address: " + seed)
		}
		peers = append(peers, protocol.RouterID(net.JoinHostPort(host, port)))
	}
	return peers
}

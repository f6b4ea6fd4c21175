// Package settings reads and checks the JSON document that configures an
// endiveplankd process of a fleet whose upstreams are owned by routers. Package
// direct holds the settings of fleets whose routers send to upstreams themselves.
//
// Parse and ReadFile report all mistakes of a document at once, each with its
// path, the value found and what is allowed, so that an operator can correct the
// file in one edit. docs/SETTINGS.md lists every field.
package settings

import (
	"time"

	"endiveplank/protocol"
)

// Role is what a process does besides routing.
type Role string

const (
	// RoleRouter serves callers and owns upstreams; it keeps no files.
	RoleRouter Role = "router"
	// RoleVoter also votes in consensus and keeps the replicated state in its
	// data folder.
	RoleVoter Role = "voter"
	// RoleSpare follows the replicated state as a learner and can replace a lost
	// voter.
	RoleSpare Role = "spare"
)

// Settings is the whole document.
type Settings struct {
	RouterID   protocol.RouterID   `json:"router_id"`
	Role       Role                `json:"role"`
	DataCentre protocol.DataCentre `json:"data_centre"`
	Region     string              `json:"region"`
	// DataFolder holds all files of a voter or spare.
	DataFolder string `json:"data_folder"`
	Listen     Listen `json:"listen"`
	// Peers are the processes that this one contacts first: every voter and,
	// optionally, others. It learns the rest from the replicated state.
	Peers []Peer `json:"peers"`
	// Voters are the initial voters of a new fleet. They are used only when a
	// voter starts for the first time, with an empty data folder.
	Voters []protocol.RouterID `json:"voters"`
	// Spares are the processes with the role spare. The list is the same in all
	// processes. One of the spares replaces a lost voter.
	Spares     []protocol.RouterID `json:"spares"`
	TLS        TLS                 `json:"tls"`
	Operators  []Operator          `json:"operators"`
	Callers    Callers             `json:"callers"`
	Load       Load                `json:"load"`
	Timing     Timing              `json:"timing"`
	Membership Membership          `json:"membership"`
	// Memory, Processor and Descriptors are what the process has.
	Memory      Memory      `json:"memory"`
	Processor   Processor   `json:"processor"`
	Descriptors Descriptors `json:"descriptors"`
	Log         Log         `json:"log"`
	Traces      Traces      `json:"traces"`
}

// Listen holds the IP:port of each listener.
type Listen struct {
	// Callers accepts callers' requests and the platform's probes.
	Callers string `json:"callers"`
	// Upstreams accepts upstreams' announcements.
	Upstreams string `json:"upstreams"`
	// Admin accepts operators' calls and metrics scrapes.
	Admin string `json:"admin"`
	// Peers accepts connections from the fleet's other processes.
	Peers string `json:"peers"`
}

// Peer is another process of the fleet.
type Peer struct {
	RouterID protocol.RouterID `json:"router_id"`
	Address  string            `json:"address"`
}

// TLS names the files for mutual TLS between the fleet's processes. If all three
// are empty, peers communicate without encryption, which is meant only for a
// fleet on one machine.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	AuthorityFile   string `json:"authority_file"`
}

// OperatorRole is the set of operations that an operator's key permits. Each role
// includes those before it.
type OperatorRole string

const (
	OperatorRead    OperatorRole = "read"
	OperatorEdit    OperatorRole = "edit"
	OperatorControl OperatorRole = "control"
)

// Operator is one operator's key, kept as its SHA-256 in hexadecimal.
type Operator struct {
	Name      string       `json:"name"`
	Role      OperatorRole `json:"role"`
	KeySHA256 string       `json:"key_sha256"`
}

// Callers limits the resources that one caller can occupy in the process.
type Callers struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// HeaderTimeoutMS limits how long a caller may take to send its header.
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	// BodyTimeoutMS limits how long a caller may take to send its body.
	BodyTimeoutMS int `json:"body_timeout_ms"`
	// WriteTimeoutMS limits how long writing one chunk to a slow caller may take.
	WriteTimeoutMS int `json:"write_timeout_ms"`
	// DeadlineMS is the deadline of a request whose route has none.
	DeadlineMS int `json:"deadline_ms"`
}

// Load configures placement and admission control.
type Load struct {
	// Multiple limits each upstream's load to this multiple of the fleet's mean.
	Multiple float64 `json:"multiple"`
	// ReuseWeight is the weight of cache reuse against even load in placement:
	// 0 prefers even load, 1 prefers cache reuse.
	ReuseWeight float64 `json:"reuse_weight"`
}

// Timing holds the intervals of failure detection, in milliseconds.
type Timing struct {
	// StallMS is how long an upstream or peer may make no progress while it has
	// requests in flight.
	StallMS int `json:"stall_ms"`
	// ReplaceVoterMS is how long a voter may be silent before a spare replaces it
	// permanently.
	ReplaceVoterMS int `json:"replace_voter_ms"`
	// UnreadyMS is how long a stopping router reports unready but still serves
	// before it refuses new requests. The platform's balancer needs this time to
	// notice.
	UnreadyMS int `json:"unready_ms"`
	// DrainMS is how long a planned stop waits for requests in flight.
	DrainMS int `json:"drain_ms"`
}

// Membership limits the gossip traffic by which routers discover each other and
// detect failures.
type Membership struct {
	// BytesPerSecond is the most that one router may send for membership,
	// including the overhead of the network layers below.
	BytesPerSecond int `json:"bytes_per_second"`
}

// Log selects the level and format of log lines.
type Log struct {
	// Level is one of debug, info, warn, error.
	Level string `json:"level"`
	// Format is json or text.
	Format string `json:"format"`
}

// Traces selects where spans go.
type Traces struct {
	// Exporter is one of none, stdout, file, otlp.
	Exporter string `json:"exporter"`
	// File is the path for the file exporter.
	File string `json:"file"`
	// Endpoint is the URL for the otlp exporter.
	Endpoint string `json:"endpoint"`
	// SampleRatio is the share of requests traced, from 0 to 1.
	SampleRatio float64 `json:"sample_ratio"`
}

// DefaultTraces exports no spans. If an exporter is set, one request in a hundred
// is sampled by default, which represents the traffic at little cost.
func DefaultTraces() Traces { return Traces{Exporter: "none", SampleRatio: 0.01} }

// Defaults returns the values of fields that a document leaves out.
func Defaults() Settings {
	return Settings{
		Role: RoleRouter,
		Callers: Callers{
			MaxBodyBytes:    4 << 20,
			MaxHeaderBytes:  64 << 10,
			HeaderTimeoutMS: 5_000,
			BodyTimeoutMS:   30_000,
			WriteTimeoutMS:  10_000,
			DeadlineMS:      120_000,
		},
		Load:       Load{Multiple: 1.25, ReuseWeight: 0.5},
		Timing:     Timing{StallMS: 3_000, ReplaceVoterMS: 30_000, UnreadyMS: 2_000, DrainMS: 60_000},
		Membership: Membership{BytesPerSecond: 3_000},
		Memory:     DefaultMemory(),
		Processor:  DefaultProcessor(),
		Log:        Log{Level: "info", Format: "json"},
		Traces:     DefaultTraces(),
	}
}

// Stall returns StallMS as a duration.
func (t Timing) Stall() time.Duration { return time.Duration(t.StallMS) * time.Millisecond }

// Unready returns UnreadyMS as a duration.
func (t Timing) Unready() time.Duration { return time.Duration(t.UnreadyMS) * time.Millisecond }

// Drain returns DrainMS as a duration.
func (t Timing) Drain() time.Duration { return time.Duration(t.DrainMS) * time.Millisecond }

// KeepsState says whether the process has a data folder and takes part in
// consensus.
func (s Settings) KeepsState() bool { return s.Role == RoleVoter || s.Role == RoleSpare }

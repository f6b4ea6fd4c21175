// Package settings reads and checks the one JSON document that configures an
// endiveplankd process. Every mistake is reported at once, each with its path,
// the value found and what is allowed, so that an operator mends a file in one
// go. docs/SETTINGS.md lists every field.
package settings

import (
	"time"

	"endiveplank/protocol"
)

// Role says what a process does besides routing.
type Role string

const (
	// RoleRouter serves callers and owns upstreams; it keeps no files.
	RoleRouter Role = "router"
	// RoleVoter also votes in consensus and keeps the replicated state in its
	// data folder.
	RoleVoter Role = "voter"
	// RoleSpare follows the replicated state as a learner, ready to replace a
	// lost voter.
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
	// Peers are the fleet's seeds: every voter, and any others worth asking
	// first. The rest are learned from the replicated state.
	Peers []Peer `json:"peers"`
	// Voters are the voters of a new fleet. They matter only when a voter
	// starts with an empty data folder for the first time.
	Voters []protocol.RouterID `json:"voters"`
	// Spares are processes with the role spare, the same list everywhere. A
	// voter that is lost is replaced by one of them.
	Spares     []protocol.RouterID `json:"spares"`
	TLS        TLS                 `json:"tls"`
	Operators  []Operator          `json:"operators"`
	Callers    Callers             `json:"callers"`
	Load       Load                `json:"load"`
	Timing     Timing              `json:"timing"`
	Membership Membership          `json:"membership"`
	Log        Log                 `json:"log"`
	Traces     Traces              `json:"traces"`
}

// Listen holds the IP:port of each listener.
type Listen struct {
	// Callers takes callers' requests and the platform's probes.
	Callers string `json:"callers"`
	// Upstreams takes announcements.
	Upstreams string `json:"upstreams"`
	// Admin takes operators' calls and metrics scrapes.
	Admin string `json:"admin"`
	// Peers takes connections from the fleet's other processes.
	Peers string `json:"peers"`
}

// Peer is another process of the fleet.
type Peer struct {
	RouterID protocol.RouterID `json:"router_id"`
	Address  string            `json:"address"`
}

// TLS names the files for mutual TLS between the fleet's processes. With all
// three empty the peers talk in clear, which is meant for one machine only.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	AuthorityFile   string `json:"authority_file"`
}

// OperatorRole says what an operator's key may do. Each role includes those
// before it.
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

// Callers bounds what one caller can make the process hold.
type Callers struct {
	// MaxBodyBytes is the largest request body taken.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeaderBytes is the largest request header taken.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// HeaderTimeoutMS bounds how long a caller may take to send its header.
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	// BodyTimeoutMS bounds how long a caller may take to send its body.
	BodyTimeoutMS int `json:"body_timeout_ms"`
	// WriteTimeoutMS bounds how long one chunk may wait on a slow caller.
	WriteTimeoutMS int `json:"write_timeout_ms"`
	// DeadlineMS is the time a request has when its route names none.
	DeadlineMS int `json:"deadline_ms"`
}

// Load tunes placement and admission.
type Load struct {
	// Multiple bounds each upstream's load by this multiple of the fleet's
	// mean.
	Multiple float64 `json:"multiple"`
	// ReuseWeight moves placement from skew first (0) to cache reuse first (1).
	ReuseWeight float64 `json:"reuse_weight"`
}

// Timing holds the intervals of failure detection, in milliseconds.
type Timing struct {
	// StallMS is the longest an upstream or peer may go without progress while
	// work is on it.
	StallMS int `json:"stall_ms"`
	// ReplaceVoterMS is how long a voter may be silent before a spare takes its
	// place for good.
	ReplaceVoterMS int `json:"replace_voter_ms"`
	// UnreadyMS is how long a stopping router reports unready, and still
	// serves, before it refuses new requests: the time the platform's balancer
	// needs to notice.
	UnreadyMS int `json:"unready_ms"`
	// DrainMS is how long a planned stop waits for requests in flight.
	DrainMS int `json:"drain_ms"`
}

// Membership bounds the traffic by which routers find each other and the dead.
type Membership struct {
	// BytesPerSecond is what one router may send for it, with the cost of the
	// packets below it.
	BytesPerSecond int `json:"bytes_per_second"`
}

// Log selects level and form of log lines.
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

// DefaultTraces are no spans. Where they are switched on, one request in a
// hundred shows the shape of all and costs little.
func DefaultTraces() Traces { return Traces{Exporter: "none", SampleRatio: 0.01} }

// Defaults returns the settings that hold where a document says nothing.
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
		Log:        Log{Level: "info", Format: "json"},
		Traces:     DefaultTraces(),
	}
}

// Stall returns the progress deadline.
func (t Timing) Stall() time.Duration { return time.Duration(t.StallMS) * time.Millisecond }

// Unready returns the time between reporting unready and refusing.
func (t Timing) Unready() time.Duration { return time.Duration(t.UnreadyMS) * time.Millisecond }

// Drain returns the planned stop's patience.
func (t Timing) Drain() time.Duration { return time.Duration(t.DrainMS) * time.Millisecond }

// KeepsState says whether the process has a data folder and takes part in
// consensus.
func (s Settings) KeepsState() bool { return s.Role == RoleVoter || s.Role == RoleSpare }

// Package loadgen sends a seeded trace of requests to a fleet and checks what
// callers get. Run takes Options and returns a Result with a Phase for each kind
// of target.
//
// It compares each answer to a chat byte for byte with the one that package
// answer computes for that request, and the outcome of each order with what the
// order desks say they ran. So a run finds answers that were truncated, mixed up
// or repeated in part, and orders that were lost, run twice or falsely reported
// as not run. It also measures, with HDR histograms, the time to the first token,
// between tokens and to the end of an answer; the engines' loads over time; and
// the share of prompt tokens that came from a cache.
//
// The load is open-loop: requests arrive at the times of the trace and do not
// wait for earlier answers, as long as fewer than MaxInFlight are in flight.
// Latency counts from the moment a request is sent; an arrival that could not be
// sent in time counts as late. A refused caller waits as long as Retry-After says
// and retries a few times.
//
// With direct targets, the same trace first goes to the engines themselves, each
// chat always to the same engine. This phase is the baseline for the latency that
// the fleet adds. The two phases use different texts, so that the second phase
// finds nothing of the first in the engines' caches.
package loadgen

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/loadgen/trace"
	"endiveplank/transport/bounded"
)

// Names of phases: requests go to the engines directly, or through the fleet.
const (
	PhaseDirect = "direct"
	PhaseFleet  = "fleet"
)

// Options configures a run. Start from DefaultOptions.
type Options struct {
	Title string
	// Targets are the fleet's caller addresses, host:port.
	Targets []string
	// Direct are the engines' addresses for the baseline; empty for no baseline.
	Direct []string
	// Engines are the addresses of the engines whose counters are read; Direct if
	// empty.
	Engines []string
	// Desks are the order desks' addresses for the audit. If empty, no orders are
	// sent.
	Desks []string
	// Processes are those on this machine whose processor time and memory are
	// measured.
	Processes []Process
	// OrderPath is the path of the order service at the fleet.
	OrderPath string
	// KeyPattern is the bearer key of a customer with %s for its name, and
	// CustomerPattern the name with %d for the customer's number, counted from 1.
	KeyPattern      string
	CustomerPattern string
	Seed            uint64
	Trace           trace.Model
	Duration        time.Duration
	// Requests ends a phase early; 0 for no limit.
	Requests    int
	MaxInFlight int
	// Timeout is the timeout of one attempt. Retries is the maximum number of
	// attempts after the first, and MaxRetryWait the longest pause before one.
	Timeout      time.Duration
	Retries      int
	MaxRetryWait time.Duration
	// PollEvery is the interval at which the engines' counters are read.
	PollEvery     time.Duration
	ProgressEvery time.Duration
	// AuditDelay is the time between the fleet's phase and the audit, in which
	// orders that are still in flight can reach the desks.
	AuditDelay time.Duration
}

// DefaultOptions returns the options that docs/LOAD.md documents.
func DefaultOptions() Options {
	return Options{
		Title:           "load",
		OrderPath:       "/svc/orders/orders",
		KeyPattern:      "key-%s",
		CustomerPattern: "c%d",
		Seed:            1,
		Trace:           trace.DefaultModel(),
		Duration:        30 * time.Second,
		MaxInFlight:     2000,
		Timeout:         60 * time.Second,
		Retries:         3,
		MaxRetryWait:    5 * time.Second,
		PollEvery:       250 * time.Millisecond,
		ProgressEvery:   2 * time.Second,
		AuditDelay:      time.Second,
	}
}

// key returns the bearer key of a customer, given by its rank from 0.
func (o Options) key(customer int) string {
	name := fmt.Sprintf(o.CustomerPattern, customer+1)
	return strings.ReplaceAll(o.KeyPattern, "%s", name)
}

// Run runs the phases, audits the orders and compares the phases. It returns an
// error only if the options do not allow a run; broken guarantees are listed in
// the result.
func Run(ctx context.Context, options Options, progress io.Writer) (*Result, error) {
	if len(options.Targets)+len(options.Direct) == 0 {
		return nil, eris.New("no targets: name the fleet's caller addresses, or engines for a direct run")
	}
	if options.Trace.Rate <= 0 || options.Trace.Customers < 1 || len(options.Trace.Models) == 0 {
		return nil, eris.Errorf("the rate (%g), the number of customers (%d) and the number of models (%d) must be positive", options.Trace.Rate, options.Trace.Customers, len(options.Trace.Models))
	}
	if len(options.Engines) == 0 {
		options.Engines = options.Direct
	}
	result := &Result{Schema: Schema, Title: options.Title, Settings: options.runSettings()}
	if len(options.Direct) > 0 {
		r := newRunner(options, PhaseDirect, options.Direct, progress)
		r.sticky = true
		result.Phases = append(result.Phases, r.measure(ctx))
	}
	if len(options.Targets) > 0 {
		r := newRunner(options, PhaseFleet, options.Targets, progress)
		r.withOrders = len(options.Desks) > 0
		result.Phases = append(result.Phases, r.measure(ctx))
		if r.withOrders {
			sleepUntil(ctx, time.Now().Add(options.AuditDelay))
			runs, missing := fetchRuns(ctx, options.Desks)
			result.Audit = auditOrders(r.recorder.orders, runs, missing)
		}
	}
	if len(result.Phases) == 2 {
		result.Added = compare(result.Phases[0].Latency, result.Phases[1].Latency)
	}
	result.Broken = result.brokenGuarantees()
	return result, nil
}

func (o Options) runSettings() RunSettings {
	return RunSettings{
		Seed:        o.Seed,
		Run:         o.Trace.Run,
		Rate:        o.Trace.Rate,
		DurationS:   o.Duration.Seconds(),
		Customers:   o.Trace.Customers,
		Targets:     len(o.Targets),
		Engines:     len(o.Engines),
		MaxInFlight: o.MaxInFlight,
	}
}

func newRunner(options Options, name string, targets []string, progress io.Writer) *runner {
	transport := &http.Transport{
		MaxIdleConnsPerHost: options.MaxInFlight,
		DisableCompression:  true,
		// The default is 10 MB for each connection.
		MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}
	return &runner{
		options:  options,
		name:     name,
		targets:  targets,
		client:   &http.Client{Transport: transport},
		recorder: newRecorder(),
		progress: progress,
	}
}

// measure runs the phase and meanwhile reads the engines and processes.
func (r *runner) measure(ctx context.Context) Phase {
	stop := startPolling(r.options.Engines, r.options.Processes, r.options.PollEvery)
	phase := r.run(ctx)
	r.client.CloseIdleConnections()
	readings := stop()
	phase.Engines = readings.series
	phase.Processes = readings.processes.costs(phase.Counts.Tokens)
	phase.Skew = skewOf(phase.Engines)
	return phase
}

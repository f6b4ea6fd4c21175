// Package loadgen drives a fleet with a seeded trace of requests and judges
// what callers get.
//
// Each answer to a chat is compared byte for byte with the one that package
// answer gives to that request, and each order with what the order desks say
// they ran. So a run finds answers that were cut, mixed up or repeated in part,
// and orders that were lost, doubled or falsely told as not run. Besides, it
// measures: time to the first token, between tokens and to the end by
// HdrHistogram, the engines' loads over time, and the share of prompt tokens
// that came from a cache.
//
// Arrivals follow the trace's clock and do not wait for answers, up to
// MaxInFlight. Latency counts from the moment a request is sent; an arrival
// that could not be sent in time counts as late. A refused caller waits as
// long as Retry-After says and tries again a few times.
//
// With direct targets, the same trace first goes to the engines themselves,
// each chat always to the same one. Its figures are the baseline for what the
// fleet adds. The two phases use different texts, so that the second finds no
// cache of the first.
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
)

// Names of phases.
const (
	PhaseDirect = "direct"
	PhaseFleet  = "fleet"
)

// Options say what to run. Start from DefaultOptions.
type Options struct {
	Title string
	// Targets are the fleet's caller addresses, host:port.
	Targets []string
	// Direct are engines' addresses for the baseline; empty for none.
	Direct []string
	// Engines are the addresses whose totals are read; Direct when empty.
	Engines []string
	// Desks are the order desks' addresses for the audit. Without them no
	// orders are sent.
	Desks []string
	// Processes on this machine whose processor time and memory are read.
	Processes []Process
	// OrderPath is the fleet's path of the order service.
	OrderPath string
	// KeyPattern makes a customer's bearer key from its name, and
	// CustomerPattern the name from its number, counted from 1.
	KeyPattern      string
	CustomerPattern string
	Seed            uint64
	Trace           trace.Model
	Duration        time.Duration
	// Requests ends a phase early; 0 for no limit.
	Requests     int
	MaxInFlight  int
	Timeout      time.Duration
	Retries      int
	MaxRetryWait time.Duration
	// PollEvery is the interval of the engines' readings.
	PollEvery     time.Duration
	ProgressEvery time.Duration
	// AuditSettle is the time given to orders on their way before the audit.
	AuditSettle time.Duration
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
		AuditSettle:     time.Second,
	}
}

// key returns the bearer key of a customer given by its rank.
func (o Options) key(customer int) string {
	name := fmt.Sprintf(o.CustomerPattern, customer+1)
	return strings.ReplaceAll(o.KeyPattern, "%s", name)
}

// Run carries out the phases, the audit and the comparison. It returns an
// error only where the options do not allow a run; broken promises are in the
// result.
func Run(ctx context.Context, options Options, progress io.Writer) (*Result, error) {
	if len(options.Targets)+len(options.Direct) == 0 {
		return nil, eris.New("no targets: name the fleet's caller addresses, or engines for a direct run")
	}
	if options.Trace.Rate <= 0 || options.Trace.Customers < 1 || len(options.Trace.Models) == 0 {
		return nil, eris.New("the rate, the customers and the models must not be empty")
	}
	if len(options.Engines) == 0 {
		options.Engines = options.Direct
	}
	result := &Result{Schema: Schema, Title: options.Title, Settings: options.summary()}
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
			sleepUntil(ctx, time.Now().Add(options.AuditSettle))
			runs, missing := fetchRuns(ctx, options.Desks)
			result.Audit = auditOrders(r.recorder.orders, runs, missing)
		}
	}
	if len(result.Phases) == 2 {
		result.Added = compare(result.Phases[0].Latency, result.Phases[1].Latency)
	}
	result.Broken = result.broken()
	return result, nil
}

func (o Options) summary() Summary {
	return Summary{
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

// measure runs the phase while it reads the engines and processes.
func (r *runner) measure(ctx context.Context) Phase {
	stop := startPoll(r.options.Engines, r.options.Processes, r.options.PollEvery)
	phase := r.run(ctx)
	r.client.CloseIdleConnections()
	readings := stop()
	phase.Engines = readings.series
	phase.Processes = readings.processes.costs(phase.Counts.Tokens)
	phase.Skew = skewOf(phase.Engines)
	return phase
}

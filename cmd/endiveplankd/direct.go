package main

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"endiveplank/coordination/roster"
	"endiveplank/coordination/routing"
	"endiveplank/daemon/diskvm"
	"endiveplank/daemon/loglines"
	"endiveplank/daemon/router"
	"endiveplank/platform"
	"endiveplank/settings/direct"
	"endiveplank/transport/limited"
	"endiveplank/transport/tracing"
)

const (
	// settingsVariable is the environment variable that may name the settings
	// file.
	settingsVariable = "ENDIVEPLANK_CONFIG"
	// memoryLimitShare is the share of the memory limit at which the garbage
	// collector runs more often. The rest is for stacks, kernel buffers and bursts.
	memoryLimitShare = 0.6
	// gcPercent makes the garbage collector run earlier than by default, because
	// peak memory costs more here than processor time.
	gcPercent = 50
	// logFlushTimeout limits how long writing the last log lines may take.
	logFlushTimeout = 200 * time.Millisecond
	// controlHeaderTimeout limits the time for reading the header, and
	// controlReadTimeout that for the whole request, of an operator or upstream.
	controlHeaderTimeout = 3 * time.Second
	controlReadTimeout   = 10 * time.Second
	// controlWriteTimeout limits the time from the header to the end of the answer, which may be a
	// whole table.
	controlWriteTimeout = 20 * time.Second
	// controlDescriptorShare and metricsDescriptorShare are the shares of a disk VM's file
	// descriptors that the connections of these listeners may have.
	controlDescriptorShare = 0.4
	metricsDescriptorShare = 0.01
	// maxControlHeaderBytes bounds the header of a call of an operator or upstream.
	maxControlHeaderBytes = 64 << 10
	// shutdownTimeout limits how long a stopping disk VM waits for calls in
	// flight, which take less than a second.
	shutdownTimeout = time.Second
)

// process is a running router or disk VM of a fleet whose routers send to
// upstreams themselves.
type process interface {
	// Reload applies changed settings.
	Reload(direct.Settings)
	// Stop performs a planned stop. It reports whether all requests in flight were
	// completed.
	Stop() bool
}

// loggers are the loggers of a process: one for its own events, one for the lines
// about requests.
type loggers struct{ log, requests zerolog.Logger }

// startFunc starts a process with one of the roles.
type startFunc func(loggers, direct.Settings, *rand.Rand) (process, error)

// directCommand returns the command that runs a process with the given role, with
// a subcommand that checks its settings.
func directCommand(path *string, role direct.Role, short string, start startFunc) *cobra.Command {
	run := &cobra.Command{
		Use:   string(role),
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runDirect(settingsPath(command, *path), role, start)
		},
	}
	run.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check a settings file of this role without starting",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if _, err := readDirect(settingsPath(command, *path), role); err != nil {
				return err
			}
			return printValid(command)
		},
	})
	return run
}

// readDirect reads the settings of a role. It returns an error if the file can't
// be read, has mistakes, or is for another role.
func readDirect(path string, role direct.Role) (direct.Settings, error) {
	settings, err := direct.ReadFile(path)
	if err != nil {
		return settings, err
	}
	if settings.Role != role {
		return settings, eris.Errorf("the settings are for the role %s, not %s", settings.Role, role)
	}
	return settings, nil
}

// settingsPath returns the path of the settings file: the flag if it was given,
// else the environment variable, else the flag's default.
func settingsPath(command *cobra.Command, flag string) string {
	if named := os.Getenv(settingsVariable); named != "" && !command.Flags().Changed("config") {
		return named
	}
	return flag
}

// runDirect runs a process with the given role until a signal stops it.
func runDirect(path string, role direct.Role, start startFunc) error {
	settings, err := readDirect(path, role)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * settings.Memory.LimitMB * (1 << 20)))
	lines := loglines.New(os.Stdout, settings.Name, settings.Log.LinesPerSecond)
	defer lines.Close(logFlushTimeout)
	log := newDirectLogger(settings, lines)
	running, err := start(loggers{log: log, requests: newDirectLogger(settings, lines.PerRequest())}, settings, newRandom())
	if err != nil {
		log.Error().Str("event", "not-started").Err(err).Send()
		return err
	}
	log.Info().Str("event", "started").Str("role", string(role)).Strs("seeds", settings.Seeds).Send()
	waitForStop(func() { reloadDirect(running, path, log) })
	if !running.Stop() {
		return errRequestsCut
	}
	return nil
}

// newDirectLogger returns the logger of a process.
func newDirectLogger(settings direct.Settings, lines io.Writer) zerolog.Logger {
	level, err := zerolog.ParseLevel(settings.Log.Level)
	if err != nil {
		panic("endiveplankd: unchecked settings: log.level is invalid: " + settings.Log.Level)
	}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	// Two decimals suffice for durations in milliseconds and for loads relative to
	// the mean.
	zerolog.FloatingPointPrecision = 2
	return zerolog.New(lines).Level(level).With().Timestamp().Str("node", settings.Name).Logger()
}

// newRandom returns a source of random numbers with a random seed, so that VMs that
// start at the same moment do not make the same choices.
func newRandom() *rand.Rand {
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		panic("endiveplankd: read random seed from the system: " + err.Error())
	}
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// reloadDirect reads the settings file again and applies it. If the file has
// mistakes, the running settings stay in force.
func reloadDirect(running process, path string, log zerolog.Logger) {
	changed, err := direct.ReadFile(path)
	if err != nil {
		log.Error().Str("event", "settings-not-reloaded").Err(err).Send()
		return
	}
	running.Reload(changed)
}

// startRouter starts a router.
func startRouter(logs loggers, settings direct.Settings, random *rand.Rand) (process, error) {
	tracer, err := tracing.New(settings.Traces, settings.Self(), settings.DataCentre)
	if err != nil {
		return nil, err
	}
	return router.New(router.Options{
		Settings: settings, Tracer: tracer, Dialect: platform.Dialect{}, Log: logs.log, RequestLog: logs.requests, Random: random,
		ParseTable: func(_ uint64, body []byte) (*routing.Table, error) { return platform.ReadTable(body) },
		AnnouncementHandler: func(confirm func(context.Context, roster.Entry) bool, countRefused func()) http.Handler {
			return platform.NewAnnouncementHandler(confirm, countRefused, logs.log)
		},
	})
}

// diskVM is a disk VM with its HTTP servers.
type diskVM struct {
	*diskvm.VM
	log     zerolog.Logger
	limits  *limited.Budgets
	servers []*http.Server
}

// startDiskVM starts a disk VM and its HTTP servers for control and metrics.
func startDiskVM(logs loggers, settings direct.Settings, random *rand.Rand) (process, error) {
	limits := limited.New(limited.Options{MemoryBytes: settings.Memory.LimitBytes(), Processor: settings.Processor.Share, Descriptors: settings.Descriptors.Limit})
	vm, err := diskvm.New(diskvm.Options{Settings: settings, Limits: limits, CheckTable: platform.CheckTable, Log: logs.log, Random: random})
	if err != nil {
		return nil, err
	}
	d := &diskVM{VM: vm, log: logs.log, limits: limits}
	if err := d.serve(settings.Listen.Control, platform.NewControlHandler(vm, logs.log), controlDescriptorShare); err != nil {
		d.Stop()
		return nil, err
	}
	if settings.Listen.Metrics == "" {
		return d, nil
	}
	if err := d.serve(settings.Listen.Metrics, http.HandlerFunc(vm.ServeMetrics), metricsDescriptorShare); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

// serve starts an HTTP server at address, whose connections may have a share of the descriptors.
func (d *diskVM) serve(address string, handler http.Handler, share float64) error {
	listener, err := limited.Open(address)
	if err != nil {
		return eris.Wrapf(err, "listen at %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: controlHeaderTimeout, ReadTimeout: controlReadTimeout, WriteTimeout: controlWriteTimeout, MaxHeaderBytes: maxControlHeaderBytes}
	d.servers = append(d.servers, server)
	bounded := d.limits.Listen(listener, server, share)
	go func() {
		if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error().Str("event", "server-ended").Str("address", address).Err(err).Send()
		}
	}()
	return nil
}

// Stop implements process. It gives calls in flight shutdownTimeout to complete.
func (d *diskVM) Stop() bool {
	d.log.Info().Str("event", "stopping").Send()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil {
			d.log.Warn().Str("event", "calls-cut").Err(err).Send()
		}
	}
	d.VM.Stop()
	d.log.Info().Str("event", "stopped").Send()
	return true
}

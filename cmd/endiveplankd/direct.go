package main

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
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
	"endiveplank/transport/tracing"
)

const (
	// settingsVariable may name the settings file.
	settingsVariable = "ENDIVEPLANK_CONFIG"
	// memoryShare is the part of the memory limit at which the collector works
	// harder; the rest is for stacks, buffers of the kernel and bursts.
	memoryShare = 0.6
	// collectPercent makes the collector run early: peak memory costs more
	// here than processor time.
	collectPercent = 50
	// logPatience is how long the last log lines may take.
	logPatience = 200 * time.Millisecond
	// controlHeaderTimeout bounds the header, and controlReadTimeout the whole,
	// of an operator's or upstream's call.
	controlHeaderTimeout = 3 * time.Second
	controlReadTimeout   = 10 * time.Second
	// stopPatience is how long a stopping disk VM waits for calls under way,
	// which take less than a second.
	stopPatience = time.Second
)

// process is a role of a fleet whose routers send to upstreams themselves.
type process interface {
	Reload(direct.Settings)
	// Stop ends the process as planned and reports whether nothing was cut.
	Stop() bool
}

// logs are a role's loggers: one for what it does and believes, one for the
// lines of requests.
type logs struct{ log, requests zerolog.Logger }

// starter starts a role.
type starter func(logs, direct.Settings, *rand.Rand) (process, error)

// directCommand returns the command that runs one such role.
func directCommand(path *string, role direct.Role, short string, start starter) *cobra.Command {
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
			return sayGood(command)
		},
	})
	return run
}

// readDirect reads the settings of a role. Errors: those of the file, all
// mistakes in it, a file for another role.
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

// settingsPath prefers the flag over the environment.
func settingsPath(command *cobra.Command, flag string) string {
	if named := os.Getenv(settingsVariable); named != "" && !command.Flags().Changed("config") {
		return named
	}
	return flag
}

// runDirect runs a role until a signal ends it.
func runDirect(path string, role direct.Role, start starter) error {
	settings, err := readDirect(path, role)
	if err != nil {
		return err
	}
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory.LimitMB) * (1 << 20)))
	lines := loglines.New(os.Stdout, settings.Name, settings.Log.LinesPerSecond)
	defer lines.Close(logPatience)
	log := newDirectLogger(settings, lines)
	running, err := start(logs{log: log, requests: newDirectLogger(settings, lines.PerRequest())}, settings, newRandom())
	if err != nil {
		log.Error().Str("event", "not-started").Err(err).Send()
		return err
	}
	log.Info().Str("event", "started").Str("role", string(role)).Strs("seeds", settings.Seeds).Send()
	awaitStop(func() { reloadDirect(running, path, log) })
	if !running.Stop() {
		return errCut
	}
	return nil
}

// newDirectLogger returns the logger of a role.
func newDirectLogger(settings direct.Settings, lines io.Writer) zerolog.Logger {
	level, err := zerolog.ParseLevel(settings.Log.Level)
	if err != nil {
		panic("endiveplankd: settings with a log level that was not checked: " + settings.Log.Level)
	}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	// Hundredths of a millisecond, and of the mean load, are all that anybody reads.
	zerolog.FloatingPointPrecision = 2
	return zerolog.New(lines).Level(level).With().Timestamp().Str("node", settings.Name).Logger()
}

// newRandom returns a source that differs between two starts, also where two
// VMs start at the same moment.
func newRandom() *rand.Rand {
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		panic("endiveplankd: the system has no random numbers: " + err.Error())
	}
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// reloadDirect reads the settings again. A document with mistakes changes
// nothing.
func reloadDirect(running process, path string, log zerolog.Logger) {
	changed, err := direct.ReadFile(path)
	if err != nil {
		log.Error().Str("event", "settings-not-reloaded").Err(err).Send()
		return
	}
	running.Reload(changed)
}

// startRouter starts the role router.
func startRouter(logs logs, settings direct.Settings, random *rand.Rand) (process, error) {
	tracer, err := tracing.New(settings.Traces, settings.Self(), settings.DataCentre)
	if err != nil {
		return nil, err
	}
	return router.New(router.Options{
		Settings: settings, Tracer: tracer, Dialect: platform.Dialect{}, Log: logs.log, RequestLog: logs.requests, Random: random,
		ParseTable: func(_ uint64, body []byte) (*routing.Table, error) { return platform.ReadTable(body) },
		AnnouncementHandler: func(take func(context.Context, roster.Entry) bool) http.Handler {
			return platform.NewAnnouncementHandler(take, logs.log)
		},
	})
}

// diskVM joins a disk VM with its servers.
type diskVM struct {
	*diskvm.VM
	log     zerolog.Logger
	servers []*http.Server
}

// startDiskVM starts the role disk-vm.
func startDiskVM(logs logs, settings direct.Settings, random *rand.Rand) (process, error) {
	vm, err := diskvm.New(diskvm.Options{Settings: settings, CheckTable: platform.CheckTable, Log: logs.log, Random: random})
	if err != nil {
		return nil, err
	}
	d := &diskVM{VM: vm, log: logs.log}
	if err := d.serve(settings.Listen.Control, platform.NewControlHandler(vm, logs.log)); err != nil {
		d.Stop()
		return nil, err
	}
	if settings.Listen.Metrics == "" {
		return d, nil
	}
	if err := d.serve(settings.Listen.Metrics, http.HandlerFunc(vm.ServeMetrics)); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

// serve starts a server.
func (d *diskVM) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen at %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: controlHeaderTimeout, ReadTimeout: controlReadTimeout}
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error().Str("event", "server-ended").Str("address", address).Err(err).Send()
		}
	}()
	return nil
}

// Stop implements process. Calls under way have some time to end.
func (d *diskVM) Stop() bool {
	d.log.Info().Str("event", "stopping").Send()
	ctx, cancel := context.WithTimeout(context.Background(), stopPatience)
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

package daemon

import (
	"strings"

	"endiveplank/settings"
)

// Reload puts in force what a changed document may change in a running
// process: the operators' keys and the log level. It returns the other fields
// that differ; they need a restart and stay as they were. Keys and
// certificates are read again by themselves when their files change.
func (d *Daemon) Reload(changed settings.Settings) []string {
	d.admin.SetOperators(changed.Operators)
	SetLogLevel(changed.Log)
	later := settings.NeedRestart(d.settings, changed)
	d.log.Info().Str("need_restart", strings.Join(later, " ")).Msg("daemon: settings reloaded")
	return later
}

package daemon

import (
	"strings"

	"endiveplank/settings"
)

// Reload applies what changed settings may change in a running process: the operators' keys and
// the log level. It returns the other fields that differ; they need a restart and keep their old
// values. Reload isn't needed for TLS keys and certificates: the process reads them again when
// their files change.
func (d *Daemon) Reload(changed settings.Settings) []string {
	d.admin.SetOperators(changed.Operators)
	SetLogLevel(changed.Log)
	needRestart := settings.NeedRestart(d.settings, changed)
	d.log.Info().Str("need_restart", strings.Join(needRestart, " ")).Msg("daemon: settings reloaded")
	return needRestart
}

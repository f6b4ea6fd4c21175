package daemon

import (
	"strings"

	"endiveplank/settings"
)

// Reload applies the changed settings that need no restart: the operators' keys and the log level.
// It returns the other fields that differ; they keep their old values until a restart. Reload isn't
// needed for TLS keys and certificates: the process reads them again when their files change.
func (d *Daemon) Reload(changed settings.Settings) []string {
	d.admin.SetOperators(changed.Operators)
	SetLogLevel(changed.Log)
	needRestart := settings.NeedRestart(d.settings, changed)
	d.log.Info().Str("need_restart", strings.Join(needRestart, " ")).Msg("daemon: settings reloaded")
	return needRestart
}

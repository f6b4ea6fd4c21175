package daemon

import (
	"os"

	"github.com/rotisserie/eris"

	"endiveplank/protocol"
	"endiveplank/settings"
	"endiveplank/state/disk"
	"endiveplank/state/replica"
)

// Recover makes a stopped voter the only voter, from its data folder, after the quorum is lost for
// good. lost must name exactly the other voters. A dry run checks and reports, and doesn't change
// the log. The folder must exist, so that a mistyped path doesn't become a new, empty state.
func Recover(s settings.Settings, lost []protocol.RouterID, dryRun bool) (replica.RecoveryReport, error) {
	if !s.KeepsState() {
		return replica.RecoveryReport{}, eris.Errorf("the role %s keeps no state to recover", s.Role)
	}
	if _, err := os.Stat(s.DataFolder); err != nil {
		return replica.RecoveryReport{}, eris.Wrap(err, "find the data folder")
	}
	folder, err := disk.Open(s.DataFolder)
	if err != nil {
		return replica.RecoveryReport{}, eris.Wrapf(err, "open the data folder %q; is the process stopped?", s.DataFolder)
	}
	defer func() { _ = folder.Close() }()
	return replica.Recover(replica.RecoveryRequest{Self: s.RouterID, Disk: folder, Lost: lost, DryRun: dryRun}, newRandom())
}

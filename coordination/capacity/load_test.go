package capacity

import (
	"time"

	"endiveplank/protocol"
)

// Load returns an upstream's last report. False means that there is none that can be used.
func (r *Reports) Load(now time.Duration, id protocol.UpstreamID) (Load, bool) {
	u := r.upstreams[id]
	if u == nil || !u.usable(now) {
		return Load{}, false
	}
	return Load{ReportedLoad: u.last.load(), Age: max(now-u.last.madeAt, 0)}, true
}

package direct

import (
	"fmt"

	"endiveplank/settings"
	"endiveplank/settings/strict"
)

// maxDiskLosses is the number of losses that seven voters tolerate. More voters
// would make each change slower.
const maxDiskLosses = 3

// maxReserve is the largest share of a limit that may be kept for the most urgent rank: with
// more, most requests of the other ranks would be refused while capacity is free.
const maxReserve = 0.5

// check returns every invalid value of a document.
func check(s Settings) strict.Problems {
	c := &strict.Checker{}
	c.OneOf("role", string(s.Role), string(RoleRouter), string(RoleDiskVM))
	c.Name("name", s.Name)
	c.Name("data_centre", string(s.DataCentre))
	checkListen(c, s)
	for i, seed := range s.Seeds {
		c.Address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	if s.Role == RoleDiskVM && s.DataFolder == "" {
		c.Add("data_folder", s.DataFolder, "a folder, because a disk VM keeps the table there")
	}
	if s.Role == RoleRouter && s.DataFolder != "" {
		c.Add("data_folder", s.DataFolder, "empty, because a router keeps no files")
	}
	for i, dataCentre := range s.DataCentres {
		c.Name(fmt.Sprintf("data_centres[%d]", i), string(dataCentre))
	}
	checkLimits(c, s)
	settings.CheckTraces(c, s.Traces)
	return c.Problems
}

func checkListen(c *strict.Checker, s Settings) {
	c.Address("listen.peers", s.Listen.Peers)
	if s.Listen.PeersBind != "" {
		c.Address("listen.peers_bind", s.Listen.PeersBind)
	}
	switch s.Role {
	case RoleRouter:
		c.Address("listen.callers", s.Listen.Callers)
		c.Address("listen.readiness", s.Listen.Readiness)
	case RoleDiskVM:
		c.Address("listen.control", s.Listen.Control)
	}
	if s.Listen.Announcements != "" {
		c.Address("listen.announcements", s.Listen.Announcements)
	}
	if s.Listen.Routers != "" && s.Listen.Routers != NextPort {
		c.Address("listen.routers", s.Listen.Routers)
	}
	if s.Listen.Metrics != "" {
		c.Address("listen.metrics", s.Listen.Metrics)
	}
}

func checkLimits(c *strict.Checker, s Settings) {
	c.Between("disk_losses", float64(s.DiskLosses), 1, maxDiskLosses)
	c.Between("upstreams.heartbeat_ms", s.Upstreams.HeartbeatMS, 50, 60_000)
	c.Between("upstreams.leave_ms", s.Upstreams.LeaveMS, 100, 60_000)
	c.Between("retries.ratio", s.Retries.Ratio, 0, 1)
	c.Between("retries.window_ms", s.Retries.WindowMS, 1000, 600_000)
	c.Between("retries.slack", s.Retries.Slack, 0, 100_000)
	c.Between("load.multiple", s.Load.Multiple, 1.05, 100)
	c.Between("load.slack", s.Load.Slack, 0, 10_000)
	c.Between("prefix_cache.replicas", float64(s.PrefixCache.Replicas), 1, 4)
	c.Between("prefix_cache.min_tokens", float64(s.PrefixCache.MinTokens), 0, 1<<20)
	c.Between("admission.reserve", s.Admission.Reserve, 0, maxReserve)
	c.Between("admission.floor", s.Admission.Floor, 0, 1)
	c.Between("slow_start.overrun", s.SlowStart.Overrun, 0, 100)
	c.Between("slow_start.tolerance", s.SlowStart.Tolerance, 0, 10_000)
	c.Between("stop.unready_ms", s.Stop.UnreadyMS, 0, 60_000)
	c.Between("stop.grace_ms", s.Stop.GraceMS, 100, 3_600_000)
	c.OneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.Between("log.lines_per_second", float64(s.Log.LinesPerSecond), 1, 100_000)
	c.Between("link.mbps", s.Link.Mbps, 0.1, 1e6)
	settings.CheckProcess(c, s.Memory, s.Processor, s.Descriptors)
}

package balance

const (
	// minSlowness and maxSlowness bound how much faster or slower than usual an upstream counts.
	minSlowness = 0.5
	maxSlowness = 8.0
)

// atItsSpeed returns the load on an upstream of the usual speed that takes as long to work off as
// this load takes on u. Without Settings.BySpeed it is the same.
func (c *candidates) atItsSpeed(u *upstream, load float64) float64 {
	if !c.balancer.settings.BySpeed || c.request.Slowness == nil {
		return load
	}
	return load * min(max(c.request.Slowness(u.entry.ID), minSlowness), maxSlowness)
}

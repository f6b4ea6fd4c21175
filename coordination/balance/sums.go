package balance

// loadSums holds loads by upstream, and which of them have requests in flight or have
// changed lately.
type loadSums struct {
	loads map[ShortID]UpstreamLoad
	busy  map[ShortID]struct{}
	// changed holds the upstreams whose load has changed since the last call of idle.
	changed map[ShortID]struct{}
}

func newLoadSums() loadSums {
	return loadSums{loads: map[ShortID]UpstreamLoad{}, busy: map[ShortID]struct{}{}, changed: map[ShortID]struct{}{}}
}

// idle returns the loads that have no request in flight and haven't changed since the last
// call.
func (s loadSums) idle() []UpstreamLoad {
	var idle []UpstreamLoad
	for id, load := range s.loads {
		_, busy := s.busy[id]
		_, changed := s.changed[id]
		if !busy && !changed {
			idle = append(idle, load)
		}
	}
	clear(s.changed)
	return idle
}

// set replaces the load on an upstream.
func (s loadSums) set(load UpstreamLoad) {
	s.changed[load.ID] = struct{}{}
	s.loads[load.ID] = load
	if load.InFlight > 0 {
		s.busy[load.ID] = struct{}{}
	} else {
		delete(s.busy, load.ID)
	}
}

// replace replaces a part of the load on an upstream.
func (s loadSums) replace(before, after UpstreamLoad) {
	sum := plus(minus(s.loads[after.ID], before), after)
	s.set(sum)
	if sum == (UpstreamLoad{ID: after.ID}) {
		delete(s.loads, after.ID)
	}
}

// plus adds loads on one upstream.
func plus(sum, load UpstreamLoad) UpstreamLoad {
	return UpstreamLoad{
		ID: load.ID, InFlight: sum.InFlight + load.InFlight,
		Served: sum.Served + load.Served, Failed: sum.Failed + load.Failed,
	}
}

// minus subtracts a load that is part of a sum.
func minus(sum, load UpstreamLoad) UpstreamLoad {
	return UpstreamLoad{
		ID: sum.ID, InFlight: sum.InFlight - load.InFlight,
		Served: sum.Served - load.Served, Failed: sum.Failed - load.Failed,
	}
}

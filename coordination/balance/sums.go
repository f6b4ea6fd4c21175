package balance

// loadSums holds loads by upstream, and which of them have requests in flight.
type loadSums struct {
	loads map[ShortID]UpstreamLoad
	busy  map[ShortID]struct{}
}

func newLoadSums() loadSums {
	return loadSums{loads: map[ShortID]UpstreamLoad{}, busy: map[ShortID]struct{}{}}
}

// set replaces the load on an upstream.
func (s loadSums) set(load UpstreamLoad) {
	s.loads[load.ID] = load
	if load.InFlight > 0 {
		s.busy[load.ID] = struct{}{}
	} else {
		delete(s.busy, load.ID)
	}
}

// replace replaces a part of the load on an upstream.
func (s loadSums) replace(before, after UpstreamLoad) {
	s.set(plus(minus(s.loads[after.ID], before), after))
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

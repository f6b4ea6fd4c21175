package loadbench

import (
	"fmt"
	"time"

	"endiveplank/coordination/admission"
	"endiveplank/protocol"
)

// servingScenarios asks what callers see of one owner's queue under load.
func servingScenarios() []Scenario {
	return []Scenario{
		saturated(1.5, Mix()),
		saturated(3, Mix()),
		urgentSaturation(),
		surge(),
		burst(),
		slowUpstream(),
		longAndShort(),
	}
}

const (
	warmUp      = 60 * time.Second
	servingEnd  = 300 * time.Second
	summaries   = protocol.CustomerID("summaries")
	longWork    = protocol.CustomerID("long-questions")
	surging     = protocol.CustomerID("dispatch-large")
	surgeFactor = 10
	// usualLoad is the load under which a surge, a burst or a slow upstream comes.
	usualLoad = 0.8
)

func servingConfig(load float64, demand []Demand) ServingConfig {
	return ServingConfig{Load: load, Demand: demand, Warm: warmUp, End: servingEnd}
}

// pooled runs all seeds and adds up what they counted. Goodput is the lowest.
func pooled(config ServingConfig, policy Policy) ServingResult {
	config.Policy = policy
	all := ServingResult{Customers: make(map[protocol.CustomerID]*CustomerResult), Goodput: 1e9}
	for _, d := range config.Demand {
		all.Customers[d.Customer] = &CustomerResult{}
	}
	for _, seed := range Seeds {
		config.Seed = seed
		r := RunServing(config)
		all.Goodput = min(all.Goodput, r.Goodput)
		all.SlowRefusals += r.SlowRefusals
		all.NoRetryAfter += r.NoRetryAfter
		for customer, c := range r.Customers {
			all.Customers[customer].add(c)
		}
	}
	return all
}

func (c *CustomerResult) add(other *CustomerResult) {
	c.Sent += other.Sent
	c.InTime += other.InTime
	c.Late += other.Late
	c.Refused += other.Refused
	c.Waits = append(c.Waits, other.Waits...)
	c.Latencies = append(c.Latencies, other.Latencies...)
	c.RunTokens += other.RunTokens
	c.GoodTokens += other.GoodTokens
}

// class adds up the customers of one class.
func (r *ServingResult) class(demand []Demand, class admission.Class) *CustomerResult {
	sum := &CustomerResult{}
	for _, d := range demand {
		if d.Class == class {
			sum.add(r.Customers[d.Customer])
		}
	}
	return sum
}

// share is the part of all work run that was one customer's, in percent.
func (r *ServingResult) share(customer protocol.CustomerID) float64 {
	total := 0
	for _, c := range r.Customers {
		total += c.RunTokens
	}
	return percent(r.Customers[customer].RunTokens, total)
}

// toldLate is the part of refusals that were not given at once, in percent.
func (r *ServingResult) toldLate() float64 {
	refused := 0
	for _, c := range r.Customers {
		refused += c.Refused
	}
	return percent(r.SlowRefusals, refused)
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func goodputs(config ServingConfig) []Metric {
	return []Metric{
		{"first-come-goodput-pct", 100 * pooled(config, FirstCome).Goodput},
		{"ungated-goodput-pct", 100 * pooled(config, Ungated).Goodput},
	}
}

func saturated(load float64, demand []Demand) Scenario {
	return Scenario{Name: fmt.Sprintf("serving/saturated=%g", load), Run: func() []Metric {
		config := servingConfig(load, demand)
		r := pooled(config, FairQueue)
		urgent := r.class(demand, 0)
		firstCome := pooled(config, FirstCome)
		return append(goodputs(config),
			Metric{"goodput-pct", 100 * r.Goodput},
			Metric{"urgent-wait-p50-ms", milliseconds(Quantile(urgent.Waits, 0.5))},
			Metric{"urgent-wait-p99-ms", milliseconds(Quantile(urgent.Waits, 0.99))},
			Metric{"first-come-urgent-wait-p99-ms", milliseconds(Quantile(firstCome.class(demand, 0).Waits, 0.99))},
			Metric{"late-pct", percent(urgent.Late, urgent.Sent)},
			Metric{"summaries-share-pct", r.share(summaries)},
			Metric{"told-late-pct", r.toldLate()},
			Metric{"no-retry-after", float64(r.NoRetryAfter)},
		)
	}}
}

// urgentSaturation sends 2.7 times the capacity in class 0 alone.
func urgentSaturation() Scenario {
	return Scenario{Name: "serving/urgent-saturation", Run: func() []Metric {
		demand := UrgentOnly(0.9)
		r := pooled(servingConfig(3, demand), FairQueue)
		return []Metric{
			{"goodput-pct", 100 * r.Goodput},
			{"summaries-share-pct", r.share(summaries)},
			{"told-late-pct", r.toldLate()},
		}
	}}
}

// surge compares the latencies of all customers but one with and without a
// surge of that one.
func surge() Scenario {
	return Scenario{Name: "serving/surge=10", Run: func() []Metric {
		calm := servingConfig(usualLoad, Mix())
		stormy := calm
		stormy.Phases = []Phase{{Customer: surging, Factor: surgeFactor, To: servingEnd}}
		r := pooled(stormy, FairQueue)
		urgent, all := movedP99(calm, stormy, FairQueue)
		_, firstCome := movedP99(calm, stormy, FirstCome)
		return []Metric{
			{"goodput-pct", 100 * r.Goodput},
			{"others-p99-moved-pct", all},
			{"urgent-others-p99-moved-pct", urgent},
			{"first-come-others-p99-moved-pct", firstCome},
			{"told-late-pct", r.toldLate()},
		}
	}}
}

// movedP99 returns by how many percent the p99 of the total latency grew for the
// customer it grew most for, among class 0 and among all.
func movedP99(calm, stormy ServingConfig, policy Policy) (urgent, all float64) {
	before, after := pooled(calm, policy), pooled(stormy, policy)
	for _, d := range calm.Demand {
		if d.Customer == surging {
			continue
		}
		was := Quantile(before.Customers[d.Customer].Latencies, 0.99)
		is := Quantile(after.Customers[d.Customer].Latencies, 0.99)
		moved := 100 * (float64(is)/float64(was) - 1)
		all = max(all, moved)
		if d.Class == 0 {
			urgent = max(urgent, moved)
		}
	}
	return urgent, all
}

// burst has all customers send five times as much for two of every 20 seconds.
func burst() Scenario {
	return Scenario{Name: "serving/burst", Run: func() []Metric {
		config := servingConfig(0.6, Mix())
		config.Phases = []Phase{{Factor: 5, To: 2 * time.Second, Every: 20 * time.Second}}
		r, firstCome := pooled(config, FairQueue), pooled(config, FirstCome)
		urgent := r.class(config.Demand, 0)
		return []Metric{
			{"urgent-refused-pct", percent(urgent.Refused, urgent.Sent)},
			{"urgent-wait-p99-ms", milliseconds(Quantile(urgent.Waits, 0.99))},
			{"first-come-urgent-wait-p99-ms", milliseconds(Quantile(firstCome.class(config.Demand, 0).Waits, 0.99))},
		}
	}}
}

// slowUpstream leaves the engine 30% of its capacity for a while, at 1.5 times
// the usual capacity's load.
func slowUpstream() Scenario {
	return Scenario{Name: "serving/slow-upstream", Run: func() []Metric {
		config := servingConfig(1.5, Mix())
		config.SlowFrom, config.SlowTo, config.SlowFactor = 120*time.Second, 240*time.Second, 0.3
		r := pooled(config, FairQueue)
		urgent := r.class(config.Demand, 0)
		return append(goodputs(config),
			Metric{"goodput-pct", 100 * r.Goodput},
			Metric{"late-pct", percent(urgent.Late, urgent.Sent)},
			Metric{"urgent-wait-p99-ms", milliseconds(Quantile(urgent.Waits, 0.99))},
		)
	}}
}

// longAndShort sends half of all work as long requests of one customer, just
// above the capacity.
func longAndShort() Scenario {
	return Scenario{Name: "serving/long-and-short", Run: func() []Metric {
		demand := Mix()
		for i := range demand {
			if demand[i].Customer == longWork {
				demand[i].Share += 0.5
			}
			demand[i].Share /= 1.5
		}
		config := servingConfig(1.1, demand)
		r, firstCome := pooled(config, FairQueue), pooled(config, FirstCome)
		short := protocol.CustomerID("households")
		return []Metric{
			{"goodput-pct", 100 * r.Goodput},
			{"short-wait-p99-ms", milliseconds(Quantile(r.Customers[short].Waits, 0.99))},
			{"first-come-short-wait-p99-ms", milliseconds(Quantile(firstCome.Customers[short].Waits, 0.99))},
			{"long-share-pct", r.share(longWork)},
		}
	}}
}

package loadbench

import (
	"fmt"
	"time"

	"endiveplank/coordination/admission"
	"endiveplank/protocol"
)

// servingScenarios measure what callers see of one owner's queue under load.
func servingScenarios() []Scenario {
	return []Scenario{
		saturated(1.5, WorkloadMix()),
		saturated(3, WorkloadMix()),
		urgentSaturation(),
		surge(),
		burst(),
		slowUpstream(),
		longAndShort(),
	}
}

const (
	warmUp          = 60 * time.Second
	servingEnd      = 300 * time.Second
	summaries       = protocol.CustomerID("summaries")
	longQuestions   = protocol.CustomerID("long-questions")
	surgingCustomer = protocol.CustomerID("dispatch-large")
	surgeFactor     = 10
	// normalLoad is the load without the surge.
	normalLoad = 0.8
)

func servingConfig(load float64, demand []Demand) ServingConfig {
	return ServingConfig{Load: load, Demand: demand, WarmUp: warmUp, End: servingEnd}
}

// runAllSeeds runs all seeds and adds up their results. Its Goodput is the lowest of
// all runs.
func runAllSeeds(config ServingConfig, policy AdmissionPolicy) ServingResult {
	config.Policy = policy
	all := ServingResult{Customers: make(map[protocol.CustomerID]*CustomerResult), Goodput: 1e9}
	for _, d := range config.Demand {
		all.Customers[d.Customer] = &CustomerResult{}
	}
	for _, seed := range Seeds {
		config.Seed = seed
		r := RunServing(config)
		all.Goodput = min(all.Goodput, r.Goodput)
		all.LateRefusals += r.LateRefusals
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
	c.FinishedTokens += other.FinishedTokens
	c.GoodTokens += other.GoodTokens
}

// class returns the sum of the results of the customers of one class.
func (r *ServingResult) class(demand []Demand, class admission.Class) *CustomerResult {
	sum := &CustomerResult{}
	for _, d := range demand {
		if d.Class == class {
			sum.add(r.Customers[d.Customer])
		}
	}
	return sum
}

// share returns one customer's share of all finished tokens, in percent.
func (r *ServingResult) share(customer protocol.CustomerID) float64 {
	total := 0
	for _, c := range r.Customers {
		total += c.FinishedTokens
	}
	return percent(r.Customers[customer].FinishedTokens, total)
}

// lateRefusalPct returns the share of refusals that were not given at once, in
// percent.
func (r *ServingResult) lateRefusalPct() float64 {
	refused := 0
	for _, c := range r.Customers {
		refused += c.Refused
	}
	return percent(r.LateRefusals, refused)
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func baselineGoodputs(config ServingConfig) []Metric {
	return []Metric{
		{"first-come-goodput-pct", 100 * runAllSeeds(config, FirstCome).Goodput},
		{"ungated-goodput-pct", 100 * runAllSeeds(config, Ungated).Goodput},
	}
}

// saturated sends load times the engine's capacity.
func saturated(load float64, demand []Demand) Scenario {
	return Scenario{Name: fmt.Sprintf("serving/saturated=%g", load), Run: func() []Metric {
		config := servingConfig(load, demand)
		r := runAllSeeds(config, FairQueue)
		urgent := r.class(demand, 0)
		firstCome := runAllSeeds(config, FirstCome)
		return append(baselineGoodputs(config),
			Metric{"goodput-pct", 100 * r.Goodput},
			Metric{"urgent-wait-p50-ms", milliseconds(Quantile(urgent.Waits, 0.5))},
			Metric{"urgent-wait-p99-ms", milliseconds(Quantile(urgent.Waits, 0.99))},
			Metric{"first-come-urgent-wait-p99-ms", milliseconds(Quantile(firstCome.class(demand, 0).Waits, 0.99))},
			Metric{"late-pct", percent(urgent.Late, urgent.Sent)},
			Metric{"summaries-share-pct", r.share(summaries)},
			Metric{"told-late-pct", r.lateRefusalPct()},
			Metric{"no-retry-after", float64(r.NoRetryAfter)},
		)
	}}
}

// urgentSaturation sends 2.7 times the capacity in class 0 alone. The lower classes
// must not starve.
func urgentSaturation() Scenario {
	return Scenario{Name: "serving/urgent-saturation", Run: func() []Metric {
		demand := UrgentMix(0.9)
		r := runAllSeeds(servingConfig(3, demand), FairQueue)
		return []Metric{
			{"goodput-pct", 100 * r.Goodput},
			{"summaries-share-pct", r.share(summaries)},
			{"told-late-pct", r.lateRefusalPct()},
		}
	}}
}

// surge compares the latencies of the other customers with and without a surge of
// one customer, which must not slow the others down much.
func surge() Scenario {
	return Scenario{Name: "serving/surge=10", Run: func() []Metric {
		baseline := servingConfig(normalLoad, WorkloadMix())
		surged := baseline
		surged.Phases = []Phase{{Customer: surgingCustomer, Factor: surgeFactor, To: servingEnd}}
		r := runAllSeeds(surged, FairQueue)
		urgent, all := maxP99Increase(baseline, surged, FairQueue)
		_, firstCome := maxP99Increase(baseline, surged, FirstCome)
		return []Metric{
			{"goodput-pct", 100 * r.Goodput},
			{"others-p99-moved-pct", all},
			{"urgent-others-p99-moved-pct", urgent},
			{"first-come-others-p99-moved-pct", firstCome},
			{"told-late-pct", r.lateRefusalPct()},
		}
	}}
}

// maxP99Increase returns the largest increase of a customer's p99 total latency, in
// percent, among the customers of class 0 and among all, without the surging one.
func maxP99Increase(baseline, surged ServingConfig, policy AdmissionPolicy) (urgent, all float64) {
	before, after := runAllSeeds(baseline, policy), runAllSeeds(surged, policy)
	for _, d := range baseline.Demand {
		if d.Customer == surgingCustomer {
			continue
		}
		p99Before := Quantile(before.Customers[d.Customer].Latencies, 0.99)
		p99After := Quantile(after.Customers[d.Customer].Latencies, 0.99)
		increase := 100 * (float64(p99After)/float64(p99Before) - 1)
		all = max(all, increase)
		if d.Class == 0 {
			urgent = max(urgent, increase)
		}
	}
	return urgent, all
}

// burst multiplies the rates of all customers by five for two of every 20 seconds.
func burst() Scenario {
	return Scenario{Name: "serving/burst", Run: func() []Metric {
		config := servingConfig(0.6, WorkloadMix())
		config.Phases = []Phase{{Factor: 5, To: 2 * time.Second, Period: 20 * time.Second}}
		r, firstCome := runAllSeeds(config, FairQueue), runAllSeeds(config, FirstCome)
		urgent := r.class(config.Demand, 0)
		return []Metric{
			{"urgent-refused-pct", percent(urgent.Refused, urgent.Sent)},
			{"urgent-wait-p99-ms", milliseconds(Quantile(urgent.Waits, 0.99))},
			{"first-come-urgent-wait-p99-ms", milliseconds(Quantile(firstCome.class(config.Demand, 0).Waits, 0.99))},
		}
	}}
}

// slowUpstream reduces the engine to 30% of its capacity for two minutes. The load
// is 1.5 times the full capacity.
func slowUpstream() Scenario {
	return Scenario{Name: "serving/slow-upstream", Run: func() []Metric {
		config := servingConfig(1.5, WorkloadMix())
		config.SlowFrom, config.SlowTo, config.SlowFactor = 120*time.Second, 240*time.Second, 0.3
		r := runAllSeeds(config, FairQueue)
		urgent := r.class(config.Demand, 0)
		return append(baselineGoodputs(config),
			Metric{"goodput-pct", 100 * r.Goodput},
			Metric{"late-pct", percent(urgent.Late, urgent.Sent)},
			Metric{"urgent-wait-p99-ms", milliseconds(Quantile(urgent.Waits, 0.99))},
		)
	}}
}

// longAndShort runs just above the capacity, with 40% of all tokens in long requests
// of one customer. Short requests must not wait behind them.
func longAndShort() Scenario {
	return Scenario{Name: "serving/long-and-short", Run: func() []Metric {
		demand := WorkloadMix()
		for i := range demand {
			if demand[i].Customer == longQuestions {
				demand[i].Share += 0.5
			}
			demand[i].Share /= 1.5
		}
		config := servingConfig(1.1, demand)
		r, firstCome := runAllSeeds(config, FairQueue), runAllSeeds(config, FirstCome)
		short := protocol.CustomerID("households")
		return []Metric{
			{"goodput-pct", 100 * r.Goodput},
			{"short-wait-p99-ms", milliseconds(Quantile(r.Customers[short].Waits, 0.99))},
			{"first-come-short-wait-p99-ms", milliseconds(Quantile(firstCome.Customers[short].Waits, 0.99))},
			{"long-share-pct", r.share(longQuestions)},
		}
	}}
}

package loadgen

import (
	"context"
	"net/http"
	"time"

	"endiveplank/standin/desk"
)

// auditTimeout is the timeout of fetching one order desk's runs.
const auditTimeout = 10 * time.Second

// Audit compares the outcomes that callers got for their orders with what the
// order desks ran. Each order key counts once.
type Audit struct {
	Keys     int `json:"keys"`
	Accepted int `json:"accepted"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// UnknownRan are the orders among Unknown that ran, once.
	UnknownRan int `json:"unknown_ran"`
	// Lost orders were accepted and did not run.
	Lost int `json:"lost"`
	// Doubled orders ran more than once.
	Doubled int `json:"doubled"`
	// FalseNotRun orders ran, although the caller's last answer said that they had
	// not.
	FalseNotRun int `json:"false_not_run"`
	// Missing is the number of order desks that did not answer. If it isn't zero,
	// no order counts as lost.
	Missing int `json:"missing_desks"`
}

// fetchRuns returns the number of runs of each key at all order desks together,
// and how many desks did not answer.
func fetchRuns(ctx context.Context, desks []string) (runs map[string]int, missing int) {
	client := &http.Client{Timeout: auditTimeout}
	runs = make(map[string]int)
	for _, address := range desks {
		var audit desk.Audit
		if getJSON(ctx, client, "http://"+address+"/audit", &audit) != nil {
			missing++
			continue
		}
		for key, entry := range audit.Keys {
			runs[key] += entry.Count
		}
	}
	return runs, missing
}

// auditOrders compares the outcomes that callers got with the runs at the desks.
func auditOrders(outcomes map[string]reportedOutcome, runs map[string]int, missing int) *Audit {
	audit := &Audit{Keys: len(outcomes), Missing: missing}
	for key, last := range outcomes {
		count := runs[key]
		if count > 1 {
			audit.Doubled++
		}
		switch last {
		case reportedAccepted:
			audit.Accepted++
			if count == 0 && missing == 0 {
				audit.Lost++
			}
		case reportedNotRun:
			audit.NotRun++
			if count > 0 {
				audit.FalseNotRun++
			}
		case reportedUnknown:
			audit.Unknown++
			if count == 1 {
				audit.UnknownRan++
			}
		}
	}
	return audit
}

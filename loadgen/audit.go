package loadgen

import (
	"context"
	"net/http"
	"time"

	"endiveplank/standin/desk"
)

// auditTimeout bounds the read of one desk's runs.
const auditTimeout = 10 * time.Second

// Audit compares what callers were told about their orders with what the desks
// ran. Each order key counts once.
type Audit struct {
	Keys     int `json:"keys"`
	Accepted int `json:"accepted"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// UnknownRan are those of Unknown that did run, once.
	UnknownRan int `json:"unknown_ran"`
	// Lost orders were accepted and did not run.
	Lost int `json:"lost"`
	// Doubled orders ran more than once.
	Doubled int `json:"doubled"`
	// FalseNotRun orders ran, and the caller was told last that they had not.
	FalseNotRun int `json:"false_not_run"`
	// Missing desks did not answer.
	Missing int `json:"missing_desks"`
}

// fetchRuns adds up the runs by key over all desks.
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

// auditOrders judges the orders of a run.
func auditOrders(told map[string]orderTold, runs map[string]int, missing int) *Audit {
	audit := &Audit{Keys: len(told), Missing: missing}
	for key, last := range told {
		count := runs[key]
		if count > 1 {
			audit.Doubled++
		}
		switch last {
		case toldAccepted:
			audit.Accepted++
			if count == 0 && missing == 0 {
				audit.Lost++
			}
		case toldNotRun:
			audit.NotRun++
			if count > 0 {
				audit.FalseNotRun++
			}
		case toldUnknown:
			audit.Unknown++
			if count == 1 {
				audit.UnknownRan++
			}
		}
	}
	return audit
}

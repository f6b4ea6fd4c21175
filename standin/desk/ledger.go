package desk

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
)

// Run is one run of an order.
type Run struct {
	Key string `json:"key"`
	// Digest is the hash of the order's body, 16 hexadecimal digits.
	Digest string `json:"digest"`
	// Request is the fleet's name of the request that ran.
	Request string `json:"request"`
}

// KeyRuns is what the audit says about one idempotency key.
type KeyRuns struct {
	Count int   `json:"count"`
	Runs  []Run `json:"runs"`
}

// Audit is the answer to GET /audit.
type Audit struct {
	ID    string             `json:"id"`
	Total int                `json:"total"`
	Keys  map[string]KeyRuns `json:"keys"`
}

// ledger records every run and never recognises a repetition: a doubled order
// must be visible. With a file, runs survive a restart of the desk.
type ledger struct {
	runs []Run
	file *os.File
}

// openLedger reads the runs of earlier processes from path. An empty path
// keeps runs in memory only.
func openLedger(path string) (*ledger, error) {
	l := &ledger{}
	if path == "" {
		return l, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "open journal")
	}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var run Run
		if json.Unmarshal(lines.Bytes(), &run) == nil {
			l.runs = append(l.runs, run)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, eris.Wrap(err, "read journal")
	}
	l.file = file
	return l, nil
}

// add records a run and syncs it before it returns.
func (l *ledger) add(run Run) error {
	if l.file != nil {
		line, _ := json.Marshal(run)
		if _, err := l.file.Write(append(line, '\n')); err != nil {
			return eris.Wrap(err, "write journal")
		}
		if err := l.file.Sync(); err != nil {
			return eris.Wrap(err, "sync journal")
		}
	}
	l.runs = append(l.runs, run)
	return nil
}

// audit groups the runs by key.
func (l *ledger) audit(id string) Audit {
	audit := Audit{ID: id, Total: len(l.runs), Keys: make(map[string]KeyRuns)}
	for _, run := range l.runs {
		entry := audit.Keys[run.Key]
		entry.Count++
		entry.Runs = append(entry.Runs, run)
		audit.Keys[run.Key] = entry
	}
	return audit
}

func (l *ledger) close() {
	if l.file != nil {
		_ = l.file.Close()
	}
}

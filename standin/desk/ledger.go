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
	// Request is the request ID of the order that ran.
	Request string `json:"request"`
}

// KeyRuns holds the runs of the orders with one idempotency key.
type KeyRuns struct {
	Count int   `json:"count"`
	Runs  []Run `json:"runs"`
}

// Audit is the reply to GET /audit.
type Audit struct {
	ID    string             `json:"id"`
	Total int                `json:"total"`
	Keys  map[string]KeyRuns `json:"keys"`
}

// ledger records every run. It doesn't detect duplicates, because an order that
// ran twice must be visible. With a file, the runs survive a restart of the desk.
type ledger struct {
	runs []Run
	file *os.File
}

// openLedger reads the runs of earlier processes from the journal at path. With an
// empty path, runs are kept in memory only.
func openLedger(path string) (*ledger, error) {
	l := &ledger{}
	if path == "" {
		return l, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o644)
	if err != nil {
		return nil, eris.Wrapf(err, "open journal %q", path)
	}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var run Run
		if json.Unmarshal(lines.Bytes(), &run) == nil {
			l.runs = append(l.runs, run)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, eris.Wrapf(err, "read journal %q", path)
	}
	l.file = file
	return l, nil
}

// add records a run. The journal is synced before add returns.
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

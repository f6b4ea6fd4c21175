// Package dialecttest provides a simple dialect for tests of code that uses one.
package dialecttest

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
)

// Plain is a Dialect for tests. All of its headers begin with T-.
type Plain struct{}

// ReadCall implements dialect.Dialect.
func (Plain) ReadCall(header http.Header) (dialect.Call, error) {
	call := dialect.Call{
		ID: protocol.RequestID(header.Get("T-Id")), Key: header.Get("T-Key"),
		LastEventID: header.Get("T-Last"), Resumes: protocol.RequestID(header.Get("T-Resumes")),
	}
	remaining, err := strconv.Atoi(header.Get("T-Left"))
	if err == nil {
		call.Remaining = time.Duration(remaining) * time.Millisecond
	}
	if parts := header.Get("T-Parts"); parts != "" {
		call.Prompt = &dialect.Prompt{}
		for id := range strings.SplitSeq(parts, ",") {
			call.Prompt.Parts = append(call.Prompt.Parts, dialect.Part{Key: PartKey(id), Tokens: 100})
		}
	}
	return call, nil
}

// PartKey returns the key of a prompt's part.
func PartKey(id string) uint64 { return xxhash.Sum64String(id) }

// WriteAttempt implements dialect.Dialect.
func (Plain) WriteAttempt(header http.Header, attempt dialect.Attempt) {
	header.Del("T-Key")
	header.Set("T-Upstream", string(attempt.Upstream))
	header.Set("T-Customer", string(attempt.Customer))
	header.Set("T-Left", strconv.FormatInt(attempt.Remaining.Milliseconds(), 10))
	if attempt.LastEventID != "" {
		header.Set("T-Last", attempt.LastEventID)
	}
}

// ReadAnswer implements dialect.Dialect.
func (Plain) ReadAnswer(_ int, header http.Header) dialect.Answer {
	after, err := strconv.Atoi(header.Get("T-Retry-After"))
	if err != nil {
		after = 0
	}
	fragile, err := strconv.Atoi(header.Get("T-Fragile"))
	if err != nil {
		fragile = 0
	}
	return dialect.Answer{
		Fragile:    fragile,
		Load:       readLoad(header.Get("T-Load")),
		RetryAfter: time.Duration(after) * time.Millisecond,
		ID:         protocol.RequestID(header.Get("T-Id")), NotRun: header.Get("T-Not-Run") != "",
		Leaving: header.Get("T-Leaving") != "",
		Signed:  header.Get("T-Signed") != "", Misdirected: header.Get("T-Other") != "",
	}
}

// readLoad parses running requests, waiting requests and slots, separated by commas; nil if there are
// none.
func readLoad(text string) *dialect.ReportedLoad {
	load := dialect.ReportedLoad{Pace: dialect.UsualPace}
	if _, err := fmt.Sscanf(text, "%d,%d,%d", &load.Running, &load.Waiting, &load.Slots); err != nil {
		return nil
	}
	return &load
}

// Package dialecttest has a dialect for tests of what speaks through one.
package dialecttest

import (
	"net/http"
	"strconv"
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
)

// Plain is a Dialect with headers of the tests' own, all of which begin with T-.
type Plain struct{}

// ReadCall implements dialect.Dialect.
func (Plain) ReadCall(header http.Header) (dialect.Call, error) {
	call := dialect.Call{ID: protocol.RequestID(header.Get("T-Id")), Key: header.Get("T-Key"), LastEvent: header.Get("T-Last")}
	left, err := strconv.Atoi(header.Get("T-Left"))
	if err == nil {
		call.Left = time.Duration(left) * time.Millisecond
	}
	return call, nil
}

// WriteAttempt implements dialect.Dialect.
func (Plain) WriteAttempt(header http.Header, attempt dialect.Attempt) {
	header.Del("T-Key")
	header.Set("T-Upstream", string(attempt.Upstream))
	header.Set("T-Customer", string(attempt.Customer))
	header.Set("T-Left", strconv.FormatInt(attempt.Left.Milliseconds(), 10))
	if attempt.LastEvent != "" {
		header.Set("T-Last", attempt.LastEvent)
	}
}

// ReadAnswer implements dialect.Dialect.
func (Plain) ReadAnswer(_ int, header http.Header) dialect.Answer {
	return dialect.Answer{
		ID: protocol.RequestID(header.Get("T-Id")), NotRun: header.Get("T-Not-Run") != "",
		Signed: header.Get("T-Signed") != "", Misdirected: header.Get("T-Other") != "",
	}
}

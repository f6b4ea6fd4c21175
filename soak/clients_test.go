package soak

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// misbehaveFor is how long clients that don't behave are connected to a router, and
	// misbehavingEach how many of each kind there are.
	misbehaveFor    = 2 * time.Second
	misbehavingEach = 15
)

// misbehaving are what clients send that don't behave. Each holds its connection then. None sends a
// complete request to a route, so that none is answered by an upstream.
var misbehaving = []string{
	"",
	"P",
	"POST /again/ HTTP/1.1\r\nHost: " + callerHost + "\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat(".", 999_999),
	"POST /again/ HTTP/1.1\r\nHost: " + callerHost + "\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 10_000),
	strings.Repeat("GET /none/ HTTP/1.1\r\nHost: "+callerHost+"\r\n\r\n", 1000),
	"GET /none/ HTTP/1.1\r\nHost: " + callerHost + "\r\n" + manyFields(2000),
}

// manyFields returns header fields of a few bytes each.
func manyFields(n int) string {
	var fields strings.Builder
	for i := range n {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}

// misbehave connects clients that don't behave to a router.
func (h *harness) misbehave() {
	router := h.randomRouter()
	var clients sync.WaitGroup
	for _, text := range misbehaving {
		for range misbehavingEach {
			clients.Go(func() { h.misbehaveOnce(router, text) })
		}
	}
	clients.Wait()
	h.count("clients that don't behave")
}

// misbehaveOnce sends a text and holds the connection.
func (h *harness) misbehaveOnce(router *process, text string) {
	until := time.Now().Add(misbehaveFor)
	connection, err := net.DialTimeout("tcp", router.settings.Listen.Callers, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(until)
	if _, err := io.WriteString(connection, text); err == nil {
		_, _ = io.Copy(io.Discard, connection)
	}
}

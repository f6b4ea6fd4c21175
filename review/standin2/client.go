package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Uint64

// newAttempt returns the id of a client attempt.
func newAttempt() string { return fmt.Sprintf("a%08x", attempts.Add(1)) }

// connection is a client's connection to a router, on which it sends one request after the other.
type connection struct {
	net.Conn
	reader *bufio.Reader
	sent   int
}

func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// answer is what a client got for a request.
type answer struct {
	Status    int    `json:"status"`
	Signature string `json:"signature"`
	Bytes     int    `json:"bytes"`
	// Complete says that the answer has come to its end.
	Complete bool   `json:"complete"`
	Error    string `json:"error,omitempty"`
	TookMS   int64  `json:"took_ms"`
	Close    bool   `json:"close,omitempty"`
}

// send writes a request without a key.
func (c *connection) send(method, path, id string, deadline time.Duration, body string) error {
	return c.sendWithKey("", method, path, id, deadline, body)
}

// sendWithKey writes a request with a customer's key.
func (c *connection) sendWithKey(key, method, path, id string, deadline time.Duration, body string) error {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nUser-Agent: dispatch/2.1\r\nAccept: */*\r\nContent-Type: application/json\r\n"+
		"Attempt-Id: %s\r\nModel: m\r\nToken-Usage: 2401,30\r\nPrefix-Hash: 5c1e07a2:341,91bd3f06:1700,%s:360\r\nDeadline-Ms: %d\r\n",
		method, path, host, id, id[1:], deadline.Milliseconds())
	if key != "" {
		fmt.Fprintf(&head, "Authorization: Token %s\r\n", key)
	}
	if body != "" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n" + body)
	c.sent++
	_, err := io.WriteString(c, head.String())
	return err
}

// receive reads the answer until a deadline.
func (c *connection) receive(began time.Time, method string, deadline time.Duration) answer {
	_ = c.SetReadDeadline(began.Add(deadline))
	got := answer{}
	defer func() { got.TookMS = time.Since(began).Milliseconds() }()
	request, _ := http.NewRequest(method, "http://h/", nil)
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		got.Error, got.TookMS = err.Error(), time.Since(began).Milliseconds()
		return got
	}
	got.Status, got.Signature, got.Close = response.StatusCode, response.Header.Get("Server-Signature"), response.Close
	n, err := io.Copy(io.Discard, response.Body)
	got.Bytes, got.Complete, got.TookMS = int(n), err == nil, time.Since(began).Milliseconds()
	if err != nil {
		got.Error = err.Error()
	}
	return got
}

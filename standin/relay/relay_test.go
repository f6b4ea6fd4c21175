package relay_test

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/standin/relay"
)

// quiet is how long a test waits to see that no bytes arrive.
const quiet = 20 * time.Millisecond

// startEcho relays to a server that sends back each line it reads.
func startEcho(t *testing.T) *relay.Relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for lines := bufio.NewReader(conn); ; {
					line, err := lines.ReadString('\n')
					if err != nil {
						return
					}
					_, _ = conn.Write([]byte(line))
				}
			}()
		}
	}()
	r, err := relay.Start("127.0.0.1:0", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}

// client is one connection through the relay.
type client struct {
	net.Conn
	lines *bufio.Reader
}

func dial(t *testing.T, r *relay.Relay) client {
	t.Helper()
	conn, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return client{Conn: conn, lines: bufio.NewReader(conn)}
}

// echo sends a line and returns the line that comes back within the given time.
func (c client) echo(line string, within time.Duration) (string, error) {
	if _, err := c.Write([]byte(line + "\n")); err != nil {
		return "", err
	}
	return c.read(within)
}

func (c client) read(within time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	line, err := c.lines.ReadString('\n')
	return strings.TrimSuffix(line, "\n"), err
}

// An open connection goes silent: writes still succeed, but nothing comes back and
// the connection isn't closed. A new connection works at the same time. The old
// one stays silent even after the faults are reset.
func TestForgottenConnectionStaysSilent(t *testing.T) {
	for _, direction := range []relay.Direction{relay.Forward, relay.Backward, relay.Both} {
		r := startEcho(t)
		old := dial(t, r)
		line, err := old.echo("one", time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, line, "one")
		r.Forget(direction)
		_, err = old.echo("two", quiet)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%s: %v", direction, err)
		line, err = dial(t, r).echo("three", time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, line, "three")
		r.Set(relay.Faults{})
		_, err = old.read(quiet)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%s: %v", direction, err)
	}
}

// A partition affects old and new connections. When it is lifted, the bytes that
// were sent during it arrive, as they do when TCP retransmits them. An unknown
// direction is refused and changes nothing.
func TestPartitionHoldsAndLifts(t *testing.T) {
	r := startEcho(t)
	control := httptest.NewServer(r.Handler())
	defer control.Close()
	set := func(path, body string, want int) {
		reply, err := http.Post(control.URL+path, "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		defer reply.Body.Close()
		assert.Equal(t, reply.StatusCode, want)
	}
	old := dial(t, r)
	set("/faults", `{"silent":"both"}`, http.StatusOK)
	opened := dial(t, r)
	for _, c := range []client{old, opened} {
		_, err := c.echo("held", quiet)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
	}
	set("/faults", `{"silent":"sideways"}`, http.StatusBadRequest)
	set("/faults", `{"silent":""}`, http.StatusOK)
	for _, c := range []client{old, opened} {
		line, err := c.read(time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, line, "held")
	}
	set("/cut", "", http.StatusOK)
	_, err := old.read(time.Minute)
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "cut closes: %v", err)
}

// A delay applies to each direction, so a round trip takes at least twice as long.
// A refused connection is closed, not silent.
func TestDelayAndRefuse(t *testing.T) {
	r := startEcho(t)
	c := dial(t, r)
	r.Set(relay.Faults{Delay: 5 * time.Millisecond})
	began := time.Now()
	_, err := c.echo("slow", time.Minute)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) >= 10*time.Millisecond, "each direction is delayed")
	r.Set(relay.Faults{Refuse: true})
	_, err = dial(t, r).read(time.Minute)
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

package strict

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// ErrReset means that a connection was reset, or given up by the kernel, and that a write took the
// kernel's error for it, so that the end of the bytes looked like the peer's own.
var ErrReset = eris.New("the connection ended by a reset")

// Conn is a client's connection whose Read returns io.EOF only if the peer has ended its direction.
//
// The kernel reports a reset once, to the first call that asks. If a Write gets it, the next Read finds
// the end of the bytes without an error. An answer that ends with its connection would look complete.
type Conn struct {
	net.Conn

	// writing is held during a Write.
	writing  sync.Mutex
	writeErr error
}

// NewConn returns a Conn for an open connection.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write implements io.Writer.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements io.Reader. Errors: those of the connection, and ErrReset.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err == io.EOF && c.wasReset() {
		return n, ErrReset
	}
	return n, err
}

// wasReset reports, once Read has found the end, whether a reset made it. If the peer still reads, so
// that a Write may go on for long, the end is the peer's. Else a Write returns at once, and its error
// tells: the kernel reports EPIPE for a reset that came after the peer's own end.
func (c *Conn) wasReset() bool {
	if isOpen(c.Conn) {
		return false
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr != nil && !errors.Is(c.writeErr, syscall.EPIPE)
}

// isOpen reports whether one direction of a TCP connection is still open.
func isOpen(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = infoErr == nil && info.State != unix.BPF_TCP_CLOSE
	})
	return err == nil && open
}

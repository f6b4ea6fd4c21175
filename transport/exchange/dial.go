package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a connection attempt. Data centres are milliseconds
	// apart, and an upstream that is alive accepts at once; one lost opening
	// packet is sent again after a second, which is no use to wait for.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long what was sent may stay unacknowledged: several
	// retransmissions between data centres.
	userTimeout = 1200 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find a silent connection on which an
	// answer is awaited, in about three seconds. The kernel counts in seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// dial opens a connection.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// isQuiet reports whether a kept connection is open and has nothing to read.
func isQuiet(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, received := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = received == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

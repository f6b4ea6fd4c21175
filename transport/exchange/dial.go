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
	// apart, and a live upstream accepts at once. TCP resends a lost SYN after a
	// second, which is too long to wait for.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged. A sound upstream may stand
	// still for a second or so and go on, and its requests must not be lost for it.
	userTimeout = 3 * time.Second
	// keepAliveIdle and keepAliveInterval say when probes are sent while the router waits for
	// an answer. On Linux userTimeout decides when they give up, elsewhere keepAliveCount, both
	// after about three seconds. The kernel counts in whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// dial opens a connection with keep-alive probes and TCP_USER_TIMEOUT.
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
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// isUsable reports whether an idle connection is open and has no unread bytes.
func isUsable(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = recvErr == syscall.EAGAIN
		return true
	})
	return err == nil && usable
}

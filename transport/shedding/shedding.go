// Package shedding turns new connections away before anything is read from them.
//
// A caller whose connection is reset with its request unread knows that the request hasn't run,
// and opens a connection to another router at once.
package shedding

import (
	"net"
	"runtime"
)

// Listener is a listener that resets some of the connections that it accepts.
type Listener struct {
	net.Listener
	// Admits is asked for every connection. False turns it away.
	Admits func() bool
}

// Accept implements net.Listener. It returns only connections that are admitted.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil || l.Admits() {
			return connection, err
		}
		reset(connection)
		// What is ready to run on open connections goes first.
		runtime.Gosched()
	}
}

// reset closes a connection with a reset, so that the caller doesn't wait for an answer.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		// It fails only on a connection that has ended.
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

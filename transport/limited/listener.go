package limited

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"endiveplank/coordination/intake"
)

// Listener is a listener whose connections are bounded in number. When there are as many as there may
// be, those that have made the least progress are closed for new ones.
type Listener struct {
	net.Listener
	budgets *Budgets

	mu   sync.Mutex
	most int
	open map[*conn]struct{}
}

// firstByteWait is how long the kernel keeps a connection to itself that brings no byte.
const firstByteWait = 5 * time.Second

// Open listens at an address. The kernel's buffers of each connection that is accepted are bounded:
// otherwise it lets those of a client that sends ahead, or doesn't read, grow to several megabytes.
// A connection is accepted once a byte has come, so that one without any costs the process nothing.
func Open(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setSocketOptions}
	return config.Listen(context.Background(), "tcp", address)
}

// setSocketOptions sets the options of a socket, which those that are accepted from it inherit.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the options the kernel's own bounds hold, and connections are accepted at once.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, int(firstByteWait.Seconds()))
	})
}

// Listen wraps a listener and the server that is to serve it. The listener may use a share of the
// process's descriptors.
func (b *Budgets) Listen(listener net.Listener, server *http.Server, share float64) *Listener {
	server.Handler = b.handler(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	return &Listener{Listener: listener, budgets: b, most: b.Connections(share), open: map[*conn]struct{}{}}
}

// Limit sets how many connections may be open.
func (l *Listener) Limit(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = most
}

// Accept implements net.Listener. While new connections come without end, what is ready to run on the
// open ones goes first.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		runtime.Gosched()
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(accepted, l)
		if l.add(c) {
			return c, nil
		}
		l.budgets.countTurnedAway()
		resetAndClose(accepted)
	}
}

// Open returns how many connections are open.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// add adds a connection, for which it may close others. It returns false if there is no room.
func (l *Listener) add(c *conn) bool {
	l.mu.Lock()
	var victims []*conn
	if len(l.open) >= l.most {
		victims = l.victims()
	}
	for _, victim := range victims {
		delete(l.open, victim)
	}
	hasRoom := len(l.open) < l.most
	if hasRoom {
		l.open[c] = struct{}{}
	}
	l.mu.Unlock()
	l.budgets.chargeConnection(c)
	for _, victim := range victims {
		victim.reset()
	}
	return hasRoom
}

// victims returns the connections to close. They take no further request. The lock is held.
func (l *Listener) victims() []*conn {
	conns := make([]*conn, 0, len(l.open))
	stages := make([]intake.Connection, 0, len(l.open))
	l.budgets.mu.Lock()
	defer l.budgets.mu.Unlock()
	for c := range l.open {
		conns = append(conns, c)
		stages = append(stages, c.state())
	}
	var chosen []*conn
	for _, i := range intake.Victims(l.budgets.now(), stages) {
		conns[i].closing = true
		chosen = append(chosen, conns[i])
	}
	l.budgets.counts.Closed += int64(len(chosen))
	return chosen
}

// CloseUnread closes the connections of the request's listener whose clients don't take their answers,
// as another request finds no room at the upstreams: theirs have it.
func CloseUnread(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	for _, victim := range c.listener.unread() {
		victim.reset()
	}
}

// unread returns the connections whose clients don't take their answers.
func (l *Listener) unread() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budgets.mu.Lock()
	defer l.budgets.mu.Unlock()
	var found []*conn
	for c := range l.open {
		if c.state().IsUnread(l.budgets.now()) {
			found = append(found, c)
		}
	}
	l.budgets.counts.Closed += int64(len(found))
	return found
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

func (b *Budgets) chargeConnection(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work.Connection(b.now(), &c.worker)
}

func (b *Budgets) countTurnedAway() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.TurnedAway++
}

// resetAndClose closes a connection with a reset, so that the client doesn't wait for an answer.
func resetAndClose(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		// It fails only on a connection that has ended.
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

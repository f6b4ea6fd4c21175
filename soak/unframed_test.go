package soak

import (
	"fmt"
	"io"
	"net/http"
)

// unframedOneIn is one in how many streams has neither a length nor chunks.
const unframedOneIn = 3

// eventWriter writes a stream's events.
type eventWriter interface {
	io.Writer
	// flush sends what was written.
	flush()
	// breakOff ends the stream inside an event.
	breakOff()
	// close ends the stream.
	close()
}

// framedEvents writes events in chunks.
type framedEvents struct{ http.ResponseWriter }

func (f framedEvents) flush()    { _ = http.NewResponseController(f.ResponseWriter).Flush() }
func (f framedEvents) breakOff() { panic(http.ErrAbortHandler) }
func (f framedEvents) close()    {}

// unframedEvents writes events to a connection that ends with the stream.
type unframedEvents struct{ io.WriteCloser }

func (u unframedEvents) flush()    {}
func (u unframedEvents) breakOff() { u.close() }
func (u unframedEvents) close()    { _ = u.Close() }

// newEventWriter returns the writer of a stream whose headers are set.
func (u *upstream) newEventWriter(w http.ResponseWriter) eventWriter {
	u.mu.Lock()
	unframed := u.random.IntN(unframedOneIn) == 0
	u.mu.Unlock()
	if !unframed {
		return framedEvents{w}
	}
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return framedEvents{w}
	}
	u.harness.count("streams with neither length nor chunks")
	_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(connection)
	_, _ = fmt.Fprint(connection, "\r\n")
	return unframedEvents{connection}
}

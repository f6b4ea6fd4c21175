package exchange

import (
	"bytes"
	"context"
	"io"

	"github.com/rotisserie/eris"

	"endiveplank/transport/limited"
)

// What the head of an answer takes in memory: each byte as it is read and as it is parsed, and each line
// as a field.
const (
	headByteBytes = 2
	headLineBytes = 192
	// freeHeadBytes is what a head may take without a part of the memory for answers: many times what a
	// usual one does.
	freeHeadBytes = 32 << 10
)

// errNoHeadRoom means that there is no memory for the rest of a head.
var errNoHeadRoom = eris.Wrap(limited.ErrNoRoom, "exchange: the answer's head finds no memory")

// headMeter reads from a connection. While a head is read, it takes a part of the caller's memory for
// answers for it: heads of many fields that never end would together take all memory, though each is
// bounded.
type headMeter struct {
	from io.Reader
	// caller is the context of the caller's request, nil outside of a head.
	caller context.Context
	taken  int
	held   int
}

// begin begins a head.
func (m *headMeter) begin(caller context.Context) {
	m.caller, m.taken, m.held = caller, 0, freeHeadBytes
}

// end ends it. failed says that nobody gets its answer.
func (m *headMeter) end(failed bool) {
	if failed && m.held > freeHeadBytes {
		limited.ReleaseAnswer(m.caller)
	}
	m.caller = nil
}

// Read implements io.Reader. Errors: errNoHeadRoom, and those of the connection.
func (m *headMeter) Read(buffer []byte) (int, error) {
	n, err := m.from.Read(buffer)
	if m.caller == nil {
		return n, err
	}
	m.taken += headByteBytes*n + headLineBytes*bytes.Count(buffer[:n], []byte{'\n'})
	if m.taken > m.held {
		if !limited.HoldAnswer(m.caller, m.taken-m.held) {
			return 0, errNoHeadRoom
		}
		m.held = m.taken
	}
	return n, err
}

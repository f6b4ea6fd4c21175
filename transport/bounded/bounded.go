// Package bounded limits how many bytes are read from a peer.
//
// Failure guarded against: a peer sends bytes without end: a status line, a header line or an event
// that never ends, headers, interim answers, lines or a body without end. What reads them would
// fill the memory of its process within seconds, or read on until its deadline. A read beyond the
// bound fails with ErrTooLong, and not with the io.EOF of io.LimitReader, which would make the part
// that was read look complete.
package bounded

import (
	"io"

	"github.com/rotisserie/eris"
)

const (
	// MaxHeadBytes bounds the head of an answer, with all interim answers before it.
	MaxHeadBytes = 32 << 10
	// MaxBodyBytes bounds the body of an answer that is passed on as it comes. Neither a long
	// generation nor a large file comes near it.
	MaxBodyBytes = 64 << 20
	// MaxEventBytes bounds an event of a stream, which is held in memory until it is complete.
	MaxEventBytes = 256 << 10
	// MaxReplyBytes bounds a body that is held in memory whole.
	MaxReplyBytes = 8 << 20
)

// ErrTooLong means that a peer sent more bytes than the reader accepts.
var ErrTooLong = eris.New("the peer sent more bytes than are accepted")

// Reader reads from another reader and fails with an error that wraps ErrTooLong once a number of
// bytes were read and more follow.
type Reader struct {
	from io.Reader
	// what names the bytes in the error. limit is how many of them may be read, and left how many
	// are left.
	what        string
	limit, left int64
	limited     bool
}

// NewReader returns a Reader without a bound.
func NewReader(from io.Reader) *Reader { return &Reader{from: from} }

// NewLimitedReader returns a Reader that accepts limit bytes. what names them in the error.
func NewLimitedReader(from io.Reader, limit int64, what string) *Reader {
	r := NewReader(from)
	r.Limit(limit, what)
	return r
}

// Limit accepts limit further bytes. what names them in the error.
func (r *Reader) Limit(limit int64, what string) {
	r.what, r.limit, r.left, r.limited = what, limit, limit, true
}

// Unlimit removes the bound.
func (r *Reader) Unlimit() { r.limited = false }

// Read implements io.Reader. Errors: ErrTooLong, and those of the other reader.
func (r *Reader) Read(buffer []byte) (int, error) {
	switch {
	case !r.limited || len(buffer) == 0:
		return r.from.Read(buffer)
	case r.left == 0:
		return r.readBeyond()
	}
	n, err := r.from.Read(buffer[:min(int64(len(buffer)), r.left)])
	r.left -= int64(n)
	return n, err
}

// readBeyond tells the end of the other reader from further bytes.
func (r *Reader) readBeyond() (int, error) {
	var one [1]byte
	n, err := r.from.Read(one[:])
	if n > 0 {
		return 0, eris.Wrapf(ErrTooLong, "%s has more than %d bytes", r.what, r.limit)
	}
	return 0, err
}

// ReadAll reads up to MaxReplyBytes bytes and the end. what names them in the error. Errors:
// ErrTooLong, and those of the reader.
func ReadAll(from io.Reader, what string) ([]byte, error) {
	return io.ReadAll(NewLimitedReader(from, MaxReplyBytes, what))
}

package document

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the pieces that documents are cut into.
//
// A piece ends where the document's own bytes say so, so an insertion moves no
// later boundary. One in pieceMask+1 positions ends a piece: a part of one route, so
// that a change of one field costs one piece.
const (
	minPiece  = 24
	maxPiece  = 512
	pieceMask = 63
	// window is how many bytes decide about a boundary.
	window = 8
)

// MaxBytes bounds a document, far above the largest that a fleet's operators
// may send.
const MaxBytes = 16 << 20

// Operations of a delta.
const (
	opCopy   = 0
	opInsert = 1
)

// errDelta means that a delta is damaged.
var errDelta = errors.New("document: damaged delta")

// nextPiece returns the length of the first piece of data.
func nextPiece(data []byte) int {
	end := min(len(data), maxPiece)
	for n := minPiece; n < end; n++ {
		if xxhash.Sum64(data[n-window:n])&pieceMask == 0 {
			return n
		}
	}
	return end
}

// MakeDelta returns what turns base into next, compressed. An empty base gives
// the whole of next.
func MakeDelta(base, next []byte) []byte {
	places := map[uint64]int{}
	for at := 0; at < len(base); {
		n := nextPiece(base[at:])
		places[xxhash.Sum64(base[at:at+n])] = at
		at += n
	}
	w := &deltaWriter{}
	for at := 0; at < len(next); {
		n := nextPiece(next[at:])
		piece := next[at : at+n]
		from, known := w.next(base, piece), true
		if from < 0 {
			from, known = places[xxhash.Sum64(piece)]
		}
		if known && bytes.HasPrefix(base[from:], piece) {
			w.copy(from, n)
		} else {
			w.insert(piece)
		}
		at += n
	}
	return w.finish()
}

// next returns the place behind the last copy if a piece goes on there, else
// -1. Routes repeat each other's text, and without this a piece would be taken
// from any of them, which makes an operation of every piece.
func (w *deltaWriter) next(base, piece []byte) int {
	if at := w.behind; bytes.HasPrefix(base[at:], piece) {
		return at
	}
	return -1
}

// deltaWriter joins neighbouring operations.
type deltaWriter struct {
	out      []byte
	from, n  int
	inserted []byte
	// behind is the place in the base behind the last copy.
	behind int
}

func (w *deltaWriter) copy(from, n int) {
	w.flushInsert()
	w.behind = from + n
	if w.n > 0 && w.from+w.n == from {
		w.n += n
		return
	}
	w.flushCopy()
	w.from, w.n = from, n
}

func (w *deltaWriter) insert(piece []byte) {
	w.flushCopy()
	w.inserted = append(w.inserted, piece...)
}

func (w *deltaWriter) flushCopy() {
	if w.n == 0 {
		return
	}
	w.out = append(w.out, opCopy)
	w.out = binary.AppendUvarint(w.out, uint64(w.from))
	w.out = binary.AppendUvarint(w.out, uint64(w.n))
	w.n = 0
}

func (w *deltaWriter) flushInsert() {
	if len(w.inserted) == 0 {
		return
	}
	w.out = append(w.out, opInsert)
	w.out = binary.AppendUvarint(w.out, uint64(len(w.inserted)))
	w.out = append(w.out, w.inserted...)
	w.inserted = w.inserted[:0]
}

func (w *deltaWriter) finish() []byte {
	w.flushCopy()
	w.flushInsert()
	return Compress(w.out)
}

// Compress returns data in a form that Decompress reads.
func Compress(data []byte) []byte {
	var packed bytes.Buffer
	writer := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	writer.Reset(&packed)
	if _, err := writer.Write(data); err != nil {
		panic("document: invariant broken: a buffer takes every write: " + err.Error())
	}
	if err := writer.Close(); err != nil {
		panic("document: invariant broken: a buffer takes every write: " + err.Error())
	}
	return packed.Bytes()
}

// writers are kept for further use: a new one takes most of a megabyte.
var writers = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic("document: invariant broken: the compression level is valid: " + err.Error())
	}
	return writer
}}

// Decompress returns what Compress was given. Error: damaged data, or more
// than MaxBytes.
func Decompress(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(reader, MaxBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > MaxBytes {
		return nil, errDelta
	}
	return data, nil
}

// ApplyDelta returns the document that a delta makes from its base. Error:
// the delta is damaged or was made from another base.
func ApplyDelta(base, delta []byte) ([]byte, error) {
	operations, err := Decompress(delta)
	if err != nil {
		return nil, err
	}
	var next []byte
	for len(operations) > 0 {
		op := operations[0]
		operations = operations[1:]
		switch op {
		case opCopy:
			next, operations, err = applyCopy(next, base, operations)
		case opInsert:
			next, operations, err = applyInsert(next, operations)
		default:
			err = errDelta
		}
		if err != nil || len(next) > MaxBytes {
			return nil, errDelta
		}
	}
	return next, nil
}

func applyCopy(next, base, operations []byte) (grown, rest []byte, err error) {
	from, rest, err := number(operations)
	if err != nil {
		return nil, nil, err
	}
	n, rest, err := number(rest)
	if err != nil || from > uint64(len(base)) || n > uint64(len(base))-from {
		return nil, nil, errDelta
	}
	return append(next, base[from:from+n]...), rest, nil
}

func applyInsert(next, operations []byte) (grown, rest []byte, err error) {
	n, rest, err := number(operations)
	if err != nil || n > uint64(len(rest)) {
		return nil, nil, errDelta
	}
	return append(next, rest[:n]...), rest[n:], nil
}

// number reads one varint.
func number(data []byte) (uint64, []byte, error) {
	value, n := binary.Uvarint(data)
	if n <= 0 {
		return 0, nil, errDelta
	}
	return value, data[n:], nil
}

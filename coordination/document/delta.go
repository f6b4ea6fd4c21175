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

// Sizes of the chunks that documents are split into.
//
// The document's own bytes decide where a chunk ends (content-defined chunking), so
// an insertion moves no later boundary. On average one in boundaryMask+1 positions
// is a boundary. A chunk is thus smaller than a route, and a change of one field
// costs one chunk.
const (
	minChunk     = 24
	maxChunk     = 512
	boundaryMask = 63
	// boundaryWindow is the number of bytes before a position that decide whether
	// it is a boundary.
	boundaryWindow = 8
)

// MaxBytes is the largest size of a document. It is far above the largest one that
// a fleet's operators may send.
const MaxBytes = 16 << 20

// Operations of a delta.
const (
	opCopy   = 0
	opInsert = 1
)

// errDelta means that a delta is damaged, or that it makes a document above MaxBytes
// or one whose digest isn't that of the change.
var errDelta = errors.New("document: damaged delta")

// nextChunk returns the length of the first chunk of data.
func nextChunk(data []byte) int {
	end := min(len(data), maxChunk)
	for n := minChunk; n < end; n++ {
		if xxhash.Sum64(data[n-boundaryWindow:n])&boundaryMask == 0 {
			return n
		}
	}
	return end
}

// MakeDelta returns the compressed delta that turns base into next. For an empty
// base the delta holds the whole of next.
func MakeDelta(base, next []byte) []byte {
	offsets := map[uint64]int{}
	for at := 0; at < len(base); {
		n := nextChunk(base[at:])
		offsets[xxhash.Sum64(base[at:at+n])] = at
		at += n
	}
	w := &deltaWriter{}
	for at := 0; at < len(next); {
		n := nextChunk(next[at:])
		chunk := next[at : at+n]
		from, known := w.continueCopy(base, chunk), true
		if from < 0 {
			from, known = offsets[xxhash.Sum64(chunk)]
		}
		if known && bytes.HasPrefix(base[from:], chunk) {
			w.copy(from, n)
		} else {
			w.insert(chunk)
		}
		at += n
	}
	return w.finish()
}

// continueCopy returns the end of the last copy if the base holds the chunk there,
// else -1. Routes repeat each other's text. Without this check a chunk would be
// copied from any place with the same text, and each chunk would need an operation
// of its own.
func (w *deltaWriter) continueCopy(base, chunk []byte) int {
	if at := w.copyEnd; bytes.HasPrefix(base[at:], chunk) {
		return at
	}
	return -1
}

// deltaWriter encodes the operations of a delta and joins adjacent ones.
type deltaWriter struct {
	out      []byte
	from, n  int
	inserted []byte
	// copyEnd is the offset in the base at which the last copy ended.
	copyEnd int
}

func (w *deltaWriter) copy(from, n int) {
	w.flushInsert()
	w.copyEnd = from + n
	if w.n > 0 && w.from+w.n == from {
		w.n += n
		return
	}
	w.flushCopy()
	w.from, w.n = from, n
}

func (w *deltaWriter) insert(chunk []byte) {
	w.flushCopy()
	w.inserted = append(w.inserted, chunk...)
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

// Compress compresses data for Decompress.
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

// writers holds writers for reuse, because a new one allocates most of a megabyte.
var writers = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic("document: invariant broken: the compression level is valid: " + err.Error())
	}
	return writer
}}

// Decompress returns the data that Compress was given. It fails if the data is
// damaged or holds more than MaxBytes.
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

// ApplyDelta returns the document that a delta makes from its base. It fails if the
// delta is damaged, and it may fail if the delta was made from another base.
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
	from, rest, err := readUvarint(operations)
	if err != nil {
		return nil, nil, err
	}
	n, rest, err := readUvarint(rest)
	if err != nil || from > uint64(len(base)) || n > uint64(len(base))-from {
		return nil, nil, errDelta
	}
	return append(next, base[from:from+n]...), rest, nil
}

func applyInsert(next, operations []byte) (grown, rest []byte, err error) {
	n, rest, err := readUvarint(operations)
	if err != nil || n > uint64(len(rest)) {
		return nil, nil, errDelta
	}
	return append(next, rest[:n]...), rest[n:], nil
}

// readUvarint reads one varint and returns it with the rest of the data.
func readUvarint(data []byte) (uint64, []byte, error) {
	value, n := binary.Uvarint(data)
	if n <= 0 {
		return 0, nil, errDelta
	}
	return value, data[n:], nil
}

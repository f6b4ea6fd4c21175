package codec

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth limits the nesting of a message. The fleet's own messages have fewer
// than ten levels.
const maxDepth = 32

// ErrMalformed means that the input is not exactly one complete msgpack value.
var ErrMalformed = eris.New("codec: not exactly one complete msgpack value")

// Check returns ErrMalformed unless the input is exactly one msgpack value and no
// list in it is longer than the bytes that follow.
//
// It guards against a short message that declares a huge list. The msgpack
// library allocates a list of structs at its declared length before it reads
// the first element: 12 bytes made it request 58 GB and killed the process, on
// every voter at the same log entry. Each element takes at least one byte, so a
// list longer than the remaining bytes cannot be complete.
func Check(encoded []byte) error {
	rest, ok := skip(encoded, maxDepth)
	if !ok || len(rest) != 0 {
		return ErrMalformed
	}
	return nil
}

// skip returns the bytes after the first value.
func skip(b []byte, depth int) (rest []byte, ok bool) {
	if len(b) == 0 || depth == 0 {
		return nil, false
	}
	code := b[0]
	b = b[1:]
	switch {
	case msgpcode.IsFixedNum(code):
		return b, true
	case msgpcode.IsFixedString(code):
		return skipBytes(b, uint64(code&msgpcode.FixedStrMask))
	case msgpcode.IsFixedArray(code):
		return skipValues(b, uint64(code&msgpcode.FixedArrayMask), depth)
	case msgpcode.IsFixedMap(code):
		return skipValues(b, 2*uint64(code&msgpcode.FixedMapMask), depth)
	}
	return skipSized(code, b, depth)
}

// skipSized skips a value whose code is followed by a length or by a number
// of fixed size.
func skipSized(code byte, b []byte, depth int) ([]byte, bool) {
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return b, true
	case msgpcode.Uint8, msgpcode.Int8:
		return skipBytes(b, 1)
	case msgpcode.Uint16, msgpcode.Int16:
		return skipBytes(b, 2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return skipBytes(b, 4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return skipBytes(b, 8)
	case msgpcode.Str8, msgpcode.Bin8:
		return skipLength(b, 1)
	case msgpcode.Str16, msgpcode.Bin16:
		return skipLength(b, 2)
	case msgpcode.Str32, msgpcode.Bin32:
		return skipLength(b, 4)
	case msgpcode.Array16, msgpcode.Array32, msgpcode.Map16, msgpcode.Map32:
		return skipList(code, b, depth)
	}
	// Extension types are not used by any message.
	return nil, false
}

func skipBytes(b []byte, count uint64) ([]byte, bool) {
	if uint64(len(b)) < count {
		return nil, false
	}
	return b[count:], true
}

// skipLength skips a length field of width bytes and the number of bytes that it
// declares.
func skipLength(b []byte, width int) ([]byte, bool) {
	length, b, ok := readLength(b, width)
	if !ok {
		return nil, false
	}
	return skipBytes(b, length)
}

func skipList(code byte, b []byte, depth int) ([]byte, bool) {
	width, each := 2, uint64(1)
	if code == msgpcode.Array32 || code == msgpcode.Map32 {
		width = 4
	}
	if code == msgpcode.Map16 || code == msgpcode.Map32 {
		each = 2
	}
	length, b, ok := readLength(b, width)
	if !ok {
		return nil, false
	}
	return skipValues(b, each*length, depth)
}

func skipValues(b []byte, count uint64, depth int) ([]byte, bool) {
	if count > uint64(len(b)) {
		return nil, false
	}
	ok := true
	for ; count > 0 && ok; count-- {
		b, ok = skip(b, depth-1)
	}
	return b, ok
}

func readLength(b []byte, width int) (uint64, []byte, bool) {
	if len(b) < width {
		return 0, nil, false
	}
	switch width {
	case 1:
		return uint64(b[0]), b[1:], true
	case 2:
		return uint64(binary.BigEndian.Uint16(b)), b[2:], true
	}
	return uint64(binary.BigEndian.Uint32(b)), b[4:], true
}

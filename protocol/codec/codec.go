// Package codec encodes the coordination layer's messages with msgpack, with
// integers in their shortest form.
//
// Marshal encodes structs as maps with short keys, so that a later version can
// add and drop fields; commands and snapshots use it. MarshalArrays encodes
// structs as arrays without keys, which takes half the bytes, but fields can only
// be added at the end; messages that each router sends every second use it.
// Unmarshal reads both. It first runs Check, because a malformed message could
// otherwise make the msgpack library allocate all memory.
package codec

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Marshal encodes a value. It panics if the value's type cannot be encoded, which
// is a programming error.
func Marshal(value any) []byte { return encode(value, false) }

// MarshalArrays encodes a value with its structs as arrays. It panics like
// Marshal.
func MarshalArrays(value any) []byte { return encode(value, true) }

// Unmarshal decodes into target. It returns an error for malformed input, which
// could end the process if it were decoded without Check. All input from other
// processes or from disk must be decoded with Unmarshal.
func Unmarshal(encoded []byte, target any) error {
	if err := Check(encoded); err != nil {
		return err
	}
	return eris.Wrap(msgpack.Unmarshal(encoded, target), "codec: decode")
}

func encode(value any, arrays bool) []byte {
	var buffer bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buffer)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(arrays)
	if err := encoder.Encode(value); err != nil {
		panic("codec: message that can't be encoded: " + err.Error())
	}
	return buffer.Bytes()
}

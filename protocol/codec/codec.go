// Package codec encodes the coordination layer's messages with msgpack, with
// integers in their shortest form.
//
// Commands and snapshots are encoded as maps with short keys, so that a later
// version can add and drop fields. Messages that go out each second from each
// router are encoded as arrays without keys: half the bytes, and fields can
// only be added at the end. Unmarshal reads both.
package codec

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Marshal encodes a value whose type can always be encoded; anything else is
// a broken invariant.
func Marshal(value any) []byte { return encode(value, false) }

// MarshalArrays encodes a value with its structs as arrays.
func MarshalArrays(value any) []byte { return encode(value, true) }

// Unmarshal decodes into target. Random bytes give an error; see Check for what
// they would do without it. Use it for all bytes that come from elsewhere.
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
		panic("codec: a typed message must encode: " + err.Error())
	}
	return buffer.Bytes()
}

package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFrameRoundTrip(t *testing.T) {
	sent := Frame{Kind: KindChunk, Number: 7, Payload: Encode(Ack{Number: 9})}
	raw, err := Append(nil, sent)
	assert.NilError(t, err)
	got, err := Read(bytes.NewReader(raw), MaxFrame)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, sent)
}

// A broken peer sends an invalid length or stops within a frame. The reader must
// return the matching error, so that only this connection is closed.
func TestBadFramesGiveTypedErrors(t *testing.T) {
	whole, _ := Append(nil, Frame{Kind: KindAck, Payload: []byte("abc")})
	huge := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	short := binary.BigEndian.AppendUint32(nil, headerBytes-1)
	for name, tc := range map[string]struct {
		raw  []byte
		want error
	}{
		"oversized": {huge, ErrTooLarge},
		"short":     {short, ErrTooShort},
		"torn":      {whole[:len(whole)-1], io.ErrUnexpectedEOF},
		"torn head": {whole[:6], io.ErrUnexpectedEOF},
		"nothing":   {nil, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read(bytes.NewReader(tc.raw), MaxFrame)
			assert.Assert(t, errors.Is(err, tc.want), "%v", err)
		})
	}
}

func TestHelloOfUnsupportedVersionIsRefused(t *testing.T) {
	var wrong *VersionError
	assert.Assert(t, errors.As(Hello{Version: 9, MinVersion: 9}.Check(), &wrong))
	assert.NilError(t, Hello{Version: 9, MinVersion: 1}.Check())
}

// FuzzRead reads random bytes as a connection's input. Read and Decode must not
// panic, and no frame may be longer than the input.
func FuzzRead(f *testing.F) {
	whole, _ := Append(nil, Frame{Kind: KindAck, Payload: []byte("abc")})
	f.Add(whole)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 9, 1, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := Read(bytes.NewReader(raw), MaxHello)
		if err != nil {
			return
		}
		assert.Assert(t, len(frame.Payload) <= len(raw))
		var hello Hello
		_ = Decode(frame.Payload, &hello)
	})
}

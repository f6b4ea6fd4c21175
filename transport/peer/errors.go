package peer

import (
	"errors"
	"fmt"
	"io"

	"endiveplank/protocol"
	"endiveplank/protocol/wire"
)

// CertificateError means that a peer's certificate doesn't name the router that
// the peer claims to be. CommonName is empty when the peer sent no certificate.
type CertificateError struct {
	CommonName string
	Claimed    protocol.RouterID
}

// Error names the certificate's router and the claimed one.
func (e *CertificateError) Error() string {
	return fmt.Sprintf("the certificate is for router %q but the peer claims to be %q", e.CommonName, e.Claimed)
}

// MisdirectedError means that a peer dialled this router but its Hello is
// addressed to another. This happens when an address has been reassigned to
// another VM.
type MisdirectedError struct{ From, To protocol.RouterID }

// Error names the dialling peer and the router that it expected.
func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("peer %q expected router %q at this address", e.From, e.To)
}

// HelloError means that the first frame of a connection was not a Hello.
type HelloError struct{ Kind wire.Kind }

// Error names the kind of the frame that came instead.
func (e *HelloError) Error() string {
	return fmt.Sprintf("the first frame has kind %d, expected hello", e.Kind)
}

// recordRefused counts and logs a connection whose handshake failed.
func (m *Mesh) recordRefused(err error) {
	m.count(func(c *Counts) { c.RefusedInbound++ })
	m.options.Log.Warn().Err(err).Msg("peer: handshake failed, connection refused")
}

// recordBroken counts and logs a connection that ended because its bytes are not
// a valid frame. A connection that ends between two frames or by a timeout is not
// the peer's fault and isn't counted.
func (m *Mesh) recordBroken(from protocol.RouterID, err error) {
	torn := errors.Is(err, io.ErrUnexpectedEOF)
	if !torn && !errors.Is(err, wire.ErrTooLarge) && !errors.Is(err, wire.ErrTooShort) {
		return
	}
	m.count(func(c *Counts) { c.BrokenInbound++ })
	m.options.Log.Warn().Err(err).Str("peer", string(from)).Msg("peer: invalid frame, connection closed")
}

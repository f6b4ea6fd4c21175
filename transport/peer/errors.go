package peer

import (
	"errors"
	"fmt"
	"io"

	"endiveplank/protocol"
	"endiveplank/protocol/wire"
)

// CertificateError means that a peer's certificate is for another router than
// the one it claims to be. Named is empty when it showed none.
type CertificateError struct {
	Named   string
	Claimed protocol.RouterID
}

// Error names both routers.
func (e *CertificateError) Error() string {
	return fmt.Sprintf("certificate is for %q, peer claims %q", e.Named, e.Claimed)
}

// MisdirectedError means that a peer wanted another router than this one, as
// when an address has been given to another VM.
type MisdirectedError struct{ From, To protocol.RouterID }

// Error names both ends.
func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("peer %q wants %q", e.From, e.To)
}

// HelloError means that a connection began with something else than a Hello.
type HelloError struct{ Kind wire.Kind }

// Error names the kind.
func (e *HelloError) Error() string {
	return fmt.Sprintf("first frame has kind %d, not hello", e.Kind)
}

// refused counts and reports a connection that got no further than its Hello.
func (m *Mesh) refused(err error) {
	m.count(func(c *Counts) { c.RefusedInbound++ })
	m.options.Log.Warn().Err(err).Msg("peer: connection refused")
}

// broken counts and reports a connection that ended by bytes which are no
// frame. An end between two frames, or by silence, is no fault of the peer.
func (m *Mesh) broken(from protocol.RouterID, err error) {
	torn := errors.Is(err, io.ErrUnexpectedEOF)
	if !torn && !errors.Is(err, wire.ErrTooLarge) && !errors.Is(err, wire.ErrTooShort) {
		return
	}
	m.count(func(c *Counts) { c.BrokenInbound++ })
	m.options.Log.Warn().Err(err).Str("peer", string(from)).Msg("peer: connection broken")
}

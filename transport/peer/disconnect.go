package peer

import "endiveplank/protocol"

// disconnected tells the Handler that a connection with a peer has ended, if no other one
// is left.
func (m *Mesh) disconnected(peer protocol.RouterID) {
	handler, wanted := m.options.Handler.(DisconnectHandler)
	if !wanted || m.connectedWith(peer) {
		return
	}
	handler.HandleDisconnect(peer)
}

// connectedWith reports whether there is a connection with a peer, in either direction.
func (m *Mesh) connectedWith(peer protocol.RouterID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inbounds[peer] != nil {
		return true
	}
	l := m.links[peer]
	return l != nil && l.connected.Load()
}

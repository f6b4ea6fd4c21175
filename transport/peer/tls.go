package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/protocol"
	"endiveplank/settings"
)

// reloadInterval is how often a handshake looks at the files again.
const reloadInterval = time.Second

// keyStore holds the certificate, key and authority that are in force, and
// reads them again when the files change, so that keys are rotated without a
// restart. A half-written file keeps the old ones in force.
type keyStore struct {
	files settings.TLS

	mu          sync.Mutex
	checked     time.Time
	stamps      [3]time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// LoadTLS returns the server's and the client's side of mutual TLS. It
// returns nil for both when no files are set, and an error when they can't be
// read at the start.
func LoadTLS(files settings.TLS) (server, client *tls.Config, err error) {
	if files.CertificateFile == "" {
		return nil, nil, nil
	}
	store := &keyStore{files: files}
	if err := store.read(); err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authority := store.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    authority,
			}, nil
		},
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := store.current()
			return certificate, nil
		},
		// The library's check compares host names, and peers have none. The
		// chain is checked here and the router ID in checkCertificate.
		InsecureSkipVerify: true,
		VerifyConnection:   store.verifyServer,
	}
	return server, client, nil
}

// verifyServer checks the server's chain against the authority in force.
func (k *keyStore) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("peer shows no certificate")
	}
	_, authority := k.current()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return eris.Wrap(err, "peer's certificate")
}

// current returns what is in force, looking at the files at most once each
// reloadInterval.
func (k *keyStore) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checked) > reloadInterval && k.changed() {
		_ = k.readLocked()
	}
	return k.certificate, k.authority
}

func (k *keyStore) changed() bool {
	k.checked = time.Now()
	return k.readStamps() != k.stamps
}

func (k *keyStore) readStamps() [3]time.Time {
	var stamps [3]time.Time
	for i, file := range []string{k.files.CertificateFile, k.files.KeyFile, k.files.AuthorityFile} {
		if info, err := os.Stat(file); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

func (k *keyStore) read() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.readLocked()
}

func (k *keyStore) readLocked() error {
	stamps := k.readStamps()
	certificate, err := tls.LoadX509KeyPair(k.files.CertificateFile, k.files.KeyFile)
	if err != nil {
		return eris.Wrap(err, "load certificate and key")
	}
	pem, err := os.ReadFile(k.files.AuthorityFile)
	if err != nil {
		return eris.Wrap(err, "load authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return eris.Errorf("no certificate in %s", k.files.AuthorityFile)
	}
	k.certificate = &certificate
	k.authority = authority
	k.stamps = stamps
	return nil
}

// checkCertificate compares the router ID that a peer claims with the common
// name of its certificate, so that a key stolen from one VM can't speak for
// another.
func checkCertificate(connection net.Conn, claimed protocol.RouterID) error {
	secured, ok := connection.(*tls.Conn)
	if !ok {
		return nil
	}
	if err := secured.Handshake(); err != nil {
		return eris.Wrap(err, "handshake")
	}
	certificates := secured.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return &CertificateError{Claimed: claimed}
	}
	if name := certificates[0].Subject.CommonName; name != string(claimed) {
		return &CertificateError{Named: name, Claimed: claimed}
	}
	return nil
}

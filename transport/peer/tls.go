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

// reloadInterval is the minimum time between two checks whether the files have
// changed.
const reloadInterval = time.Second

// keyStore holds the certificate, key and authority in use and reloads them when
// their files change, so that keys are rotated without a restart. While a file is
// only partly written, the old ones stay in use.
type keyStore struct {
	files settings.TLS

	mu          sync.Mutex
	checkedAt   time.Time
	modTimes    [3]time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// LoadTLS returns the server and client configuration for mutual TLS. It returns
// nil for both when no files are set, and an error when the files can't be read
// now; later read errors keep the loaded keys.
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
		// The check of crypto/tls compares host names, and peers have none.
		// verifyServer checks the chain and checkCertificate the router ID.
		InsecureSkipVerify: true,
		VerifyConnection:   store.verifyServer,
	}
	return server, client, nil
}

// verifyServer verifies the server's certificate chain against the authority in
// use.
func (k *keyStore) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("peer sent no certificate")
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
	return eris.Wrap(err, "verify the peer's certificate")
}

// current returns the certificate and authority in use. It checks the files for
// changes at most once per reloadInterval.
func (k *keyStore) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checkedAt) > reloadInterval && k.changed() {
		_ = k.readLocked()
	}
	return k.certificate, k.authority
}

func (k *keyStore) changed() bool {
	k.checkedAt = time.Now()
	return k.readModTimes() != k.modTimes
}

func (k *keyStore) readModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, file := range []string{k.files.CertificateFile, k.files.KeyFile, k.files.AuthorityFile} {
		if info, err := os.Stat(file); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

func (k *keyStore) read() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.readLocked()
}

func (k *keyStore) readLocked() error {
	modTimes := k.readModTimes()
	certificate, err := tls.LoadX509KeyPair(k.files.CertificateFile, k.files.KeyFile)
	if err != nil {
		return eris.Wrapf(err, "load certificate %q and key %q", k.files.CertificateFile, k.files.KeyFile)
	}
	pem, err := os.ReadFile(k.files.AuthorityFile)
	if err != nil {
		return eris.Wrapf(err, "load authority %q", k.files.AuthorityFile)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return eris.Errorf("authority file %q contains no certificate", k.files.AuthorityFile)
	}
	k.certificate = &certificate
	k.authority = authority
	k.modTimes = modTimes
	return nil
}

// checkCertificate compares the router ID that a peer claims with the common name
// of its certificate, so that a key stolen from one VM can't be used to act as
// another router.
func checkCertificate(connection net.Conn, claimed protocol.RouterID) error {
	secured, ok := connection.(*tls.Conn)
	if !ok {
		return nil
	}
	if err := secured.Handshake(); err != nil {
		return eris.Wrapf(err, "TLS handshake with the peer that claims to be %q", claimed)
	}
	certificates := secured.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return &CertificateError{Claimed: claimed}
	}
	if name := certificates[0].Subject.CommonName; name != string(claimed) {
		return &CertificateError{CommonName: name, Claimed: claimed}
	}
	return nil
}

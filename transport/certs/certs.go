// Package certs makes the keys and certificates with which the fleet's
// processes prove to each other who they are.
//
// One authority, kept off the fleet's VMs, signs a certificate for each router
// with the router ID as its common name. Peers accept a connection only when
// the certificate is signed by the authority and names the router that the
// other end claims to be, so a key stolen from one VM can't speak for another.
// Keys are ECDSA over P-256. The forms are PEM, so that other tools can read
// and replace them.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/protocol"
)

const (
	// backdate lets a certificate be used on a VM whose clock is behind.
	backdate = time.Hour
	// serialBits is the length of a serial number: long enough that two never
	// meet by chance.
	serialBits = 127
)

// Pair is a certificate and its private key in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority makes a fleet's authority, valid from now for a time.
func NewAuthority(now time.Time, validity time.Duration) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, eris.Wrap(err, "make the authority's key")
	}
	template, err := newTemplate("endiveplank fleet authority", now, validity)
	if err != nil {
		return Pair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	return sign(template, template, key, key)
}

// Issue makes a router's key and certificate. It returns an error when the
// authority's pair doesn't belong together or is no authority.
func Issue(authority Pair, router protocol.RouterID, now time.Time, validity time.Duration) (Pair, error) {
	signer, err := tls.X509KeyPair(authority.Certificate, authority.Key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "read the authority")
	}
	if !signer.Leaf.IsCA {
		return Pair{}, eris.New("this certificate may sign no others: it is no authority")
	}
	if router == "" {
		return Pair{}, eris.New("a router's certificate needs a router ID")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, eris.Wrap(err, "make the router's key")
	}
	template, err := newTemplate(string(router), now, validity)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	// Each process both dials and accepts.
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return sign(template, signer.Leaf, key, signer.PrivateKey)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "draw a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

// sign makes the certificate of key and encodes both.
func sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey, signer any) (Pair, error) {
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, eris.Wrap(err, "sign a certificate")
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "encode a key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}),
	}, nil
}

// Package certs creates the keys and certificates with which the fleet's processes
// authenticate each other.
//
// NewAuthority creates a certificate authority, whose key is kept off the fleet's
// VMs. Issue signs a certificate for each router with the router ID as its common
// name. Peers accept a connection only when the authority has signed the
// certificate and the certificate names the router that the other end claims to
// be, so a key stolen from one VM can't be used to act as another router.
//
// Keys are ECDSA over P-256. Both are encoded as PEM, so that other tools can read
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
	// backdate is how long before its creation a certificate becomes valid, so that
	// VMs whose clocks are behind accept it.
	backdate = time.Hour
	// serialBits is the length of a serial number. Serial numbers are random; this
	// length makes collisions practically impossible.
	serialBits = 127
)

// Pair is a certificate and its private key, both as PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority creates a fleet's certificate authority. Its certificate expires at
// now plus validity.
func NewAuthority(now time.Time, validity time.Duration) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, eris.Wrap(err, "generate the authority's key")
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

// Issue creates a router's key and certificate. It returns an error when the
// authority's certificate and key don't match or the certificate isn't a CA's.
func Issue(authority Pair, router protocol.RouterID, now time.Time, validity time.Duration) (Pair, error) {
	signer, err := tls.X509KeyPair(authority.Certificate, authority.Key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "parse the authority's certificate and key")
	}
	if !signer.Leaf.IsCA {
		return Pair{}, eris.Errorf("certificate %q is not a CA and can't sign other certificates", signer.Leaf.Subject.CommonName)
	}
	if router == "" {
		return Pair{}, eris.New("the router ID for the certificate is empty")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, eris.Wrapf(err, "generate the key of router %q", router)
	}
	template, err := newTemplate(string(router), now, validity)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	// Each process is both a client and a server.
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return sign(template, signer.Leaf, key, signer.PrivateKey)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrapf(err, "generate the serial number of certificate %q", name)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

// sign creates the certificate of key and encodes both as PEM.
func sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey, signer any) (Pair, error) {
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, eris.Wrapf(err, "sign certificate %q", template.Subject.CommonName)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, eris.Wrapf(err, "encode the key of certificate %q", template.Subject.CommonName)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}),
	}, nil
}

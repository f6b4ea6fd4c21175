package daemon

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol/upstreamapi"
	"endiveplank/settings"
	"endiveplank/transport/certs"
)

// tlsFiles issues a router's certificate and writes it to a folder of the router's own.
func tlsFiles(t *testing.T, authority certs.Pair, s *settings.Settings) {
	t.Helper()
	pair, err := certs.Issue(authority, s.RouterID, time.Now(), time.Hour)
	assert.NilError(t, err)
	folder := t.TempDir()
	s.TLS = settings.TLS{
		CertificateFile: filepath.Join(folder, "certificate.pem"),
		KeyFile:         filepath.Join(folder, "key.pem"),
		AuthorityFile:   filepath.Join(folder, "authority.pem"),
	}
	assert.NilError(t, os.WriteFile(s.TLS.CertificateFile, pair.Certificate, 0o600))
	assert.NilError(t, os.WriteFile(s.TLS.KeyFile, pair.Key, 0o600))
	assert.NilError(t, os.WriteFile(s.TLS.AuthorityFile, authority.Certificate, 0o600))
}

// The routers' connections use mutual TLS. A chat through any router must still be answered
// completely.
func TestFleetOverMutualTLSServesAChat(t *testing.T) {
	authority, err := certs.NewAuthority(time.Now(), time.Hour)
	assert.NilError(t, err)
	f := newTestFleetWith(t, 0, func(s *settings.Settings) { tlsFiles(t, authority, s) })
	f.setUp()
	f.engine("e1", nil)
	for i := range f.daemons {
		status, _, body := f.call(i, upstreamapi.CompletionsPath, chatBody)
		assert.Equal(t, status, 200, body)
		assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"), body)
	}
}

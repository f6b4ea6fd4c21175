package tool

import (
	"bytes"
	"crypto/tls"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/settings"
	"endiveplank/transport/peer"
)

// run executes the tool and returns what it printed.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	command := NewCommand()
	command.SetOut(&out)
	command.SetErr(&out)
	command.SetArgs(args)
	err := command.Execute()
	return out.String(), err
}

// exitStatus returns the exit status that an error asks for.
func exitStatus(t *testing.T, err error) int {
	t.Helper()
	var failed *Failure
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	return failed.Status
}

// A router loads the issued files and finds its own ID in the certificate.
// Issuing without an authority is wrong usage, and the key is private to its
// owner.
func TestPeersAcceptIssuedCertificates(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "keys")
	_, err := run("certs", "router", "r1", "--folder", folder)
	assert.Equal(t, exitStatus(t, err), ExitUsage)
	_, err = run("certs", "authority", "--folder", folder)
	assert.NilError(t, err)
	_, err = run("certs", "router", "r1", "--folder", folder)
	assert.NilError(t, err)
	key := filepath.Join(folder, "r1.key.pem")
	info, err := os.Stat(key)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), keyMode)
	files := settings.TLS{CertificateFile: filepath.Join(folder, "r1.pem"), KeyFile: key, AuthorityFile: filepath.Join(folder, "authority.pem")}
	_, _, err = peer.LoadTLS(files)
	assert.NilError(t, err)
	pair, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	assert.NilError(t, err)
	assert.Equal(t, pair.Leaf.Subject.CommonName, "r1")
}

// An operator runs the command a second time. If it replaced the authority, the
// routers would reject each other at their next handshake. A router ID that
// would write outside the folder or over the authority is refused too.
func TestCertsKeepExistingFiles(t *testing.T) {
	folder := t.TempDir()
	_, err := run("certs", "authority", "--folder", folder)
	assert.NilError(t, err)
	before, err := os.ReadFile(filepath.Join(folder, "authority.pem"))
	assert.NilError(t, err)
	_, err = run("certs", "authority", "--folder", folder)
	assert.Equal(t, exitStatus(t, err), ExitUsage)
	after, err := os.ReadFile(filepath.Join(folder, "authority.pem"))
	assert.NilError(t, err)
	assert.DeepEqual(t, before, after)
	for _, name := range []string{"../r1", "authority", ""} {
		_, err = run("certs", "router", name, "--folder", folder)
		assert.Assert(t, err != nil, name)
	}
}

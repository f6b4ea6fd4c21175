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

// exitOf returns the exit status that an error asks for.
func exitOf(t *testing.T, err error) int {
	t.Helper()
	var failed *Failure
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	return failed.Status
}

func TestIssuedCertificatesAreTakenByThePeers(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "keys")
	_, err := run("certs", "router", "r1", "--folder", folder)
	assert.Equal(t, exitOf(t, err), ExitUsage)
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

// An operator runs the command a second time. Were the authority replaced, the
// routers would refuse each other at their next handshake.
func TestKeysThatAreThereStay(t *testing.T) {
	folder := t.TempDir()
	_, err := run("certs", "authority", "--folder", folder)
	assert.NilError(t, err)
	before, err := os.ReadFile(filepath.Join(folder, "authority.pem"))
	assert.NilError(t, err)
	_, err = run("certs", "authority", "--folder", folder)
	assert.Equal(t, exitOf(t, err), ExitUsage)
	after, err := os.ReadFile(filepath.Join(folder, "authority.pem"))
	assert.NilError(t, err)
	assert.DeepEqual(t, before, after)
	for _, name := range []string{"../r1", "authority", ""} {
		_, err = run("certs", "router", name, "--folder", folder)
		assert.Assert(t, err != nil, name)
	}
}

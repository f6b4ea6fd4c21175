package tool

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"endiveplank/protocol"
	"endiveplank/transport/certs"
)

// Default validity of certificates, in days.
const (
	authorityDays = 3650
	routerDays    = 365
	day           = 24 * time.Hour
)

// File names and modes of keys and certificates. Only the owner may read a key.
const (
	authorityName                 = "authority"
	certificateSuffix             = ".pem"
	keySuffix                     = ".key.pem"
	keyMode           os.FileMode = 0o600
	certMode          os.FileMode = 0o644
	folderMode        os.FileMode = 0o700
)

// certsCommand creates the keys and certificates for mutual TLS between the
// fleet's processes. It only works on files and calls no router.
func certsCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "certs",
		Short: "Create the fleet's certificate authority and the routers' certificates",
		Example: `  endiveplank certs authority --folder keys
  endiveplank certs router r1 --folder keys`,
	}
	command.AddCommand(authorityCommand(), routerCertCommand())
	return command
}

func authorityCommand() *cobra.Command {
	var folder string
	var days int
	command := &cobra.Command{
		Use:   "authority",
		Short: "Create the authority that signs the routers' certificates",
		Long:  "Writes authority.pem and authority.key.pem. Keep the key off the fleet's VMs: whoever has it can impersonate every router.",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := checkDays(days); err != nil {
				return err
			}
			pair, err := certs.NewAuthority(time.Now(), time.Duration(days)*day)
			if err != nil {
				return err
			}
			if err := os.MkdirAll(folder, folderMode); err != nil {
				return err
			}
			return writePair(command, folder, authorityName, pair)
		},
	}
	command.Flags().StringVar(&folder, "folder", "keys", "folder to write to")
	command.Flags().IntVar(&days, "days", authorityDays, "days of validity")
	return command
}

func routerCertCommand() *cobra.Command {
	var folder string
	var days int
	command := &cobra.Command{
		Use:   "router ROUTER-ID",
		Short: "Issue a router's key and certificate",
		Long:  "Writes ROUTER-ID.pem and ROUTER-ID.key.pem, signed by the authority in the folder. The common name is the router ID; peers compare it with the router ID that the other end claims.",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := checkDays(days); err != nil {
				return err
			}
			if args[0] != filepath.Base(args[0]) || args[0] == authorityName {
				return &Failure{Status: ExitUsage, What: fmt.Sprintf("router ID %q can't be used as a file name", args[0])}
			}
			authority, err := readPair(folder, authorityName)
			if err != nil {
				return &Failure{Status: ExitUsage, What: err.Error(), Next: "create it with: endiveplank certs authority --folder " + folder}
			}
			pair, err := certs.Issue(authority, protocol.RouterID(args[0]), time.Now(), time.Duration(days)*day)
			if err != nil {
				return err
			}
			return writePair(command, folder, args[0], pair)
		},
	}
	command.Flags().StringVar(&folder, "folder", "keys", "folder that holds the authority; the new files are written there too")
	command.Flags().IntVar(&days, "days", routerDays, "days of validity")
	return command
}

func checkDays(days int) error {
	if days < 1 {
		return &Failure{Status: ExitUsage, What: fmt.Sprintf("--days must be 1 or more, not %d", days)}
	}
	return nil
}

func readPair(folder, name string) (certs.Pair, error) {
	certificate, err := os.ReadFile(filepath.Join(folder, name+certificateSuffix))
	if err != nil {
		return certs.Pair{}, err
	}
	key, err := os.ReadFile(filepath.Join(folder, name+keySuffix))
	return certs.Pair{Certificate: certificate, Key: key}, err
}

// writePair writes the key and the certificate to new files. It never
// overwrites a file: a second run must not replace the authority that signed
// the certificates in use.
func writePair(command *cobra.Command, folder, name string, pair certs.Pair) error {
	for _, file := range []struct {
		name    string
		content []byte
		mode    os.FileMode
	}{
		{name + keySuffix, pair.Key, keyMode},
		{name + certificateSuffix, pair.Certificate, certMode},
	} {
		path := filepath.Join(folder, file.name)
		if err := writeNew(path, file.content, file.mode); err != nil {
			return err
		}
		fmt.Fprintln(command.OutOrStdout(), path)
	}
	return nil
}

func writeNew(path string, content []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if os.IsExist(err) {
		return &Failure{Status: ExitUsage, What: path + " already exists", Next: "move it away, or write to another --folder"}
	}
	if err != nil {
		return err
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

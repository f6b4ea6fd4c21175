package wal

import (
	"errors"
	"io/fs"
	"math/rand/v2"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"endiveplank/coordination/consensus"
	"endiveplank/protocol"
	"endiveplank/state/disk"
)

// Names of files in the data folder.
const (
	identityName   = "identity"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	temporary      = ".tmp"
)

// identity is the content of the identity file.
type identity struct {
	Version uint32            `msgpack:"v"`
	Router  protocol.RouterID `msgpack:"r"`
	Disk    consensus.DiskID  `msgpack:"d"`
}

// newDiskID draws an identifier that is not zero.
func newDiskID(random *rand.Rand) consensus.DiskID {
	for {
		if id := consensus.DiskID(random.Uint64()); id != 0 {
			return id
		}
	}
}

// readIdentity returns the identity of the folder, and false if it has none.
func readIdentity(d disk.Disk) (identity, bool, error) {
	data, err := d.ReadAll(identityName)
	if errors.Is(err, fs.ErrNotExist) {
		return identity{}, false, nil
	}
	if err != nil {
		return identity{}, false, err
	}
	frame, ok := frameAt(data)
	if !ok || !frameIsGood(frame) {
		return identity{}, false, CorruptionError{File: identityName, Reason: "bad checksum"}
	}
	var id identity
	if err := msgpack.Unmarshal(frame[frameHeader:], &id); err != nil {
		return identity{}, false, CorruptionError{File: identityName, Reason: "cannot be decoded"}
	}
	if id.Version != formatVersion {
		return identity{}, false, VersionError{File: identityName, Version: id.Version}
	}
	return id, true, nil
}

// writeIdentity makes an identity last.
func writeIdentity(d disk.Disk, id identity) error {
	payload, err := msgpack.Marshal(id)
	if err != nil {
		return eris.Wrap(err, "wal: encode identity")
	}
	return replaceFile(d, identityName, encodeFrame(0, payload))
}

// replaceFile writes a file so that after a crash it is the old one or the
// new one, whole.
func replaceFile(d disk.Disk, name string, content []byte) error {
	f, err := d.Create(name + temporary)
	if err != nil {
		return err
	}
	if err := f.Append(content); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := d.Rename(name+temporary, name); err != nil {
		return err
	}
	return d.SyncDir()
}

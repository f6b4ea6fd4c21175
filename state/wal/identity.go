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
	identityName    = "identity"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
)

// identity is the content of the identity file.
type identity struct {
	Version uint32            `msgpack:"v"`
	Router  protocol.RouterID `msgpack:"r"`
	Disk    consensus.DiskID  `msgpack:"d"`
}

// newDiskID returns a random disk ID other than zero.
func newDiskID(random *rand.Rand) consensus.DiskID {
	for {
		if id := consensus.DiskID(random.Uint64()); id != 0 {
			return id
		}
	}
}

// readIdentity reads the identity file. It returns false if there is none.
func readIdentity(d disk.Disk) (identity, bool, error) {
	data, err := d.ReadAll(identityName)
	if errors.Is(err, fs.ErrNotExist) {
		return identity{}, false, nil
	}
	if err != nil {
		return identity{}, false, err
	}
	frame, ok := parseFrame(data)
	if !ok || !hasValidChecksum(frame) {
		return identity{}, false, CorruptionError{File: identityName, Reason: "wrong checksum or length of the frame"}
	}
	var id identity
	if err := msgpack.Unmarshal(frame[frameHeaderSize:], &id); err != nil {
		return identity{}, false, CorruptionError{File: identityName, Reason: "the identity cannot be decoded: " + err.Error()}
	}
	if id.Version != formatVersion {
		return identity{}, false, VersionError{File: identityName, Version: id.Version}
	}
	return id, true, nil
}

// writeIdentity writes the identity file durably.
func writeIdentity(d disk.Disk, id identity) error {
	payload, err := msgpack.Marshal(id)
	if err != nil {
		return eris.Wrap(err, "wal: encode identity")
	}
	return replaceFile(d, identityName, encodeFrame(0, payload))
}

// replaceFile replaces a file atomically and durably: after a crash the complete
// old content or the complete new content is there.
func replaceFile(d disk.Disk, name string, content []byte) error {
	f, err := d.Create(name + temporarySuffix)
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
	if err := d.Rename(name+temporarySuffix, name); err != nil {
		return err
	}
	return d.SyncDir()
}

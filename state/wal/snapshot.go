package wal

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"endiveplank/coordination/consensus"
	"endiveplank/state/disk"
)

// snapshotName returns the file name of a snapshot. Names sort by index.
func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x", snapshotPrefix, index)
}

// writeSnapshot writes a snapshot durably. The file is a segment header, whose
// number is the snapshot's index, and one frame.
func writeSnapshot(d disk.Disk, id consensus.DiskID, s consensus.Snapshot) error {
	payload, err := msgpack.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "wal: encode snapshot")
	}
	content := segmentHeader{version: formatVersion, disk: id, number: s.Index}.encode()
	content = append(content, encodeFrame(0, payload)...)
	return replaceFile(d, snapshotName(s.Index), content)
}

// readSnapshot reads one snapshot file.
func readSnapshot(d disk.Disk, name string) (consensus.Snapshot, error) {
	data, err := d.ReadAll(name)
	if err != nil {
		return consensus.Snapshot{}, err
	}
	header, ok := decodeHeader(data)
	if !ok {
		return consensus.Snapshot{}, CorruptionError{File: name, Reason: "damaged header"}
	}
	if header.version != formatVersion {
		return consensus.Snapshot{}, VersionError{File: name, Version: header.version}
	}
	frame, ok := parseFrame(data[headerSize:])
	if !ok || !hasValidChecksum(frame) {
		return consensus.Snapshot{}, CorruptionError{File: name, Offset: headerSize, Reason: "wrong checksum or length of the frame"}
	}
	var s consensus.Snapshot
	if err := msgpack.Unmarshal(frame[frameHeaderSize:], &s); err != nil {
		return s, CorruptionError{File: name, Offset: headerSize, Reason: "the snapshot cannot be decoded: " + err.Error()}
	}
	return s, nil
}

// newestSnapshot returns the newest snapshot in the folder, or one with Index 0
// if there is none. A damaged snapshot is an error: an older snapshot cannot
// replace it, because the segments between the two have been removed.
func newestSnapshot(d disk.Disk, names []string) (consensus.Snapshot, error) {
	newest := ""
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) {
			newest = max(newest, name)
		}
	}
	if newest == "" {
		return consensus.Snapshot{}, nil
	}
	return readSnapshot(d, newest)
}

// Package cachefile stores a few kilobytes that are useful but not required after
// a restart, in one file that Write replaces atomically. The content may be lost
// or outdated, and callers of Read must work without it.
//
// Failure guarded against: power is lost while the file is written or renamed, and
// a torn file is read after the restart. The content has a checksum, and a file
// with a wrong checksum counts as missing. The file also holds the time of day at
// which it was written, so that Read can ignore an outdated file.
package cachefile

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/state/disk"
)

// File names. A crash may leave the temporary file behind. The next Write
// overwrites it.
const (
	fileName      = "cache"
	temporaryName = "cache.tmp"
)

// headerSize is the length of the checksum and of the time of writing, in bytes.
const headerSize = 8 + 8

// Write replaces the file atomically and durably. Errors: those of the disk.
func Write(d disk.Disk, now time.Time, content []byte) error {
	f, err := d.Create(temporaryName)
	if err != nil {
		return err
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(now.UnixMilli()))
	body = append(body, content...)
	err = f.Append(append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...))
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := d.Rename(temporaryName, fileName); err != nil {
		return err
	}
	return d.SyncDir()
}

// Read returns the content if there is an undamaged file that was written at most
// maxAge before or after now. A clock step forward makes the file look older, a
// clock step back makes it look newer. Callers must tolerate both.
func Read(d disk.Disk, now time.Time, maxAge time.Duration) ([]byte, bool) {
	data, err := d.ReadAll(fileName)
	if err != nil || len(data) < headerSize {
		return nil, false
	}
	body := data[8:]
	if binary.BigEndian.Uint64(data) != xxhash.Sum64(body) {
		return nil, false
	}
	written := time.UnixMilli(int64(binary.BigEndian.Uint64(body)))
	if now.Sub(written).Abs() > maxAge {
		return nil, false
	}
	return body[8:], true
}

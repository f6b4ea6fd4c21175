// Package cachefile keeps what is nice to have after a restart: a few kilobytes
// in one file that is replaced whole. What it holds may be lost or old, and
// whoever reads it has to do without it.
//
// Failure guarded: power is lost while the file is written or renamed, and a
// torn one is read. The content is checksummed, and anything else counts as no
// file. It also says when it was written, by the time of day, so that a reader
// can leave an old one alone.
package cachefile

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/state/disk"
)

// File names. The temporary one is left over by a crash and written over.
const (
	name      = "cache"
	temporary = "cache.tmp"
)

// headerBytes are the checksum and the time of writing.
const headerBytes = 8 + 8

// Write replaces the file and makes it last. Errors: those of the disk.
func Write(d disk.Disk, now time.Time, content []byte) error {
	f, err := d.Create(temporary)
	if err != nil {
		return err
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(now.UnixMilli()))
	body = append(body, content...)
	err = f.Append(append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...))
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return err
	}
	if err := d.Rename(temporary, name); err != nil {
		return err
	}
	return d.SyncDir()
}

// Read returns the content, if there is a whole file that was written within age
// of now. A clock that was stepped forward makes it older, one that was stepped
// back younger; neither may matter to the caller.
func Read(d disk.Disk, now time.Time, age time.Duration) ([]byte, bool) {
	data, err := d.ReadAll(name)
	if err != nil || len(data) < headerBytes {
		return nil, false
	}
	body := data[8:]
	if binary.BigEndian.Uint64(data) != xxhash.Sum64(body) {
		return nil, false
	}
	written := time.UnixMilli(int64(binary.BigEndian.Uint64(body)))
	if now.Sub(written).Abs() > age {
		return nil, false
	}
	return body[8:], true
}

package wal

import "fmt"

// CorruptionError means that synced data in the folder is damaged, so the log
// wasn't opened. A disk VM (package diskvm) then removes all files in the folder
// and rejoins with a new disk ID, as a learner that receives the state from the
// other members. A process of package daemon doesn't start with such a folder.
// Once the folder is wiped, its router rejoins in the same way.
type CorruptionError struct {
	// File and Offset are the location of the damage. Offset is in bytes.
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e CorruptionError) Error() string {
	return fmt.Sprintf("wal: %s is damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}

// ForeignDiskError means that the folder belongs to another router.
type ForeignDiskError struct {
	Own, Found string
}

// Error implements error.
func (e ForeignDiskError) Error() string {
	return fmt.Sprintf("wal: the data folder belongs to router %q, but this is router %q", e.Found, e.Own)
}

// VersionError means that a file has a format version that this program doesn't
// support.
type VersionError struct {
	File    string
	Version uint32
}

// Error implements error.
func (e VersionError) Error() string {
	return fmt.Sprintf("wal: %s has format version %d, this program supports version %d", e.File, e.Version, formatVersion)
}

// ErrFailed means that a write or sync failed. The Log refuses all further writes.
type ErrFailed struct {
	Cause error
}

// Error implements error.
func (e ErrFailed) Error() string {
	return "wal: a write or sync failed, the log accepts no more writes: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrFailed) Unwrap() error {
	return e.Cause
}

package wal

import "fmt"

// CorruptionError refuses a folder whose synced data is damaged. Restore the
// disk from another one, or wipe the folder: the router then comes back as a
// learner and is repaired by the others.
type CorruptionError struct {
	// File and Offset name the place; the offset is in bytes.
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e CorruptionError) Error() string {
	return fmt.Sprintf("wal: %s is damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}

// ForeignDiskError refuses a folder that another router wrote.
type ForeignDiskError struct {
	Own, Found string
}

// Error implements error.
func (e ForeignDiskError) Error() string {
	return fmt.Sprintf("wal: the data folder belongs to router %s, this is %s", e.Found, e.Own)
}

// VersionError refuses a file of a format that this program does not know.
type VersionError struct {
	File    string
	Version uint32
}

// Error implements error.
func (e VersionError) Error() string {
	return fmt.Sprintf("wal: %s has format version %d, this program knows %d", e.File, e.Version, formatVersion)
}

// ErrFailed means that a write or sync failed. The Log takes no more.
type ErrFailed struct {
	Cause error
}

// Error implements error.
func (e ErrFailed) Error() string {
	return "wal: the disk failed and the log is closed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrFailed) Unwrap() error {
	return e.Cause
}

// Package disk is the file interface through which all surviving state is
// written: a flat data folder. The real implementation is OS; package fakedisk
// loses, tears and damages what was not synced.
//
// A write lasts only after File.Sync, and a created, renamed or removed name
// only after Disk.SyncDir.
package disk

// Disk is one data folder. Names have no directory part. Errors for a missing
// file match fs.ErrNotExist.
type Disk interface {
	// Create makes an empty file, replacing one of that name.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	// ReadAll returns the content of a file.
	ReadAll(name string) ([]byte, error)
	// Truncate cuts a file to a size in bytes.
	Truncate(name string, size int64) error
	// Rename gives a file another name, replacing a file of that name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of all files in ascending order.
	List() ([]string, error)
	// SyncDir makes the names last.
	SyncDir() error
}

// File is a file open for appending.
type File interface {
	// Append writes all of data at the end, or fails.
	Append(data []byte) error
	// Sync makes everything appended last.
	Sync() error
	// Close closes the file without syncing it.
	Close() error
}

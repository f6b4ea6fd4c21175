// Package disk is the file interface through which all durable state is written.
// A Disk is a data folder without subfolders, a File is a file open for
// appending. OS implements Disk on a real file system. Package fakedisk
// implements it in memory and loses, tears and damages unsynced data.
//
// A write is durable only after File.Sync. A created, renamed or removed name is
// durable only after Disk.SyncDir.
//
// Failures guarded against: OS locks the folder, so that two processes can't
// write to it at once, and syncs the parent folder, so that a power loss can't
// drop a new folder.
package disk

// Disk is one data folder. Names have no directory part. Errors for a missing
// file match fs.ErrNotExist.
type Disk interface {
	// Create creates an empty file and replaces an existing file of that name.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	// ReadAll returns the content of a file.
	ReadAll(name string) ([]byte, error)
	// Truncate shortens a file to a size in bytes.
	Truncate(name string, size int64) error
	// Rename renames a file and replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of all files in ascending order.
	List() ([]string, error)
	// SyncDir makes all created, renamed and removed names durable.
	SyncDir() error
}

// File is a file open for appending.
type File interface {
	// Append writes all of data at the end of the file. If it fails, a part of data
	// may have been written.
	Append(data []byte) error
	// Sync makes everything appended durable.
	Sync() error
	// Close closes the file without syncing it.
	Close() error
}

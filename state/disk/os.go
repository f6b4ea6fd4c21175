package disk

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// Permissions of the data folder and its files. Other users must not read
// customers' rows.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// lockName is the name of the lock file, which keeps a second process from using
// the folder.
const lockName = "lock"

// ErrLocked means that another process uses the data folder.
var ErrLocked = eris.New("disk: another process uses the data folder")

// OS is a data folder on a real file system.
type OS struct {
	folder string
	lock   *os.File
}

// Open creates the folder durably if it doesn't exist, and locks it.
//
// Failure: two daemons are started by mistake and write the same log, so that
// their frames interleave. The kernel releases the lock when the process ends, so
// a killed process leaves no lock behind.
func Open(folder string) (*OS, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, eris.Wrapf(err, "disk: create data folder %q", folder)
	}
	// Without this sync a power loss could drop a new folder with everything that
	// was synced in it.
	if err := syncFolder(filepath.Dir(folder)); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, eris.Wrap(err, "disk: open lock file")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, eris.Wrapf(ErrLocked, "folder %q", folder)
	}
	return &OS{folder: folder, lock: lock}, nil
}

// Close unlocks the folder.
func (d *OS) Close() error {
	return eris.Wrap(d.lock.Close(), "disk: close lock file")
}

func (d *OS) path(name string) string {
	return filepath.Join(d.folder, name)
}

// Create implements Disk.
func (d *OS) Create(name string) (File, error) {
	return d.open(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND)
}

// OpenAppend implements Disk.
func (d *OS) OpenAppend(name string) (File, error) {
	return d.open(name, os.O_WRONLY|os.O_APPEND)
}

func (d *OS) open(name string, flags int) (File, error) {
	f, err := os.OpenFile(d.path(name), flags, fileMode)
	if err != nil {
		return nil, eris.Wrapf(err, "disk: open %q", name)
	}
	return osFile{f}, nil
}

// ReadAll implements Disk.
func (d *OS) ReadAll(name string) ([]byte, error) {
	data, err := os.ReadFile(d.path(name))
	return data, eris.Wrapf(err, "disk: read %q", name)
}

// Truncate implements Disk.
func (d *OS) Truncate(name string, size int64) error {
	return eris.Wrapf(os.Truncate(d.path(name), size), "disk: truncate %q", name)
}

// Rename implements Disk.
func (d *OS) Rename(from, to string) error {
	return eris.Wrapf(os.Rename(d.path(from), d.path(to)), "disk: rename %q", from)
}

// Remove implements Disk.
func (d *OS) Remove(name string) error {
	return eris.Wrapf(os.Remove(d.path(name)), "disk: remove %q", name)
}

// List implements Disk.
func (d *OS) List() ([]string, error) {
	found, err := os.ReadDir(d.folder)
	if err != nil {
		return nil, eris.Wrap(err, "disk: list data folder")
	}
	names := make([]string, 0, len(found))
	for _, f := range found {
		if f.Type().IsRegular() && f.Name() != lockName {
			names = append(names, f.Name())
		}
	}
	return names, nil
}

// SyncDir implements Disk.
func (d *OS) SyncDir() error {
	return syncFolder(d.folder)
}

// syncFolder makes the names in a folder durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return eris.Wrapf(err, "disk: open folder %q", path)
	}
	defer func() { _ = folder.Close() }()
	return eris.Wrapf(folder.Sync(), "disk: sync folder %q", path)
}

// osFile is a File on a real file system.
type osFile struct {
	f *os.File
}

// Append implements File.
func (f osFile) Append(data []byte) error {
	_, err := f.f.Write(data)
	return eris.Wrap(err, "disk: write")
}

// Sync implements File.
func (f osFile) Sync() error {
	return eris.Wrap(f.f.Sync(), "disk: sync")
}

// Close implements File.
func (f osFile) Close() error {
	return eris.Wrap(f.f.Close(), "disk: close")
}

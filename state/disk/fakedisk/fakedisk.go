// Package fakedisk implements a disk in memory for tests. Its type Disk simulates
// the failures of a real disk:
//
//   - Crash loses unsynced data and may leave a torn write at the end of a file.
//   - CrashReordered keeps or loses each unsynced write and name independently.
//   - Restart kills the process but loses no data.
//   - CutPowerAfter cuts the power after a number of calls.
//   - FlipBit damages a file, FailSyncs makes syncs fail, SetCapacity fills the
//     disk, and Stall blocks writes and syncs.
//
// All randomness comes from the caller's source.
package fakedisk

import (
	"io/fs"
	"maps"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"endiveplank/state/disk"
)

// Errors of the fake disk.
var (
	// ErrSync is returned by a sync while FailSyncs is on.
	ErrSync = eris.New("fakedisk: sync failed")
	// ErrFull is returned by an append to a full disk.
	ErrFull = eris.New("fakedisk: no space left")
	// ErrCrashed is returned by calls on a disk without power, and by files that
	// were opened before a crash.
	ErrCrashed = eris.New("fakedisk: the disk lost power")
)

// inode is a file.
type inode struct {
	// data is the content as written, synced the content at the last Sync.
	data, synced []byte
	// pending holds the changes of the content since the last Sync.
	pending []write
}

// Disk is a disk.Disk in memory. It is safe for concurrent use.
type Disk struct {
	mu          sync.Mutex
	names       map[string]*inode
	syncedNames map[string]*inode
	// pending holds the changes of names since the last SyncDir.
	pending []nameChange
	// generation is incremented by each crash or restart. Files of an earlier
	// generation return ErrCrashed.
	generation int
	// callsLeft is the number of calls that still have power, if powerCutArmed is
	// set.
	callsLeft     int
	powerCutArmed bool
	failSyncs     bool
	// capacity bounds the bytes of all files, 0 means no bound.
	capacity int
	// syncs counts the syncs of files.
	syncs int
	// resumed is closed when a stalled disk resumes. It is nil unless the disk is
	// stalled.
	resumed chan struct{}
}

// New returns an empty disk of unlimited capacity.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, syncedNames: map[string]*inode{}}
}

// Stall blocks all appends to files and all syncs of files until Resume.
func (d *Disk) Stall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resumed == nil {
		d.resumed = make(chan struct{})
	}
}

// Resume ends a Stall.
func (d *Disk) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resumed != nil {
		close(d.resumed)
		d.resumed = nil
	}
}

// Stalled reports whether the disk is stalled.
func (d *Disk) Stalled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resumed != nil
}

// waitWhileStalled blocks until the disk is not stalled.
func (d *Disk) waitWhileStalled() {
	d.mu.Lock()
	resumed := d.resumed
	d.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// FailSyncs makes every later sync fail if fail is set, and succeed otherwise.
func (d *Disk) FailSyncs(fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSyncs = fail
}

// SetCapacity bounds the total size of all files in bytes. 0 means no bound.
func (d *Disk) SetCapacity(capacity int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = capacity
}

// Syncs returns the number of syncs of files so far.
func (d *Disk) Syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// FlipBit flips one bit of a file, in the written and in the synced content.
func (d *Disk) FlipBit(name string, bit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[name]
	node.data = slices.Clone(node.data)
	node.data[bit/8] ^= 1 << (bit % 8)
	node.synced = slices.Clone(node.data)
}

// Create implements disk.Disk.
func (d *Disk) Create(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.consumePoweredCall() {
		return nil, ErrCrashed
	}
	node := &inode{}
	d.setName(name, node)
	return &file{disk: d, node: node, generation: d.generation}, nil
}

// OpenAppend implements disk.Disk.
func (d *Disk) OpenAppend(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node, err := d.find(name)
	if err != nil {
		return nil, err
	}
	return &file{disk: d, node: node, generation: d.generation}, nil
}

func (d *Disk) find(name string) (*inode, error) {
	node := d.names[name]
	if node == nil {
		return nil, eris.Wrapf(fs.ErrNotExist, "fakedisk: %s", name)
	}
	return node, nil
}

// ReadAll implements disk.Disk.
func (d *Disk) ReadAll(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node, err := d.find(name)
	if err != nil {
		return nil, err
	}
	return slices.Clone(node.data), nil
}

// Truncate implements disk.Disk.
func (d *Disk) Truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	node, err := d.find(name)
	if err != nil {
		return err
	}
	if !d.consumePoweredCall() {
		return ErrCrashed
	}
	node.data = slices.Clone(node.data[:size])
	node.pending = append(node.pending, write{at: int(size), truncates: true})
	return nil
}

// Rename implements disk.Disk.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	node, err := d.find(from)
	if err != nil {
		return err
	}
	if !d.consumePoweredCall() {
		return ErrCrashed
	}
	d.rename(from, to, node)
	return nil
}

// Remove implements disk.Disk.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.find(name); err != nil {
		return err
	}
	if !d.consumePoweredCall() {
		return ErrCrashed
	}
	d.setName(name, nil)
	return nil
}

// List implements disk.Disk.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.names)), nil
}

// SyncDir implements disk.Disk.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.consumePoweredCall() {
		return ErrCrashed
	}
	if d.failSyncs {
		return eris.Wrap(ErrSync, "folder")
	}
	d.syncedNames = maps.Clone(d.names)
	d.pending = nil
	return nil
}

// used returns the total size of all files in bytes.
func (d *Disk) used() int {
	sum := 0
	for _, node := range d.names {
		sum += len(node.data)
	}
	return sum
}

// file is an open file of a Disk.
type file struct {
	disk       *Disk
	node       *inode
	generation int
}

// Append implements disk.File. If the disk gets full, a part of data is written.
func (f *file) Append(data []byte) error {
	f.disk.waitWhileStalled()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.generation != f.disk.generation || !f.disk.consumePoweredCall() {
		return ErrCrashed
	}
	if f.disk.capacity > 0 {
		free := max(0, f.disk.capacity-f.disk.used())
		if free < len(data) {
			f.node.append(data[:free])
			return eris.Wrap(ErrFull, "append")
		}
	}
	f.node.append(data)
	return nil
}

// Sync implements disk.File.
func (f *file) Sync() error {
	f.disk.waitWhileStalled()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.generation != f.disk.generation || !f.disk.consumePoweredCall() {
		return ErrCrashed
	}
	if f.disk.failSyncs {
		return eris.Wrap(ErrSync, "file")
	}
	f.disk.syncs++
	f.node.synced = slices.Clone(f.node.data)
	f.node.pending = nil
	return nil
}

// Close implements disk.File.
func (f *file) Close() error {
	return nil
}

// Package fakedisk is a disk in memory for tests. Crash loses what was not
// synced and may leave a torn tail; CrashApart keeps or loses each unsynced write
// and name by itself. A test can also cut the power after some calls, flip bits,
// make syncs fail and fill the disk. All randomness comes from the caller's source.
package fakedisk

import (
	"io/fs"
	"maps"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"endiveplank/state/disk"
)

// Errors of the fake.
var (
	// ErrSync is what a failing sync returns.
	ErrSync = eris.New("fakedisk: sync failed")
	// ErrFull is what an append returns on a full disk.
	ErrFull = eris.New("fakedisk: no space left")
	// ErrCrashed is what a file returns that was opened before a crash.
	ErrCrashed = eris.New("fakedisk: the disk went away")
)

// inode is the content of a file, as written and as synced.
type inode struct {
	data, synced []byte
	// pending are the changes of the content since the last Sync.
	pending []write
}

// Disk is a disk.Disk in memory. It is safe for concurrent use.
type Disk struct {
	mu         sync.Mutex
	names      map[string]*inode
	syncedName map[string]*inode
	// pending are the changes of names since the last SyncDir.
	pending    []nameChange
	generation int
	// callsLeft is how many calls still have power, if it is to be cut.
	callsLeft int
	cutting   bool
	failSyncs bool
	capacity  int
	syncs     int
	// resumed is closed when a disk that answers nothing does so again; nil while it
	// does.
	resumed chan struct{}
}

// New returns an empty disk without limit.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, syncedName: map[string]*inode{}}
}

// Stall makes the disk answer nothing until Resume.
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

// Stalled reports whether the disk answers nothing.
func (d *Disk) Stalled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resumed != nil
}

// await returns once the disk answers.
func (d *Disk) await() {
	d.mu.Lock()
	resumed := d.resumed
	d.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// FailSyncs makes every later sync fail, or succeed again.
func (d *Disk) FailSyncs(fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSyncs = fail
}

// SetCapacity bounds the bytes of all files; 0 means no bound.
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

// FlipBit flips one bit of a file, as written and as synced.
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
	if !d.powered() {
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
	if !d.powered() {
		return ErrCrashed
	}
	node.data = slices.Clone(node.data[:size])
	node.pending = append(node.pending, write{at: int(size), cut: true})
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
	if !d.powered() {
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
	if !d.powered() {
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
	if !d.powered() {
		return ErrCrashed
	}
	if d.failSyncs {
		return eris.Wrap(ErrSync, "folder")
	}
	d.syncedName = maps.Clone(d.names)
	d.pending = nil
	return nil
}

// used returns the bytes of all files.
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

// Append implements disk.File. A full disk takes a part.
func (f *file) Append(data []byte) error {
	f.disk.await()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.generation != f.disk.generation || !f.disk.powered() {
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
	f.disk.await()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.generation != f.disk.generation || !f.disk.powered() {
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

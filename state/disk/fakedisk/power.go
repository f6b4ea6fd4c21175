package fakedisk

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
)

// write is an unsynced change of a file's content: data at an offset.
type write struct {
	at   int
	data []byte
	// truncates is set if the change truncates the file. at is then the new size.
	truncates bool
}

// nameChange is an unsynced change of a name: node is the file that the name
// refers to from then on, nil if the name is removed. If a file was renamed, from
// is its former name.
type nameChange struct {
	name, from string
	node       *inode
}

// append writes data at the end of the file.
func (n *inode) append(data []byte) {
	n.pending = append(n.pending, write{at: len(n.data), data: slices.Clone(data)})
	n.data = append(n.data, data...)
}

// setSynced replaces the file's content, as if it was written and synced.
func (n *inode) setSynced(data []byte) {
	n.data = data
	n.synced = slices.Clone(data)
	n.pending = nil
}

// setName makes a name refer to a file, or removes the name if node is nil.
func (d *Disk) setName(name string, node *inode) {
	change := nameChange{name: name, node: node}
	d.pending = append(d.pending, change)
	change.apply(d.names)
}

// rename renames a file.
func (d *Disk) rename(from, to string, node *inode) {
	change := nameChange{name: to, from: from, node: node}
	d.pending = append(d.pending, change)
	change.apply(d.names)
}

// apply carries out the change in names.
func (c nameChange) apply(names map[string]*inode) {
	if c.from != "" {
		delete(names, c.from)
	}
	if c.node == nil {
		delete(names, c.name)
		return
	}
	names[c.name] = c.node
}

// CutPowerAfter cuts the power after the given number of further calls that change
// something. All later ones fail until Crash, CrashReordered or Restart.
func (d *Disk) CutPowerAfter(calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerCutArmed = true
	d.callsLeft = calls
}

// consumePoweredCall reports whether a call that changes something still has
// power, and counts the call.
func (d *Disk) consumePoweredCall() bool {
	if !d.powerCutArmed {
		return true
	}
	d.callsLeft--
	return d.callsLeft >= 0
}

// restorePower starts the disk again. Files that were opened before return
// ErrCrashed from then on.
func (d *Disk) restorePower() {
	d.generation++
	d.powerCutArmed = false
}

// Crash simulates a power loss. Names return to their state at the last SyncDir.
// Contents return to their state at the last Sync, plus a random prefix of what
// was appended since, whose last byte may be damaged. Files that were opened
// before return ErrCrashed from then on.
func (d *Disk) Crash(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restorePower()
	d.names = maps.Clone(d.syncedNames)
	d.pending = nil
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		d.names[name].crash(random)
	}
}

// CrashReordered simulates a power loss on a file system that writes back in any
// order. Each change of a name since the last SyncDir and each change of a file's
// content since its last Sync is kept or lost independently of the others, and a
// kept write may be torn. Some power losses lose all unsynced changes, others keep
// all of them. Files that were opened before return ErrCrashed from then on.
func (d *Disk) CrashReordered(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restorePower()
	keepProbability := keepProbabilities[random.IntN(len(keepProbabilities))]
	inodes := distinctInodes(d.names, d.syncedNames)
	d.names = maps.Clone(d.syncedNames)
	for _, change := range d.pending {
		if random.Float64() < keepProbability {
			change.apply(d.names)
		}
	}
	d.pending = nil
	d.syncedNames = maps.Clone(d.names)
	for _, node := range inodes {
		node.crashReordered(random, keepProbability)
	}
}

// keepProbabilities are the probabilities with which a power loss keeps an
// unsynced change. Each power loss draws one of them.
var keepProbabilities = []float64{0, 0.2, 0.5, 0.8, 1}

// distinctInodes returns all files that the names refer to, each once, in an order
// that is the same in every run.
func distinctInodes(names ...map[string]*inode) []*inode {
	var all []*inode
	for _, some := range names {
		for _, name := range slices.Sorted(maps.Keys(some)) {
			if !slices.Contains(all, some[name]) {
				all = append(all, some[name])
			}
		}
	}
	return all
}

// crashReordered keeps, loses or tears each unsynced change. A lost write before a
// kept one reads as zeros. Sometimes the file keeps its full length, and its lost
// end reads as zeros, too.
func (n *inode) crashReordered(random *rand.Rand, keepProbability float64) {
	content := slices.Clone(n.synced)
	for _, w := range n.pending {
		if random.Float64() >= keepProbability {
			continue
		}
		if w.truncates {
			content = content[:min(len(content), w.at)]
			continue
		}
		data := w.data
		if random.IntN(4) == 0 {
			data = data[:random.IntN(len(data)+1)]
		}
		content = writeAt(content, w.at, data)
	}
	if len(content) < len(n.data) && keepProbability > 0 && random.IntN(4) == 0 {
		content = writeAt(content, len(n.data), nil)
	}
	n.setSynced(content)
}

// writeAt writes data at an offset. If the content ends before the offset, zeros
// fill the gap.
func writeAt(content []byte, at int, data []byte) []byte {
	if short := at + len(data) - len(content); short > 0 {
		content = append(content, make([]byte, short)...)
	}
	copy(content[at:], data)
	return content
}

// Restart simulates the end of the process without a power loss: everything that
// was written is kept. Files that were opened before return ErrCrashed from then
// on.
func (d *Disk) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restorePower()
}

// crash keeps the synced content and a random prefix of what was appended since,
// whose last byte may be damaged. If the file was truncated below its synced size,
// crash keeps the synced content alone.
func (n *inode) crash(random *rand.Rand) {
	if !bytes.HasPrefix(n.data, n.synced) {
		n.setSynced(slices.Clone(n.synced))
		return
	}
	unsynced := len(n.data) - len(n.synced)
	kept := len(n.synced) + random.IntN(unsynced+1)
	torn := slices.Clone(n.data[:kept])
	if kept > len(n.synced) && random.IntN(2) == 0 {
		torn[kept-1] ^= byte(1 + random.IntN(255))
	}
	n.setSynced(torn)
}

package fakedisk

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
)

// write is a change of a file's content that isn't synced.
type write struct {
	at   int
	data []byte
	// cut says that the file was cut at that size.
	cut bool
}

// nameChange gives a name another file, none for nil, that isn't synced. from is the
// name that a renamed file had.
type nameChange struct {
	name, from string
	node       *inode
}

// append adds to the end of a file.
func (n *inode) append(data []byte) {
	n.pending = append(n.pending, write{at: len(n.data), data: slices.Clone(data)})
	n.data = append(n.data, data...)
}

// settle makes a content the one that is on the disk.
func (n *inode) settle(data []byte) {
	n.data = data
	n.synced = slices.Clone(data)
	n.pending = nil
}

// setName gives a name a file, none for nil.
func (d *Disk) setName(name string, node *inode) {
	change := nameChange{name: name, node: node}
	d.pending = append(d.pending, change)
	change.apply(d.names)
}

// rename gives a file another name.
func (d *Disk) rename(from, to string, node *inode) {
	change := nameChange{name: to, from: from, node: node}
	d.pending = append(d.pending, change)
	change.apply(d.names)
}

// apply makes the change.
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

// CutPowerAfter lets so many more calls that change something through. All later
// ones fail until Crash, CrashApart or Restart.
func (d *Disk) CutPowerAfter(calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutting = true
	d.callsLeft = calls
}

// powered reports whether a call that changes something still has power, and
// counts it.
func (d *Disk) powered() bool {
	if !d.cutting {
		return true
	}
	d.callsLeft--
	return d.callsLeft >= 0
}

// restorePower starts the disk again. Files opened before are dead.
func (d *Disk) restorePower() {
	d.generation++
	d.cutting = false
}

// Crash loses power: names return to the last SyncDir, contents to the last
// Sync, plus a random part of what was appended since, whose last byte may be
// damaged. Files opened before are dead.
func (d *Disk) Crash(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restorePower()
	d.names = maps.Clone(d.syncedName)
	d.pending = nil
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		d.names[name].crash(random)
	}
}

// CrashApart loses power like a file system that writes back in any order: each
// change of a name since the last SyncDir, and each change of a file's content
// since its last Sync, is kept, lost or, for writes, torn by itself. At some
// losses all of them are gone. Files opened before are dead.
func (d *Disk) CrashApart(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restorePower()
	kept := keptShares[random.IntN(len(keptShares))]
	found := nodes(d.names, d.syncedName)
	d.names = maps.Clone(d.syncedName)
	for _, change := range d.pending {
		if random.Float64() < kept {
			change.apply(d.names)
		}
	}
	d.pending = nil
	d.syncedName = maps.Clone(d.names)
	for _, node := range found {
		node.crashApart(random, kept)
	}
}

// keptShares are the shares of unsynced changes that losses of power keep.
var keptShares = []float64{0, 0.2, 0.5, 0.8, 1}

// nodes returns all files that any of the names lead to, each once, in an order
// that is the same in every run.
func nodes(names ...map[string]*inode) []*inode {
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

// crashApart keeps, loses or tears each unsynced change. What a lost write leaves
// out before a kept one reads as zeros, and so does, at times, the end of the
// file.
func (n *inode) crashApart(random *rand.Rand, kept float64) {
	content := slices.Clone(n.synced)
	for _, w := range n.pending {
		if random.Float64() >= kept {
			continue
		}
		if w.cut {
			content = content[:min(len(content), w.at)]
			continue
		}
		data := w.data
		if random.IntN(4) == 0 {
			data = data[:random.IntN(len(data)+1)]
		}
		content = place(content, w.at, data)
	}
	if len(content) < len(n.data) && kept > 0 && random.IntN(4) == 0 {
		content = place(content, len(n.data), nil)
	}
	n.settle(content)
}

// place writes data at an offset, with zeros before it where the file ends sooner.
func place(content []byte, at int, data []byte) []byte {
	if short := at + len(data) - len(content); short > 0 {
		content = append(content, make([]byte, short)...)
	}
	copy(content[at:], data)
	return content
}

// Restart kills the process but not the disk: everything written stays.
func (d *Disk) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restorePower()
}

// crash keeps the synced part and a torn rest.
func (n *inode) crash(random *rand.Rand) {
	if !bytes.HasPrefix(n.data, n.synced) {
		n.settle(slices.Clone(n.synced))
		return
	}
	unsynced := len(n.data) - len(n.synced)
	kept := len(n.synced) + random.IntN(unsynced+1)
	torn := slices.Clone(n.data[:kept])
	if kept > len(n.synced) && random.IntN(2) == 0 {
		torn[kept-1] ^= byte(1 + random.IntN(255))
	}
	n.settle(torn)
}

package diskvm

import (
	"time"

	"endiveplank/coordination/builds"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// listBuildsInterval is how often all listed upstreams are looked at for their builds, so that
// the builds of those that stay don't expire.
const listBuildsInterval = 10 * time.Second

// rewriteInterval is after what time a write that hasn't succeeded is tried again.
const rewriteInterval = time.Second

// listedBuilds are the builds that this disk VM has listed lately.
type listedBuilds struct {
	set *builds.Set
	// revision is that of the roster up to which its changes are in the set, and listedAt when
	// all upstreams were last looked at.
	revision uint64
	listedAt time.Duration
	// queued is how many builds were last queued to be written, at queuedAt.
	queued   int
	queuedAt time.Duration
}

// noteBuilds takes the builds of changed upstreams, now and then of all, and queues what isn't on
// disk to be written. The lock is held.
func (vm *VM) noteBuilds(now time.Duration) {
	b := &vm.builds
	for _, e := range vm.changedEntries(now) {
		if e.State != roster.Gone {
			b.set.Note(now, builds.Pair{Service: e.Service, Build: e.Build})
		}
	}
	b.set.Expire(now)
	if b.set.AllSaved() || b.set.Size() == b.queued && now-b.queuedAt < rewriteInterval {
		return
	}
	b.queued, b.queuedAt = b.set.Size(), now
	pairs := b.set.Pairs()
	vm.log.Info().Str("event", "builds").Int("builds", len(pairs)).Send()
	vm.saved.builds.queue(codec.Marshal(pairs), func() { vm.buildsWritten(pairs) })
}

// changedEntries returns the entries that have changed since the last call, now and then all. The
// lock is held.
func (vm *VM) changedEntries(now time.Duration) []roster.Entry {
	b := &vm.builds
	entries, complete := vm.roster.ChangedSince(b.revision)
	b.revision = vm.roster.Revision()
	if complete && now-b.listedAt < listBuildsInterval {
		return entries
	}
	b.listedAt = now
	return vm.roster.Entries()
}

// buildsWritten records that builds are on disk, so that this disk VM may tell of them.
func (vm *VM) buildsWritten(pairs []builds.Pair) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.builds.set.MarkSaved(pairs)
}

// restoreBuilds takes the builds that this disk VM had told of before its restart.
func (vm *VM) restoreBuilds(content []byte) {
	var pairs []builds.Pair
	if err := codec.Unmarshal(content, &pairs); err != nil {
		vm.logNotRestored(vm.saved.builds, err)
		return
	}
	vm.builds.set.Restore(vm.now(), pairs)
	vm.log.Info().Str("event", "builds-restored").Int("builds", len(pairs)).Send()
}

// handleBuildsRead answers a router's question. The lock is held.
func (vm *VM) handleBuildsRead(now time.Duration, from protocol.RouterID, read builds.Read) {
	vm.noteBuilds(now)
	vm.fabric.Send(from, vm.builds.set.Reply(now, read))
}

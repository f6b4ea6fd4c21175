package diskvm

import (
	"errors"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/document"
	"endiveplank/coordination/evacuation"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
	"endiveplank/state/cachefile"
	"endiveplank/state/disk"
)

const (
	// saveInterval is how often a changed roster and the cache holders are saved. After a
	// loss of power they are as old as the outage, plus at most this interval.
	saveInterval = 2 * time.Second
	// encodeInterval is how often a roster that hasn't changed is encoded again, because
	// the upstreams in it get less cold. Encoding ten thousand takes long.
	encodeInterval = 6 * time.Second
	// rosterMaxAge is how old a saved roster may be. Requests to upstreams that have gone
	// since then fail and cost some milliseconds each. A roster of a minute ago is worth
	// less than waiting a second for the upstreams' announcements.
	rosterMaxAge = 15 * time.Second
	// tableMaxAge is how old a saved table may be. A site that was without power for some
	// minutes is served at once, and a VM that was put aside for a day offers no table.
	tableMaxAge = 15 * time.Minute
	// minWriteInterval is the least time between two writes of one file. Sixteen tables
	// a second would otherwise delay the log's writes on a slow disk.
	minWriteInterval = 500 * time.Millisecond
	// cacheHoldersMaxAge is how old the saved cache holders may be. Engines that were idle
	// since then still have what was in their caches.
	cacheHoldersMaxAge = 15 * time.Second
	// buildsMaxAge is how old the saved builds may be: no stream lasts that long.
	buildsMaxAge = 15 * time.Minute
	// quarantinesMaxAge is how old the saved quarantines may be. They are refused for as long
	// as they had left when they were saved, so for too long if the VM was down for long.
	quarantinesMaxAge = time.Hour
	// Each file is in a folder of its own, apart from the log.
	rosterFolder       = "roster"
	tableFolder        = "table"
	cacheHoldersFolder = "keepers"
	buildsFolder       = "builds"
	quarantinesFolder  = "quarantines"
	departuresFolder   = "departures"
)

// savedState is what a disk VM knew before its restart. It offers that to routers until it
// has received anything newer.
//
// It guards against this failure: all VMs lose power together. The upstreams announce
// themselves within a second or so, and a table is in force again once a leader is elected.
// Until then every router would refuse its callers, or send all requests to the first
// upstreams that announce themselves. Saved state may be old, but it decides nothing:
// consensus has its own log, and operators read the table only from a leader that a quorum
// has confirmed.
type savedState struct {
	roster, table, cacheHolders, builds, quarantines, departures *savedFile
	// queuedAt is when the roster and the cache holders were last queued for writing.
	queuedAt time.Duration
	// encoded is the roster with encodedDigest, as it was encoded at encodedAt. It has the notices
	// of upstreams that leave up to the revision encodedUnsaved.
	encoded        []byte
	encodedDigest  uint64
	encodedAt      time.Duration
	encodedUnsaved uint64
}

// savedFile is one file and the content to write to it next.
type savedFile struct {
	name   string
	disk   *disk.OS
	maxAge time.Duration
	// interval is the least time between two writes.
	interval time.Duration
	pending  chan savedContent
}

// savedContent is what is to be written to a file. written is called once it is on disk, if it
// isn't nil.
type savedContent struct {
	bytes   []byte
	written func()
}

// openSavedFile opens the folder of one file. It returns the errors of the disk.
func openSavedFile(dataFolder, name string, maxAge time.Duration) (*savedFile, error) {
	folder, err := disk.Open(filepath.Join(dataFolder, name))
	if err != nil {
		return nil, eris.Wrapf(err, "open the folder %s in %q", name, dataFolder)
	}
	return &savedFile{name: name, disk: folder, maxAge: maxAge, interval: minWriteInterval, pending: make(chan savedContent, 1)}, nil
}

// queue passes content to the writer, which calls written, unless it is nil, once the content is on
// disk. It replaces content that the writer hasn't begun to write.
func (f *savedFile) queue(content []byte, written func()) {
	select {
	case <-f.pending:
	default:
	}
	f.pending <- savedContent{bytes: content, written: written}
}

// openSavedState opens the files. It returns the errors of the disk.
func openSavedState(dataFolder string) (*savedState, error) {
	s := &savedState{}
	var err error
	if s.roster, err = openSavedFile(dataFolder, rosterFolder, rosterMaxAge); err != nil {
		return nil, err
	}
	if s.table, err = openSavedFile(dataFolder, tableFolder, tableMaxAge); err != nil {
		return nil, errors.Join(err, s.close())
	}
	if s.cacheHolders, err = openSavedFile(dataFolder, cacheHoldersFolder, cacheHoldersMaxAge); err != nil {
		return nil, errors.Join(err, s.close())
	}
	if s.builds, err = openSavedFile(dataFolder, buildsFolder, buildsMaxAge); err != nil {
		return nil, errors.Join(err, s.close())
	}
	if s.quarantines, err = openSavedFile(dataFolder, quarantinesFolder, quarantinesMaxAge); err != nil {
		return nil, errors.Join(err, s.close())
	}
	if s.departures, err = openSavedFile(dataFolder, departuresFolder, rosterMaxAge); err != nil {
		return nil, errors.Join(err, s.close())
	}
	s.departures.interval = departureWriteInterval
	return s, nil
}

// all returns the files that are open.
func (s *savedState) all() []*savedFile {
	return slices.DeleteFunc([]*savedFile{s.roster, s.table, s.cacheHolders, s.builds, s.quarantines, s.departures}, func(f *savedFile) bool { return f == nil })
}

// close closes the folders.
func (s *savedState) close() error {
	var all error
	for _, f := range s.all() {
		all = errors.Join(all, f.disk.Close())
	}
	return all
}

// savedTable is the content of the table's file.
type savedTable struct {
	Version uint64 `msgpack:"v"`
	Body    []byte `msgpack:"b"`
	// Evacuations are the orders that were in force with the table.
	Evacuations []evacuation.Record `msgpack:"z,omitempty"`
}

// restore loads what was saved before the start.
func (vm *VM) restore() {
	if content, found := vm.readSaved(vm.saved.roster); found {
		vm.restoreRoster(content)
	}
	if content, found := vm.readSaved(vm.saved.departures); found {
		vm.restoreDepartures(content)
	}
	if content, found := vm.readSaved(vm.saved.table); found {
		vm.restoreTable(content)
	}
	if content, found := vm.readSaved(vm.saved.cacheHolders); found {
		vm.restoreCacheHolders(content)
	}
	if content, found := vm.readSaved(vm.saved.builds); found {
		vm.restoreBuilds(content)
	}
	if content, found := vm.readSaved(vm.saved.quarantines); found {
		vm.restoreQuarantines(content)
	}
}

// readSaved returns a file's content, if there is any that isn't too old.
func (vm *VM) readSaved(f *savedFile) ([]byte, bool) {
	return cachefile.Read(f.disk, time.Now(), f.maxAge)
}

func (vm *VM) restoreRoster(content []byte) {
	var entries []roster.Entry
	if err := codec.Unmarshal(content, &entries); err != nil {
		vm.logNotRestored(vm.saved.roster, err)
		return
	}
	for _, e := range entries {
		vm.roster.Merge(vm.now(), e)
	}
	vm.log.Info().Str("event", "roster-recalled").Int("upstreams", len(entries)).Send()
}

func (vm *VM) restoreTable(content []byte) {
	var table savedTable
	err := codec.Unmarshal(content, &table)
	if err != nil {
		vm.logNotRestored(vm.saved.table, err)
		return
	}
	body, err := document.Decompress(table.Body)
	if err != nil {
		vm.logNotRestored(vm.saved.table, err)
		return
	}
	vm.publisher.Restore(document.New(table.Version, body))
	vm.publisher.RestoreEvacuations(table.Evacuations)
	vm.log.Info().Str("event", "table-recalled").Uint64("version", table.Version).Int("bytes", len(body)).Send()
}

func (vm *VM) restoreCacheHolders(content []byte) {
	var entries []balance.AgedPrefix
	if err := codec.Unmarshal(content, &entries); err != nil {
		vm.logNotRestored(vm.saved.cacheHolders, err)
		return
	}
	vm.publisher.CacheHolders().Restore(vm.now(), entries)
	vm.log.Info().Str("event", "keepers-recalled").Int("prompts", len(entries)).Send()
}

func (vm *VM) logNotRestored(f *savedFile, err error) {
	vm.log.Warn().Str("event", "not-recalled").Str("what", f.name).Err(err).Send()
}

// saveRosterAndCacheHolders queues the roster and the cache holders, which change all the
// time, for writing at every saveInterval.
func (vm *VM) saveRosterAndCacheHolders(now time.Duration) {
	if now-vm.saved.queuedAt < saveInterval {
		return
	}
	vm.saved.queuedAt = now
	content, revision := vm.encodedRoster(now)
	vm.saved.roster.queue(content, func() {
		vm.departuresWritten(func() []protocol.UpstreamID { return vm.departures.unsaved.RosterSaved(revision) })
	})
	vm.saved.cacheHolders.queue(codec.MarshalArrays(vm.publisher.CacheHolders().Entries(now)), nil)
}

// encodedRoster returns the content of the roster's file, and up to which revision it has the notices
// of upstreams that leave.
func (vm *VM) encodedRoster(now time.Duration) (content []byte, unsaved uint64) {
	digest := vm.roster.Digest()
	if digest != vm.saved.encodedDigest || now-vm.saved.encodedAt >= encodeInterval {
		vm.saved.encoded = codec.Marshal(vm.roster.Aged(now, vm.roster.Entries()))
		vm.saved.encodedDigest, vm.saved.encodedAt = digest, now
		vm.saved.encodedUnsaved = vm.departures.unsaved.Revision()
	}
	return vm.saved.encoded, vm.saved.encodedUnsaved
}

// saveTable queues the table in force, nil if there is none, for writing with the
// evacuations.
func (vm *VM) saveTable(d *document.Document) {
	if d == nil {
		return
	}
	saved := savedTable{Version: d.Version, Body: document.Compress(d.Body), Evacuations: vm.publisher.Evacuations()}
	vm.saved.table.queue(codec.Marshal(saved), nil)
}

// writeSaved writes one file whenever content is queued. It runs in its own goroutine, so
// that a slow disk doesn't block the VM.
func (vm *VM) writeSaved(f *savedFile) {
	defer vm.done.Done()
	failed := false
	for {
		select {
		case <-vm.quit:
			return
		case content := <-f.pending:
			err := cachefile.Write(f.disk, time.Now(), content.bytes)
			if err != nil && !failed {
				vm.log.Warn().Str("event", "not-written").Str("what", f.name).Err(err).Send()
			}
			failed = err != nil
			if err == nil && content.written != nil {
				content.written()
			}
		}
		select {
		case <-vm.quit:
			return
		case <-time.After(f.interval):
		}
	}
}

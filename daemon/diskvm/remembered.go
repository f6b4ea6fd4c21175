package diskvm

import (
	"errors"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/protocol/codec"
	"endiveplank/state/cachefile"
	"endiveplank/state/disk"
)

const (
	// rememberInterval is how often the list of upstreams, and which engines keep
	// which prompts, are written: their age after a loss of power is the loss itself
	// and this.
	rememberInterval = 2 * time.Second
	// rosterLife is how old a written list may be. Upstreams that have gone
	// since are tried in vain, which costs their requests some milliseconds;
	// those of a minute ago are better heard of anew, within a second.
	rosterLife = 15 * time.Second
	// tableLife is the same for the table: a site that was without power for some
	// minutes is served at once, and a VM that was put aside for a day tells nothing.
	tableLife = 15 * time.Minute
	// writePause is the least time between two writes of one file. Sixteen tables a
	// second would otherwise cost the log its turns at a slow disk.
	writePause = 500 * time.Millisecond
	// keepersLife is the same for prompts' keepers: engines that were idle meanwhile
	// keep what they had.
	keepersLife = 15 * time.Second
	// The files are in folders of their own, apart from the log's.
	rosterFolder  = "roster"
	tableFolder   = "table"
	keepersFolder = "keepers"
)

// remembered is what a disk VM offers right after its start, before it has heard
// from anybody: what it knew last.
//
// Failure: all VMs lose power together. Upstreams announce themselves each second or
// so, and a table is in force again once a leader is elected, so for that long every
// router would refuse its callers, or send all work to the first upstreams that are
// heard of. The guard holds as nothing is decided by it: consensus has its own log,
// and operators read the table only from a leader that a quorum has confirmed.
type remembered struct {
	roster, table, keepers *memory
	// at is when roster and keepers were last handed to their writers.
	at time.Duration
}

// memory is one file and what is to be written to it next.
type memory struct {
	what    string
	disk    *disk.OS
	life    time.Duration
	pending chan []byte
}

// openMemory opens the folder of one file. Errors: those of the data folder.
func openMemory(dataFolder, name string, life time.Duration) (*memory, error) {
	folder, err := disk.Open(filepath.Join(dataFolder, name))
	if err != nil {
		return nil, eris.Wrapf(err, "open the folder %s", name)
	}
	return &memory{what: name, disk: folder, life: life, pending: make(chan []byte, 1)}, nil
}

// put hands content to the writer, in place of what it hasn't begun to write.
func (m *memory) put(content []byte) {
	select {
	case <-m.pending:
	default:
	}
	m.pending <- content
}

// openRemembered opens the files. Errors: those of the data folder.
func openRemembered(dataFolder string) (*remembered, error) {
	r := &remembered{}
	var err error
	if r.roster, err = openMemory(dataFolder, rosterFolder, rosterLife); err != nil {
		return nil, err
	}
	if r.table, err = openMemory(dataFolder, tableFolder, tableLife); err != nil {
		return nil, errors.Join(err, r.close())
	}
	if r.keepers, err = openMemory(dataFolder, keepersFolder, keepersLife); err != nil {
		return nil, errors.Join(err, r.close())
	}
	return r, nil
}

// all returns the files that are open.
func (r *remembered) all() []*memory {
	return slices.DeleteFunc([]*memory{r.roster, r.table, r.keepers}, func(m *memory) bool { return m == nil })
}

// close releases the folders.
func (r *remembered) close() error {
	var all error
	for _, m := range r.all() {
		all = errors.Join(all, m.disk.Close())
	}
	return all
}

// rememberedTable is the content of the table's file.
type rememberedTable struct {
	Version uint64 `msgpack:"v"`
	Body    []byte `msgpack:"b"`
}

// recall fills the roster with the list of before the start, and offers the table.
func (vm *VM) recall() {
	if content, found := vm.read(vm.remembered.roster); found {
		vm.recallRoster(content)
	}
	if content, found := vm.read(vm.remembered.table); found {
		vm.recallTable(content)
	}
	if content, found := vm.read(vm.remembered.keepers); found {
		vm.recallKeepers(content)
	}
}

// read returns a file's content, if there is any that isn't too old.
func (vm *VM) read(m *memory) ([]byte, bool) {
	return cachefile.Read(m.disk, time.Now(), m.life)
}

func (vm *VM) recallRoster(content []byte) {
	var entries []roster.Entry
	if err := codec.Unmarshal(content, &entries); err != nil {
		vm.logNotRecalled(vm.remembered.roster, err)
		return
	}
	for _, e := range entries {
		vm.roster.Merge(vm.now(), e)
	}
	vm.log.Info().Str("event", "roster-recalled").Int("upstreams", len(entries)).Send()
}

func (vm *VM) recallTable(content []byte) {
	var table rememberedTable
	err := codec.Unmarshal(content, &table)
	if err != nil {
		vm.logNotRecalled(vm.remembered.table, err)
		return
	}
	body, err := document.Decompress(table.Body)
	if err != nil {
		vm.logNotRecalled(vm.remembered.table, err)
		return
	}
	vm.publisher.Restore(document.New(table.Version, body))
	vm.log.Info().Str("event", "table-recalled").Uint64("version", table.Version).Int("bytes", len(body)).Send()
}

func (vm *VM) recallKeepers(content []byte) {
	var entries []balance.AgedPrefix
	if err := codec.Unmarshal(content, &entries); err != nil {
		vm.logNotRecalled(vm.remembered.keepers, err)
		return
	}
	vm.publisher.CacheHolders().Restore(vm.now(), entries)
	vm.log.Info().Str("event", "keepers-recalled").Int("prompts", len(entries)).Send()
}

func (vm *VM) logNotRecalled(m *memory, err error) {
	vm.log.Warn().Str("event", "not-recalled").Str("what", m.what).Err(err).Send()
}

// rememberOften hands what changes all the time to its writers when it is due.
func (vm *VM) rememberOften(now time.Duration) {
	if now-vm.remembered.at < rememberInterval {
		return
	}
	vm.remembered.at = now
	vm.remembered.roster.put(codec.Marshal(vm.roster.Entries()))
	vm.remembered.keepers.put(codec.MarshalArrays(vm.publisher.CacheHolders().Entries(now)))
}

// rememberTable hands the table in force to its writer.
func (vm *VM) rememberTable(d *document.Document) {
	vm.remembered.table.put(codec.Marshal(rememberedTable{Version: d.Version, Body: document.Compress(d.Body)}))
}

// writeRemembered writes one file, apart from the loop, for as long as the disk
// takes.
func (vm *VM) writeRemembered(m *memory) {
	defer vm.done.Done()
	failed := false
	for {
		select {
		case <-vm.quit:
			return
		case content := <-m.pending:
			err := cachefile.Write(m.disk, time.Now(), content)
			if err != nil && !failed {
				vm.log.Warn().Str("event", "not-written").Str("what", m.what).Err(err).Send()
			}
			failed = err != nil
		}
		select {
		case <-vm.quit:
			return
		case <-time.After(writePause):
		}
	}
}

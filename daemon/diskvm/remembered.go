package diskvm

import (
	"path/filepath"
	"time"

	"endiveplank/coordination/roster"
	"endiveplank/protocol/codec"
	"endiveplank/state/cachefile"
	"endiveplank/state/disk"
)

const (
	// rememberInterval is how often the list of upstreams is written: its age
	// after a loss of power is the loss itself and this.
	rememberInterval = 2 * time.Second
	// rememberedLife is how old a written list may be. Upstreams that have gone
	// since are tried in vain, which costs their requests some milliseconds;
	// those of a minute ago are better heard of anew, within a second.
	rememberedLife = 15 * time.Second
	// rosterFolder holds the list, apart from the log's files.
	rosterFolder = "roster"
)

// remembered is the list of upstreams on disk.
//
// Failure: all VMs lose power together. Upstreams announce themselves each
// second or so, so for that long every router would know none or few of them,
// refuse its callers, and send all work to the first ones heard of.
type remembered struct {
	disk *disk.OS
	// written is when the list was last handed to the writer.
	written time.Duration
	lists   chan []roster.Entry
}

// openRemembered opens the folder. Errors: those of the data folder.
func openRemembered(dataFolder string) (*remembered, error) {
	folder, err := disk.Open(filepath.Join(dataFolder, rosterFolder))
	if err != nil {
		return nil, err
	}
	return &remembered{disk: folder, lists: make(chan []roster.Entry, 1)}, nil
}

// recall fills the roster with the list of before the start.
func (vm *VM) recall() {
	content, found := cachefile.Read(vm.remembered.disk, time.Now(), rememberedLife)
	if !found {
		return
	}
	var entries []roster.Entry
	if err := codec.Unmarshal(content, &entries); err != nil {
		vm.log.Warn().Str("event", "roster-not-recalled").Err(err).Send()
		return
	}
	for _, e := range entries {
		vm.roster.Merge(vm.now(), e)
	}
	vm.log.Info().Str("event", "roster-recalled").Int("upstreams", len(entries)).Send()
}

// remember hands the list to the writer when it is time. A writer that is held
// up by its disk gets the next one.
func (vm *VM) remember(now time.Duration) {
	if now-vm.remembered.written < rememberInterval {
		return
	}
	vm.remembered.written = now
	select {
	case vm.remembered.lists <- vm.roster.Entries():
	default:
	}
}

// writeRemembered writes the lists, apart from the loop, for as long as the disk
// takes.
func (vm *VM) writeRemembered() {
	defer vm.done.Done()
	failed := false
	for {
		select {
		case <-vm.quit:
			return
		case entries := <-vm.remembered.lists:
			err := cachefile.Write(vm.remembered.disk, time.Now(), codec.Marshal(entries))
			if err != nil && !failed {
				vm.log.Warn().Str("event", "roster-not-written").Err(err).Send()
			}
			failed = err != nil
		}
	}
}

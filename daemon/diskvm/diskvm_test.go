package diskvm

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/control"
	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/settings/direct"
)

// waitTimeout bounds waits for what must happen. It is far above what a slow machine takes,
// so it decides no verdict on a machine that runs at all.
const waitTimeout = 60 * time.Second

// fleet is a number of disk VMs, each on its own loopback address.
type fleet struct {
	t          *testing.T
	port       int
	folders    map[int]string
	vms        map[int]*VM
	firstStart bool
}

// newFleet starts n disk VMs that have the first three of them as seeds.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, port: freePort(t), folders: map[int]string{}, vms: map[int]*VM{}, firstStart: true}
	for i := 1; i <= n; i++ {
		f.folders[i] = t.TempDir()
		f.start(i)
	}
	f.firstStart = false
	t.Cleanup(func() {
		for i := range f.vms {
			f.stop(i)
		}
	})
	return f
}

// freePort returns a port that is free on 127.0.0.1. It is free on the other loopback
// addresses too, unless another program listens there.
func freePort(t *testing.T) int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

func (f *fleet) settings(i int) direct.Settings {
	s := direct.Defaults()
	s.Role = direct.RoleDiskVM
	s.Name = fmt.Sprint("vm", i)
	s.DataCentre = "dc"
	s.Listen.Peers = fmt.Sprintf("127.0.0.%d:%d", i, f.port)
	s.Listen.Control = fmt.Sprintf("127.0.0.%d:1", i)
	s.Seeds = []string{"127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"}
	s.FirstStart = f.firstStart
	s.DataFolder = f.folders[i]
	return s
}

var errBad = errors.New("invalid")

func (f *fleet) start(i int) *VM {
	f.t.Helper()
	vm, err := New(Options{
		Settings: f.settings(i), Log: zerolog.New(io.Discard), Random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(i))),
		CheckTable: func(_ uint64, body []byte) error {
			if string(body) == "invalid" {
				return errBad
			}
			return nil
		},
	})
	assert.NilError(f.t, err)
	f.vms[i] = vm
	return vm
}

func (f *fleet) stop(i int) {
	f.vms[i].Stop()
	delete(f.vms, i)
}

// wipe stops a VM, deletes its data folder and starts it again.
func (f *fleet) wipe(i int) {
	f.stop(i)
	assert.NilError(f.t, os.RemoveAll(f.folders[i]))
	f.start(i)
}

func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		assert.Assert(f.t, time.Now().Before(deadline), "timed out: %s", what)
		time.Sleep(5 * time.Millisecond)
	}
}

// put sends a table to a VM until it answers.
func (f *fleet) put(i int, version uint64, body string) document.Outcome {
	f.t.Helper()
	var outcome document.Outcome
	f.eventually("the table is accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var err error
		outcome, err = f.vms[i].PutTable(ctx, version, []byte(body))
		return err == nil
	})
	return outcome
}

// putNew puts a table that nobody has put before. A VM that got no answer from the leader asks again,
// and learns that the table is held if the leader had accepted it.
func (f *fleet) putNew(i int, version uint64, body string) {
	f.t.Helper()
	if outcome := f.put(i, version, body); outcome != document.Accepted {
		assert.Equal(f.t, outcome, document.Held)
		assert.Equal(f.t, f.read(i), body)
	}
}

// Guards: a table whose answer was lost is refused, or takes effect twice, when it is sent again.
func TestATableWhoseAnswerWasLostIsHeldWhenItIsSentAgain(t *testing.T) {
	f := newFleet(t, 3)
	f.waitUntilAllVote()
	held := 0
	for version := uint64(1); version <= 300 && held == 0; version++ {
		body := fmt.Sprint("table ", version)
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(version%20)*100*time.Microsecond)
		_, err := f.vms[1+int(version%3)].PutTable(ctx, version, []byte(body))
		cancel()
		outcome := f.put(1, version, body)
		if err == nil {
			assert.Equal(t, outcome, document.Held)
			continue
		}
		assert.Assert(t, outcome == document.Held || outcome == document.Accepted, "%s", outcome)
		assert.Equal(t, f.read(1), body)
		if outcome == document.Held {
			held++
		}
	}
	assert.Assert(t, held > 0, "no answer was lost after the leader had accepted the table")
}

// read reads the table from a VM until it answers.
func (f *fleet) read(i int) string {
	f.t.Helper()
	body := ""
	f.eventually("the table is read", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		found, err := f.vms[i].ReadTable(ctx)
		if found != nil {
			body = string(found.Body)
		}
		return err == nil
	})
	return body
}

func (f *fleet) voters(i int) int {
	member := f.vms[i].member.Load()
	if member == nil {
		return 0
	}
	return len(member.Status().Configuration.Voters)
}

// waitUntilAllVote waits until all VMs vote, with the identities of their present disks, and
// nobody else does.
func (f *fleet) waitUntilAllVote() {
	f.t.Helper()
	f.eventually("all disk VMs vote", func() bool {
		for i, vm := range f.vms {
			member := vm.member.Load()
			if member == nil || f.voters(i) != len(f.vms) {
				return false
			}
			status := member.Status()
			if !status.Configuration.IsVoter(status.Self) {
				return false
			}
		}
		return true
	})
}

func TestFiveVMsFormFromThreeAddressesAndKeepATable(t *testing.T) {
	f := newFleet(t, 5)
	f.putNew(4, 3, "three")
	f.waitUntilAllVote()
	for i := range f.vms {
		assert.Equal(t, f.read(i), "three")
	}
	assert.Equal(t, f.put(5, 3, "three"), document.Held, "an answer was lost and the change sent again, to another VM")
	assert.Equal(t, f.put(1, 3, "other"), document.Conflict)
	assert.Equal(t, f.put(2, 2, "two"), document.Overtaken)
	_, err := f.vms[1].PutTable(context.Background(), 4, []byte("invalid"))
	assert.ErrorIs(t, err, errBad)
	f.putNew(1, 9, "nine")
	assert.Equal(t, f.read(3), "nine")
}

func TestTwoLostDisksAndARestartOfTheRestLoseNothing(t *testing.T) {
	// Guards against the loss of an accepted change: right after it was accepted, two of five
	// disk VMs lose their disks and the other three lose power. At least one of the three has
	// the change, and it must be read back.
	f := newFleet(t, 5)
	f.waitUntilAllVote()
	f.putNew(1, 7, "seven")
	for i := 1; i <= 5; i++ {
		f.stop(i)
	}
	for _, i := range []int{1, 2} {
		assert.NilError(t, os.RemoveAll(f.folders[i]))
	}
	for i := 1; i <= 5; i++ {
		f.start(i)
	}
	assert.Equal(t, f.read(1), "seven")
	f.waitUntilAllVote()
	f.putNew(2, 8, "eight")
}

func TestEveryDiskCanBeLostInTurn(t *testing.T) {
	// Guards against a fleet that doesn't recover from lost disks: every disk is lost once,
	// each after the one before it has been replaced. At the end none of the disks is left
	// that first held the table.
	f := newFleet(t, 3)
	f.waitUntilAllVote()
	f.putNew(1, 7, "seven")
	for i := 1; i <= 3; i++ {
		f.wipe(i)
		f.waitUntilAllVote()
	}
	assert.Equal(t, f.read(2), "seven")
}

func TestAVMAtAnotherAddressTakesTheLostOnesPlace(t *testing.T) {
	f := newFleet(t, 3)
	f.waitUntilAllVote()
	f.putNew(1, 7, "seven")
	f.stop(3)
	f.folders[4] = t.TempDir()
	f.start(4)
	f.eventually("the new VM votes in place of the lost one", func() bool {
		return f.voters(4) == 3 && f.voters(1) == 3
	})
	assert.Equal(t, f.read(4), "seven")
}

func TestReplacedVMsDoNotCountForTheNextLoss(t *testing.T) {
	// Guards against replaced VMs that still count as voters: an operator replaces two of five
	// VMs, each time starting the new one before stopping the old one. Later two disks are lost
	// at once. With seven voters, only three would be left: no leader, and every change refused.
	f := newFleet(t, 5)
	f.waitUntilAllVote()
	for _, pair := range [][2]int{{4, 6}, {5, 7}} {
		f.folders[pair[1]] = t.TempDir()
		f.start(pair[1])
		f.eventually("the new VM votes beside the old one", func() bool { return f.voters(1) >= pair[1] })
	}
	f.stop(4)
	f.stop(5)
	f.eventually("the replaced VMs don't vote any more", func() bool { return f.voters(1) == 5 })
	f.putNew(1, 7, "seven")
	f.wipe(6)
	f.wipe(7)
	f.eventually("the table is read back", func() bool { return f.read(2) == "seven" })
	// "held" is the answer to a put whose first attempt was committed without an answer.
	// No other put has version 8, so either answer means that this one is in force.
	outcome := f.put(3, 8, "eight")
	assert.Assert(t, outcome == document.Accepted || outcome == document.Held, "%s", outcome)
	assert.Equal(t, f.read(1), "eight")
	assert.Equal(t, f.read(7), "eight")
}

func TestWithoutAQuorumTheTableIsNeitherReadNorChanged(t *testing.T) {
	// Guards against stale reads: two of three disk VMs are down. The third can't know whether
	// its table is still the newest, and must not return it as such. A change that it has
	// already applied was accepted, and is still reported as accepted.
	f := newFleet(t, 3)
	f.waitUntilAllVote()
	f.putNew(1, 7, "seven")
	assert.Equal(t, f.read(3), "seven")
	f.stop(1)
	f.stop(2)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := f.vms[3].ReadTable(ctx)
	assert.ErrorIs(t, err, ErrUnavailable)
	_, err = f.vms[3].PutTable(ctx, 8, []byte("eight"))
	assert.ErrorIs(t, err, ErrUnavailable)
	assert.Equal(t, f.put(3, 7, "seven"), document.Held)
}

func TestDamagedDataFolderIsDiscarded(t *testing.T) {
	// Guards against a process that ends at each start because its data folder is damaged in
	// the middle: the fleet would have one copy less until an operator intervened.
	f := newFleet(t, 3)
	f.waitUntilAllVote()
	for version := range uint64(20) {
		f.put(1, version+1, fmt.Sprint("table ", version+1))
	}
	f.stop(2)
	files, err := os.ReadDir(f.folders[2])
	assert.NilError(t, err)
	for _, file := range files {
		path := f.folders[2] + "/" + file.Name()
		data, err := os.ReadFile(path)
		if err != nil || len(data) < 400 {
			continue
		}
		data[len(data)/2] ^= 0xff
		assert.NilError(t, os.WriteFile(path, data, 0o600))
	}
	f.start(2)
	f.waitUntilAllVote()
	assert.Equal(t, f.read(2), "table 20")
}

func TestUpstreamsAnnouncedToOneVMAreKnownToAllAndAfterARestart(t *testing.T) {
	// Guards against upstreams that are unknown after a loss of power: an upstream announces
	// itself to one disk VM. The other VMs must list it, also after all of them have restarted,
	// or routers would refuse callers until it announces itself again.
	f := newFleet(t, 3)
	e := roster.Entry{ID: "u1", Service: "s", Address: "10.0.0.1:80", State: roster.Ready, StartedAt: 5, Sequence: 1}
	f.vms[1].Announce(context.Background(), e)
	known := func(i int) bool {
		f.vms[i].mu.Lock()
		defer f.vms[i].mu.Unlock()
		found, ok := f.vms[i].roster.Entry("u1")
		return ok && found.State == roster.Ready
	}
	for i := 1; i <= 3; i++ {
		f.eventually("all know the upstream", func() bool { return known(i) })
	}
	holders := []balance.CachedPrefix{{Prefix: 1, ID: 5}}
	f.vms[3].Receive("r1", balance.NewCacheHolderList(holders))
	for i := 1; i <= 3; i++ {
		f.eventually("the list is on disk", func() bool {
			_, err := os.Stat(f.folders[i] + "/" + rosterFolder + "/cache")
			return err == nil
		})
	}
	time.Sleep(saveInterval + 200*time.Millisecond)
	for i := 1; i <= 3; i++ {
		f.stop(i)
	}
	for i := 1; i <= 3; i++ {
		f.start(i)
		assert.Assert(t, known(i), "vm%d", i)
	}
	f.vms[3].mu.Lock()
	restored := f.vms[3].publisher.CacheHolders().Newest(f.vms[3].now())
	f.vms[3].mu.Unlock()
	assert.DeepEqual(t, restored, holders)
	f.vms[2].Leave(context.Background(), "u1", 0, 0)
	f.eventually("all know that it has left", func() bool { return !known(1) && !known(2) && !known(3) })
}

func TestATableIsOfferedAfterARestartBeforeThereIsALeader(t *testing.T) {
	// Guards against routers that start without any table: all disk VMs lose power and only one
	// is back, so there is no quorum. It offers the routers the table that was in force before.
	// An operator, who asks for the newest table, must get an error.
	f := newFleet(t, 3)
	f.put(1, 20, "table 20")
	f.waitUntilAllVote()
	f.eventually("the table is on disk", func() bool {
		content, found := f.vms[1].readSaved(f.vms[1].saved.table)
		return found && len(content) > 0
	})
	for i := 1; i <= 3; i++ {
		f.stop(i)
	}
	vm := f.start(1)
	vm.mu.Lock()
	messages := vm.publisher.HandleWatch(vm.now(), "r1", control.Watch{Router: true})
	vm.mu.Unlock()
	status := messages[0].Body.(control.Status)
	assert.Equal(t, status.Version, uint64(20))
	assert.Assert(t, status.Restored)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := vm.ReadTable(ctx)
	assert.Equal(t, err, ErrUnavailable)
}

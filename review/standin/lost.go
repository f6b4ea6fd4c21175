package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

const (
	// catchUpTime is how long a machine counts as lost after its start.
	catchUpTime = 4 * time.Second
	// lostDelay is the time from the stop of the machine that is replaced to the final fault.
	lostDelay = 10 * time.Millisecond
	// lostLosses is how many machines lose their disks: as many as may be lost at once.
	lostLosses = 2
	// lostDown is how long the machines are without power.
	lostDown = 900 * time.Millisecond
	// lostReading is how long the operator asks for the configuration: recovery_s, catch_up_s, and
	// as long again.
	lostReading = 32 * time.Second
)

// playLost plays the rule LOST: what was acknowledged is there after the final fault. A disk VM is
// replaced as planned. When its successor has had its time, it is stopped, and at that moment the
// final fault strikes: two other disks are lost while all other machines that count lose power.
func playLost(p *play) {
	f := startFleet(p)
	startServers(f)
	f.putConfig(7)
	f.awaitReady()
	time.Sleep(2 * contactTime)
	successor := f.newMachine("disk-vm", diskVMCount, 21+diskVMCount)
	f.diskVMs = append(f.diskVMs, successor)
	f.writeSettings(successor, false)
	successor.start()
	time.Sleep(catchUpTime + contactTime)
	replaced := f.leader()
	f.putConfig(9)
	p.note("%s, which leads and is replaced by %s, gets SIGTERM", replaced.name, successor.name)
	replaced.signal(syscall.SIGTERM)
	if p.trouble {
		time.Sleep(lostDelay)
		f.finalFault(replaced, f.losses(replaced))
	}
	version := f.readBack(replaced, time.Now().Add(lostReading))
	if version != 9 {
		f.noteLastLines("no-leader")
		p.broken("version 9 was acknowledged; for %s after all machines were back, no read gave it (last version read: %d)", lostReading, version)
	}
}

// finalFault takes all disk VMs' power and two disks. All come back but the one that is replaced.
func (f *fleet) finalFault(replaced *machine, wiped []*machine) {
	for _, m := range f.diskVMs {
		m.signal(syscall.SIGKILL)
	}
	f.play.note("%s after that all disk VMs lose power", lostDelay)
	for _, m := range f.diskVMs {
		<-m.ended
	}
	for _, m := range wiped {
		f.play.require(os.RemoveAll(filepath.Join(f.play.folder, "data-"+m.name)), "wipe a disk")
		f.play.note("%s has lost its disk", m.name)
	}
	time.Sleep(lostDown)
	for _, m := range f.diskVMs {
		if m != replaced {
			f.writeSettings(m, false)
			m.start()
		}
	}
}

// leader returns the disk VM that was last elected, by the logs.
func (f *fleet) leader() *machine {
	var leader *machine
	newest := -1
	for _, m := range f.diskVMs {
		log, err := os.ReadFile(m.log.Name())
		f.play.require(err, "read a log")
		for line := range bytes.SplitSeq(log, []byte("\n")) {
			var event struct {
				Event string `json:"event"`
				Term  int    `json:"term"`
			}
			if json.Unmarshal(line, &event) == nil && event.Event == "became-leader" && event.Term > newest {
				leader, newest = m, event.Term
			}
		}
	}
	if leader == nil {
		f.play.require(errors.New("none"), "find the leader")
	}
	return leader
}

// noteLastLines writes each disk VM's last log line of an event to the record.
func (f *fleet) noteLastLines(event string) {
	for _, m := range f.diskVMs {
		log, err := os.ReadFile(m.log.Name())
		f.play.require(err, "read a log")
		last := ""
		for line := range bytes.SplitSeq(log, []byte("\n")) {
			if bytes.Contains(line, []byte(`"event":"`+event+`"`)) {
				last = string(line)
			}
		}
		if last != "" {
			f.play.note("log of %s: %s", m.name, last)
		}
	}
}

// losses returns the machines that lose their disks: neither the leader nor the successor.
func (f *fleet) losses(leader *machine) []*machine {
	var others []*machine
	for _, m := range f.diskVMs[:diskVMCount] {
		if m != leader {
			others = append(others, m)
		}
	}
	return others[:lostLosses]
}

// readBack asks all disk VMs but one for the configuration until one gives version 9 or the time is
// up, and returns the last version that was read, 0 for none.
func (f *fleet) readBack(but *machine, until time.Time) int {
	last, asked, statuses := 0, 0, map[string]int{}
	for time.Now().Before(until) {
		for _, m := range f.diskVMs {
			if m == but {
				continue
			}
			version, status, err := readConfig("http://" + m.at(f.ports.control) + "/config")
			asked++
			if err != nil {
				statuses["no answer"]++
				continue
			}
			statuses[strconv.Itoa(status)]++
			if status == http.StatusOK {
				last = version
				f.play.note("operator: %s gives configuration %d", m.name, version)
			}
			if last == 9 {
				return last
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.play.note("operator: %d reads: %v", asked, statuses)
	return last
}

// readConfig reads the configuration at an address.
func readConfig(url string) (version, status int, err error) {
	response, err := client.Get(url)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, response.StatusCode, err
	}
	var found struct {
		Version int `json:"version"`
	}
	if json.Unmarshal(body, &found) != nil {
		return 0, response.StatusCode, errors.New("not a configuration")
	}
	return found.Version, response.StatusCode, nil
}

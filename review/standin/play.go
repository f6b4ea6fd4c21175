package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// play is one play of a case.
type play struct {
	repository string
	// trouble says whether the disruption takes place.
	trouble bool
	folder  string
	began   time.Time
	fleet   *fleet

	mu       sync.Mutex
	record   *os.File
	breaks   int
	failures int
}

// failure is the panic by which a case that can't be played ends.
type failure struct{ text string }

// newPlay opens the record and makes a temporary folder.
func newPlay(repository, record string, trouble bool) (*play, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &play{repository: repository, trouble: trouble, folder: folder, began: time.Now(), record: file}, nil
}

// note writes a line to the record.
func (p *play) note(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, values...))
}

// broken records that the rule was broken.
func (p *play) broken(format string, values ...any) {
	p.note("BROKEN: "+format, values...)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breaks++
}

// fail records that the case couldn't be played.
func (p *play) fail(format string, values ...any) {
	p.note("NOT PLAYED: "+format, values...)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures++
}

// require ends the play if an error shows that it can't go on.
func (p *play) require(err error, what string) {
	if err != nil {
		panic(failure{what + ": " + err.Error()})
	}
}

// recoverFailure turns the panic of require into a failure.
func (p *play) recoverFailure() {
	switch ended := recover().(type) {
	case nil:
	case failure:
		p.fail("%s", ended.text)
	default:
		panic(ended)
	}
}

// end stops all processes, writes the result and returns the exit status.
func (p *play) end() int {
	if p.fleet != nil {
		p.fleet.stop()
	}
	status := statusHeld
	switch {
	case p.failures > 0:
		status = statusNotPlayed
	case p.breaks > 0:
		status = statusBroken
	}
	p.note("trouble %t, %d breaks of the rule, exit status %d", p.trouble, p.breaks, status)
	_ = p.record.Close()
	_ = os.RemoveAll(p.folder)
	return status
}

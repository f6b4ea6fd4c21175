// Package story joins the log lines of several processes into the story of one
// request: what its router decided, by what, and what the processes believed of
// the upstreams concerned around that time.
//
// It reads lines of JSON as the processes write them, also behind other text as a
// log collector may add it. It needs no process to be alive: of a request whose
// router died it tells where it was sent last.
package story

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLine is the longest line read.
	maxLine = 1 << 20
	// around is how long before and after a request beliefs are of interest:
	// outcomes of other requests are forgotten after some seconds.
	around = 5 * time.Second
)

// line is one log line.
type line struct {
	at     time.Time
	node   string
	event  string
	fields map[string]any
}

// Logs are the lines of some processes.
type Logs struct {
	lines []line
	// last is the time of each process's last line.
	last map[string]time.Time
}

// timeForms are the forms of the time in a line: of routers and disk VMs that are
// run directly, and of the other processes.
var timeForms = []string{time.RFC3339Nano, "2006-01-02T15:04:05.000Z07:00", "15:04:05.000"}

// Read takes lines until the end of a log. Lines that aren't JSON are left out.
func (l *Logs) Read(reader io.Reader) error {
	if l.last == nil {
		l.last = map[string]time.Time{}
	}
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		l.take(scanner.Bytes())
	}
	return scanner.Err()
}

// take adds one line.
func (l *Logs) take(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	// Digests have more digits than a float holds.
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return
	}
	at, known := timeOf(fields)
	if !known {
		return
	}
	one := line{at: at, node: word(fields, "node"), event: word(fields, "event"), fields: fields}
	l.lines = append(l.lines, one)
	if last, known := l.last[one.node]; !known || one.at.After(last) {
		l.last[one.node] = one.at
	}
}

// timeOf reads the time of a line.
func timeOf(fields map[string]any) (time.Time, bool) {
	text := word(fields, "time")
	for _, form := range timeForms {
		if at, err := time.Parse(form, text); err == nil {
			return at, true
		}
	}
	return time.Time{}, false
}

// word returns a field's text, "" if there is none.
func word(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	return text
}

// Tell writes the story of a request. It reports false if no line is about it.
func (l *Logs) Tell(w io.Writer, request string) (bool, error) {
	own := l.about(request)
	if len(own) == 0 {
		return false, nil
	}
	upstreams := upstreamsOf(own)
	from, to := own[0].at.Add(-around), own[len(own)-1].at.Add(around)
	var told []line
	for _, one := range l.lines {
		inTime := !one.at.Before(from) && !one.at.After(to)
		if isAbout(one, request) || inTime && l.concerns(one, own[0].node, upstreams) {
			told = append(told, one)
		}
	}
	slices.SortStableFunc(told, func(a, b line) int { return a.at.Compare(b.at) })
	for _, one := range told {
		if _, err := fmt.Fprintln(w, one.text(isAbout(one, request))); err != nil {
			return true, err
		}
	}
	return true, l.conclude(w, own)
}

// about returns the lines of a request, in time.
func (l *Logs) about(request string) []line {
	var own []line
	for _, one := range l.lines {
		if isAbout(one, request) {
			own = append(own, one)
		}
	}
	slices.SortStableFunc(own, func(a, b line) int { return a.at.Compare(b.at) })
	return own
}

func isAbout(one line, request string) bool { return word(one.fields, "request") == request }

// upstreamsOf returns the upstreams that a request was sent to.
func upstreamsOf(own []line) map[string]bool {
	upstreams := map[string]bool{}
	for _, one := range own {
		if name := word(one.fields, "upstream"); name != "" {
			upstreams[name] = true
		}
		attempts, _ := one.fields["attempts"].([]any)
		for _, attempt := range attempts {
			if fields, is := attempt.(map[string]any); is {
				upstreams[word(fields, "upstream")] = true
			}
		}
	}
	return upstreams
}

// requestEvents are the events of single requests.
var requestEvents = []string{"request", "sent"}

// concerns reports whether a belief matters to a request: one about its upstreams,
// on any process, or any of its own router's.
func (l *Logs) concerns(one line, router string, upstreams map[string]bool) bool {
	if slices.Contains(requestEvents, one.event) {
		return false
	}
	return upstreams[word(one.fields, "upstream")] || one.node == router
}

// conclude says how the request ended, also where no line tells it.
func (l *Logs) conclude(w io.Writer, own []line) error {
	end := own[len(own)-1]
	if end.event == "request" {
		return nil
	}
	if again, before, found := l.restart(end); found {
		_, err := fmt.Fprintf(w, "=> no end was logged; %s started again at %s and its last line before is of %s: the request ended with the process\n",
			end.node, again.Format(clock), before.Format(clock))
		return err
	}
	_, err := fmt.Fprintf(w, "=> no end was logged; the last line of %s is of %s: it died, or was cut off from the log\n",
		end.node, l.last[end.node].Format(clock))
	return err
}

// restart returns when a line's process next started, and the time of its last
// line before.
func (l *Logs) restart(since line) (again, before time.Time, found bool) {
	for _, one := range l.lines {
		isStart := one.node == since.node && one.event == "started" && one.at.After(since.at)
		if isStart && (!found || one.at.Before(again)) {
			again, found = one.at, true
		}
	}
	before = since.at
	for _, one := range l.lines {
		if one.node == since.node && one.at.Before(again) && one.at.After(before) {
			before = one.at
		}
	}
	return again, before, found
}

// clock is the form of the time in a story.
const clock = "15:04:05.000"

// text returns the line of a story. Lines of the request itself are marked.
func (one line) text(own bool) string {
	mark := "  "
	if own {
		mark = "* "
	}
	var words []string
	for _, name := range slices.SortedFunc(keysOf(one.fields), cmp.Compare[string]) {
		if !slices.Contains(framing, name) {
			words = append(words, fmt.Sprintf("%s=%s", name, plain(one.fields[name])))
		}
	}
	return fmt.Sprintf("%s%s %-20s %-18s %s", mark, one.at.Format(clock), one.node, one.event, strings.Join(words, " "))
}

// framing are the fields that stand at the beginning of a story's line.
var framing = []string{"time", "node", "event", "level"}

// plain returns a field's value on one line.
func plain(value any) string {
	if text, is := value.(string); is && text != "" && !strings.ContainsAny(text, " =") {
		return text
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}

// keysOf returns the names of fields.
func keysOf(fields map[string]any) func(func(string) bool) {
	return func(yield func(string) bool) {
		for name := range fields {
			if !yield(name) {
				return
			}
		}
	}
}

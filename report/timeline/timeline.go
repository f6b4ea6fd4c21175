// Package timeline joins the log lines of several processes into the timeline of one
// request: what its router decided and why, and which state the processes logged
// for the upstreams involved around that time. Logs reads the lines and writes the
// timeline.
//
// It reads lines of JSON as the processes write them, also after other text that
// a log collector may put in front. No process needs to be alive: for a request
// whose router died, the timeline shows where the request was sent last.
package timeline

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxLineBytes is the length of the longest line that can be read.
	maxLineBytes = 1 << 20
	// contextWindow is how long before and after a request other log lines are
	// part of its timeline. Routers forget the outcomes of other requests after
	// some seconds, so older lines explain nothing.
	contextWindow = 5 * time.Second
)

// logLine is one parsed log line. process is the value of its field "node".
type logLine struct {
	at      time.Time
	process string
	event   string
	fields  map[string]any
}

// Logs holds the log lines of any number of processes.
type Logs struct {
	lines []logLine
	// lastSeen is the time of the last line of each process.
	lastSeen map[string]time.Time
}

// timeFormats are the formats of the time in a line: those of routers and disk
// VMs that run directly, and that of the other processes.
var timeFormats = []string{time.RFC3339Nano, "2006-01-02T15:04:05.000Z07:00", "15:04:05.000"}

// Read reads lines until the end of a log. It skips lines that aren't JSON.
func (l *Logs) Read(reader io.Reader) error {
	if l.lastSeen == nil {
		l.lastSeen = map[string]time.Time{}
	}
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		l.addLine(scanner.Bytes())
	}
	return scanner.Err()
}

// addLine parses one line and adds it.
func (l *Logs) addLine(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	// Digests have more digits than a float64 holds exactly.
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return
	}
	at, known := timeOf(fields)
	if !known {
		return
	}
	entry := logLine{at: at, process: textField(fields, "node"), event: textField(fields, "event"), fields: fields}
	l.lines = append(l.lines, entry)
	if last, known := l.lastSeen[entry.process]; !known || entry.at.After(last) {
		l.lastSeen[entry.process] = entry.at
	}
}

// timeOf returns the time of a line, and false if it has none in a known format.
func timeOf(fields map[string]any) (time.Time, bool) {
	text := textField(fields, "time")
	for _, form := range timeFormats {
		if at, err := time.Parse(form, text); err == nil {
			return at, true
		}
	}
	return time.Time{}, false
}

// textField returns the text of a field, or "" if there is none.
func textField(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	return text
}

// WriteTimeline writes the timeline of the request with this ID. It returns false
// if no line belongs to the request.
func (l *Logs) WriteTimeline(w io.Writer, request string) (bool, error) {
	requestLog := l.requestLines(request)
	if len(requestLog) == 0 {
		return false, nil
	}
	upstreams := upstreamsOf(requestLog)
	from, to := requestLog[0].at.Add(-contextWindow), requestLog[len(requestLog)-1].at.Add(contextWindow)
	selected := l.evacuationsBefore(from, requestLog[0].process)
	for _, entry := range l.lines {
		inTime := !entry.at.Before(from) && !entry.at.After(to)
		if belongsTo(entry, request) || inTime && l.isContext(entry, requestLog[0].process, upstreams) {
			selected = append(selected, entry)
		}
	}
	slices.SortStableFunc(selected, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, entry := range selected {
		if _, err := fmt.Fprintln(w, entry.format(belongsTo(entry, request))); err != nil {
			return true, err
		}
	}
	return true, l.writeMissingEnd(w, requestLog)
}

// evacuationEvents are the events by which a router says which orders to evacuate data
// centres it goes by.
var evacuationEvents = []string{"evacuated", "evacuation-withdrawn"}

// evacuationsBefore returns the last line before a time with which a router said of each
// data centre whether it is evacuated. They say why upstreams were passed over, however
// long ago the order was.
func (l *Logs) evacuationsBefore(before time.Time, router string) []logLine {
	last := map[string]logLine{}
	for _, entry := range l.lines {
		if entry.process != router || !slices.Contains(evacuationEvents, entry.event) || !entry.at.Before(before) {
			continue
		}
		dataCentre := textField(entry.fields, "data_centre")
		if known, found := last[dataCentre]; !found || known.at.Before(entry.at) {
			last[dataCentre] = entry
		}
	}
	return slices.Collect(maps.Values(last))
}

// requestLines returns the lines of a request in time order.
func (l *Logs) requestLines(request string) []logLine {
	var requestLog []logLine
	for _, entry := range l.lines {
		if belongsTo(entry, request) {
			requestLog = append(requestLog, entry)
		}
	}
	slices.SortStableFunc(requestLog, func(a, b logLine) int { return a.at.Compare(b.at) })
	return requestLog
}

// belongsTo reports whether a line carries the ID of a request.
func belongsTo(entry logLine, request string) bool {
	return textField(entry.fields, "request") == request
}

// upstreamsOf returns the upstreams that a request was sent to.
func upstreamsOf(requestLog []logLine) map[string]bool {
	upstreams := map[string]bool{}
	for _, entry := range requestLog {
		if name := textField(entry.fields, "upstream"); name != "" {
			upstreams[name] = true
		}
		attempts, _ := entry.fields["attempts"].([]any)
		for _, attempt := range attempts {
			if fields, is := attempt.(map[string]any); is {
				upstreams[textField(fields, "upstream")] = true
			}
		}
	}
	return upstreams
}

// requestEvents are the events that belong to single requests.
var requestEvents = []string{"request", "sent"}

// isContext reports whether a line that belongs to no single request matters to
// this one: a line of any process about its upstreams, or any line of its router.
func (l *Logs) isContext(entry logLine, router string, upstreams map[string]bool) bool {
	if slices.Contains(requestEvents, entry.event) {
		return false
	}
	return upstreams[textField(entry.fields, "upstream")] || entry.process == router
}

// writeMissingEnd says what is known of the end of a request whose router logged
// none: that the router restarted, or when it logged last.
func (l *Logs) writeMissingEnd(w io.Writer, requestLog []logLine) error {
	end := requestLog[len(requestLog)-1]
	if end.event == "request" {
		return nil
	}
	if restartedAt, lastBefore, found := l.findRestart(end); found {
		_, err := fmt.Fprintf(w, "=> no end was logged; %s started again at %s and its last line before is of %s: the request ended with the process\n",
			end.process, restartedAt.Format(clockFormat), lastBefore.Format(clockFormat))
		return err
	}
	_, err := fmt.Fprintf(w, "=> no end was logged; the last line of %s is of %s: it died, or was cut off from the log\n",
		end.process, l.lastSeen[end.process].Format(clockFormat))
	return err
}

// findRestart returns when a line's process next started, and the time of the last
// line that it logged before that.
func (l *Logs) findRestart(since logLine) (restartedAt, lastBefore time.Time, found bool) {
	for _, entry := range l.lines {
		isStart := entry.process == since.process && entry.event == "started" && entry.at.After(since.at)
		if isStart && (!found || entry.at.Before(restartedAt)) {
			restartedAt, found = entry.at, true
		}
	}
	lastBefore = since.at
	for _, entry := range l.lines {
		if entry.process == since.process && entry.at.Before(restartedAt) && entry.at.After(lastBefore) {
			lastBefore = entry.at
		}
	}
	return restartedAt, lastBefore, found
}

// clockFormat is the format of times in a timeline.
const clockFormat = "15:04:05.000"

// format returns the line as it stands in a timeline. Lines of the request itself
// are marked with an asterisk.
func (entry logLine) format(ofRequest bool) string {
	mark := "  "
	if ofRequest {
		mark = "* "
	}
	var words []string
	for _, name := range slices.SortedFunc(fieldNames(entry.fields), cmp.Compare[string]) {
		if !slices.Contains(prefixFields, name) {
			words = append(words, fmt.Sprintf("%s=%s", name, formatValue(entry.fields[name])))
		}
	}
	return fmt.Sprintf("%s%s %-20s %-18s %s", mark, entry.at.Format(clockFormat), entry.process, entry.event, strings.Join(words, " "))
}

// prefixFields are the fields that a timeline prints first, without their names,
// and the level, which it leaves out.
var prefixFields = []string{"time", "node", "event", "level"}

// formatValue returns the value of a field on one line, as JSON unless it is a
// plain word.
func formatValue(value any) string {
	if text, is := value.(string); is && text != "" && !strings.ContainsAny(text, " =") {
		return text
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}

// fieldNames iterates over the names of fields.
func fieldNames(fields map[string]any) func(func(string) bool) {
	return func(yield func(string) bool) {
		for name := range fields {
			if !yield(name) {
				return
			}
		}
	}
}

package intake

import (
	"slices"
	"time"
)

// Stage is what a connection is used for at the moment.
type Stage int

// The stages, in the order in which connections are closed.
const (
	// Incomplete means that no complete request has come: none since the connection was opened, or
	// since its last request was served, or a part of one.
	Incomplete Stage = iota
	// Unread means that the client hasn't taken all of its answer.
	Unread
	// Idle means that the last request was served, and no other has begun.
	Idle
	// Busy means that a complete request is being served. Such a connection is never closed.
	Busy
)

// youngUnread is how long an answer may be unread before it counts as Unread. Within that time,
// ordinary clients take theirs.
const youngUnread = 250 * time.Millisecond

// Connection is an open connection.
type Connection struct {
	Stage Stage
	// Since is when the stage began.
	Since time.Duration
}

// IsUnread reports whether the client hasn't taken its answer for so long that the connection may be
// closed, if others need what its request holds.
func (c Connection) IsUnread(now time.Duration) bool {
	return c.Stage == Unread && now-c.Since >= youngUnread
}

// closeShare is the share of the connections that is closed at once when no further one can be opened.
const closeShare = 1.0 / 64

// Victims returns the indices of the connections to close, of all that are open, because there are
// as many as there may be. None is returned if all are busy.
func Victims(now time.Duration, open []Connection) []int {
	var candidates []int
	for i, c := range open {
		if c.Stage == Busy || c.Stage == Unread && !c.IsUnread(now) {
			continue
		}
		candidates = append(candidates, i)
	}
	slices.SortFunc(candidates, func(a, b int) int {
		if open[a].Stage != open[b].Stage {
			return int(open[a].Stage - open[b].Stage)
		}
		return int(open[a].Since - open[b].Since)
	})
	return candidates[:min(len(candidates), 1+int(closeShare*float64(len(open))))]
}

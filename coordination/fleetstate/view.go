package fleetstate

import (
	"maps"

	"endiveplank/coordination/ownership"
	"endiveplank/coordination/registry"
	"endiveplank/coordination/table"
	"endiveplank/protocol"
)

// View is a router's copy of the part of the state that routers need, as of
// one revision. It is not safe for concurrent use.
type View struct {
	current viewContent
	// staged receives the chunks of a catch-up until the last one arrives. It
	// is nil when no catch-up is running.
	staged *viewContent
	// position is where the next delta must begin.
	position Position
	// revision is the revision of current.
	revision uint64
}

type viewContent struct {
	rows               map[table.RowRef]table.Row
	customersByKeyHash map[string]protocol.CustomerID
	sessions           map[ownership.SessionID]ownership.Session
	assignments        map[protocol.UpstreamID]ownership.Assignment
	descriptors        map[protocol.UpstreamID]registry.Descriptor
}

func newViewContent() viewContent {
	return viewContent{
		rows:               map[table.RowRef]table.Row{},
		customersByKeyHash: map[string]protocol.CustomerID{},
		sessions:           map[ownership.SessionID]ownership.Session{},
		assignments:        map[protocol.UpstreamID]ownership.Assignment{},
		descriptors:        map[protocol.UpstreamID]registry.Descriptor{},
	}
}

func (c viewContent) clone() viewContent {
	return viewContent{
		rows:               maps.Clone(c.rows),
		customersByKeyHash: maps.Clone(c.customersByKeyHash),
		sessions:           maps.Clone(c.sessions),
		assignments:        maps.Clone(c.assignments),
		descriptors:        maps.Clone(c.descriptors),
	}
}

// NewView returns an empty view at revision 0.
func NewView() *View { return &View{current: newViewContent()} }

// Revision returns the view's revision. It never decreases.
func (v *View) Revision() uint64 { return v.revision }

// Position returns where the next delta must begin. During a catch-up in
// chunks it is ahead of Revision.
func (v *View) Position() Position { return v.position }

// ApplyDelta applies a delta and reports whether it did. It ignores a delta
// that does not begin at the view's position (a duplicate, one that a newer
// delta overtook, or one of a former leader), so the view can neither skip a
// change nor go back.
func (v *View) ApplyDelta(delta Delta) bool {
	if !samePosition(delta.From, v.position) || delta.To.Revision < v.position.Revision && !delta.Reset {
		return false
	}
	target := v.targetContent(delta)
	for _, entry := range delta.Entries {
		target.put(entry)
	}
	v.position = delta.To
	if delta.More {
		v.staged = target
		return true
	}
	if delta.To.Revision < v.revision {
		// This is a catch-up from an empty state by a leader whose state is
		// older than this view. A leader that holds its lease cannot send one.
		// Start the catch-up again.
		v.staged = nil
		v.position = Position{Revision: v.revision}
		return false
	}
	v.current = *target
	v.staged = nil
	v.revision = delta.To.Revision
	return true
}

// targetContent returns the content to which a delta's entries are added: the
// current content for a delta in one piece, a copy for a delta in chunks, and
// an empty one for a delta that resets the view.
func (v *View) targetContent(delta Delta) *viewContent {
	switch {
	case delta.Reset:
		fresh := newViewContent()
		return &fresh
	case v.staged != nil:
		return v.staged
	case delta.More:
		copied := v.current.clone()
		return &copied
	}
	return &v.current
}

func samePosition(a, b Position) bool {
	if a.Revision != b.Revision || a.Base != b.Base {
		return false
	}
	if a.Item == nil || b.Item == nil {
		return a.Item == b.Item
	}
	return *a.Item == *b.Item
}

func (c *viewContent) put(entry Entry) {
	switch {
	case entry.Row != nil:
		c.putRow(*entry.Row)
	case entry.Session != nil:
		c.sessions[entry.Session.ID] = *entry.Session
	case entry.Assignment != nil:
		c.assignments[entry.Assignment.Upstream] = *entry.Assignment
	case entry.Descriptor != nil:
		c.descriptors[entry.Descriptor.ID] = *entry.Descriptor
	case entry.Removed != nil:
		c.remove(*entry.Removed)
	}
}

func (c *viewContent) putRow(row table.Row) {
	ref := table.RowRef{Sheet: row.Sheet, Key: row.Key}
	c.dropKeyHashes(ref)
	c.rows[ref] = row
	if row.Sheet != table.Customers {
		return
	}
	for _, hash := range table.CustomerOf(row).KeyHashes {
		c.customersByKeyHash[hash] = protocol.CustomerID(row.Key)
	}
}

func (c *viewContent) dropKeyHashes(ref table.RowRef) {
	old, ok := c.rows[ref]
	if !ok || ref.Sheet != table.Customers {
		return
	}
	for _, hash := range table.CustomerOf(old).KeyHashes {
		if c.customersByKeyHash[hash] == protocol.CustomerID(ref.Key) {
			delete(c.customersByKeyHash, hash)
		}
	}
}

func (c *viewContent) remove(item Item) {
	switch item.Kind {
	case KindRow:
		ref := table.RowRef{Sheet: item.Sheet, Key: item.Key}
		c.dropKeyHashes(ref)
		delete(c.rows, ref)
	case KindSession:
		delete(c.sessions, item.Session)
	case KindAssignment:
		delete(c.assignments, protocol.UpstreamID(item.Key))
	case KindDescriptor:
		delete(c.descriptors, protocol.UpstreamID(item.Key))
	}
}

// Row returns a row.
func (v *View) Row(sheet table.Sheet, key string) (table.Row, bool) {
	row, ok := v.current.rows[table.RowRef{Sheet: sheet, Key: key}]
	return row, ok
}

// CustomerByKeyHash finds a customer by the SHA-256 of a bearer key, in
// lower-case hexadecimal.
func (v *View) CustomerByKeyHash(hash string) (table.Customer, bool) {
	id, ok := v.current.customersByKeyHash[hash]
	if !ok {
		return table.Customer{}, false
	}
	row, ok := v.Row(table.Customers, string(id))
	return table.CustomerOf(row), ok
}

// RouteFor finds the route with the longest prefix of path. A prefix matches
// only whole path segments.
func (v *View) RouteFor(path string) (table.Route, bool) {
	for end := len(path); end > 0; end-- {
		if end < len(path) && path[end] != '/' && path[end-1] != '/' {
			continue
		}
		if row, ok := v.Row(table.Routes, path[:end]); ok {
			return table.RouteOf(row), true
		}
	}
	return table.Route{}, false
}

// Session returns an open session.
func (v *View) Session(id ownership.SessionID) (ownership.Session, bool) {
	session, ok := v.current.sessions[id]
	return session, ok
}

// Assignment returns the assignment of an upstream.
func (v *View) Assignment(upstream protocol.UpstreamID) (ownership.Assignment, bool) {
	assignment, ok := v.current.assignments[upstream]
	return assignment, ok
}

// Rows calls yield for each row of a sheet, in no particular order.
func (v *View) Rows(sheet table.Sheet, yield func(table.Row)) {
	for ref, row := range v.current.rows {
		if ref.Sheet == sheet {
			yield(row)
		}
	}
}

// Assignments calls yield for each assignment, in no particular order.
func (v *View) Assignments(yield func(ownership.Assignment)) {
	for _, assignment := range v.current.assignments {
		yield(assignment)
	}
}

// Sessions calls yield for each open session, in no particular order.
func (v *View) Sessions(yield func(ownership.Session)) {
	for _, session := range v.current.sessions {
		yield(session)
	}
}

// Descriptors calls yield for each registered upstream, in no particular
// order.
func (v *View) Descriptors(yield func(registry.Descriptor)) {
	for _, descriptor := range v.current.descriptors {
		yield(descriptor)
	}
}

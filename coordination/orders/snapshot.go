package orders

// Snapshot is the journal as a value, with the records in order of reservation.
type Snapshot struct {
	Settings Settings `msgpack:"s"`
	Clock    int64    `msgpack:"c,omitempty"`
	Records  []Record `msgpack:"r,omitempty"`
}

// Snapshot returns a snapshot of the journal. Equal journals give equal
// snapshots.
func (j *Journal) Snapshot() Snapshot {
	snapshot := Snapshot{Settings: j.settings, Clock: j.clock, Records: make([]Record, 0, len(j.records))}
	for _, entry := range j.queue {
		snapshot.Records = append(snapshot.Records, *j.records[entry.key])
	}
	return snapshot
}

// FromSnapshot restores a journal from its snapshot.
func FromSnapshot(snapshot Snapshot) *Journal {
	j := NewJournal(snapshot.Settings)
	j.clock = snapshot.Clock
	for i := range snapshot.Records {
		j.insert(&snapshot.Records[i])
	}
	return j
}

package orders

// Snapshot is the journal as a value with one fixed order.
type Snapshot struct {
	Settings Settings `msgpack:"s"`
	Clock    int64    `msgpack:"c,omitempty"`
	Records  []Record `msgpack:"r,omitempty"`
}

// Snapshot returns the state. Equal journals give equal snapshots.
func (j *Journal) Snapshot() Snapshot {
	snapshot := Snapshot{Settings: j.settings, Clock: j.clock, Records: make([]Record, 0, len(j.records))}
	for _, entry := range j.queue {
		snapshot.Records = append(snapshot.Records, *j.records[entry.key])
	}
	return snapshot
}

// FromSnapshot returns the journal that a snapshot was taken of.
func FromSnapshot(snapshot Snapshot) *Journal {
	j := NewJournal(snapshot.Settings)
	j.clock = snapshot.Clock
	for i := range snapshot.Records {
		j.insert(&snapshot.Records[i])
	}
	return j
}

package evacuation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// Order is an operator's order for one data centre.
type Order struct {
	// ID identifies the operator's call that the order was made for.
	ID         uint64              `msgpack:"i"`
	DataCentre protocol.DataCentre `msgpack:"d"`
	// Evacuate is false for an order that takes the data centre back.
	Evacuate bool `msgpack:"e"`
	// Base is the revision of the data centre's last order when the operator's call
	// arrived, 0 if there was none.
	Base uint64 `msgpack:"b"`
	// Revision is the order's own revision, which is above Base.
	Revision uint64 `msgpack:"r"`
}

// NewOrder returns an order. now is the time of day, which the revision is made from.
func NewOrder(id uint64, dataCentre protocol.DataCentre, evacuate bool, base uint64, now time.Time) Order {
	revision := max(base+1, uint64(max(now.UnixMilli(), 0)))
	return Order{ID: id, DataCentre: dataCentre, Evacuate: evacuate, Base: base, Revision: revision}
}

// Record is the last accepted order of a data centre.
type Record struct {
	DataCentre protocol.DataCentre `msgpack:"d"`
	Evacuated  bool                `msgpack:"e"`
	Revision   uint64              `msgpack:"r"`
	// Since is the revision of the first of the last orders that said the same.
	Since uint64 `msgpack:"s"`
	// OrderID is the ID of the order.
	OrderID uint64 `msgpack:"i"`
}

// SinceTime returns when the data centre was evacuated or taken back, by the clock of the
// disk VM that received the order.
func (r Record) SinceTime() time.Time { return time.UnixMilli(int64(r.Since)).UTC() }

// Outcome is the result of an order.
type Outcome uint8

const (
	// Accepted means that the order is in force.
	Accepted Outcome = iota + 1
	// Overtaken means that another order was accepted after this one's base was read.
	Overtaken
)

// String returns the word used in logs.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Overtaken:
		return "overtaken"
	}
	return "none"
}

// commandPrefix is the first byte of an order in the log. No msgpack value begins with it,
// so an order can't be taken for a change of the table, which is a msgpack map.
const commandPrefix = 0xc1

// Encode encodes an order as a command of the log.
func (o Order) Encode() []byte {
	return append([]byte{commandPrefix}, codec.Marshal(o)...)
}

// IsOrder reports whether a command of the log is an order.
func IsOrder(command []byte) bool {
	return len(command) > 0 && command[0] == commandPrefix
}

// DecodeOrder decodes a command for which IsOrder is true.
func DecodeOrder(command []byte) (Order, error) {
	var o Order
	err := codec.Unmarshal(command[1:], &o)
	return o, err
}

// Set holds the last order of each data centre. The zero Set has none. It is not safe for
// concurrent use.
type Set struct {
	records map[protocol.DataCentre]Record
}

// Decide returns the outcome that an order would have now.
//
// A revision below the order's base is no reason to refuse it: this copy then lacks orders
// that the proposer knew, as after a snapshot from a disk VM that doesn't keep them.
func (s *Set) Decide(o Order) Outcome {
	held, known := s.records[o.DataCentre]
	if known && held.OrderID != o.ID && held.Revision > o.Base {
		return Overtaken
	}
	return Accepted
}

// Apply accepts an order or refuses it.
func (s *Set) Apply(o Order) Outcome {
	if s.Decide(o) == Overtaken {
		return Overtaken
	}
	s.Merge([]Record{s.recordFor(o)})
	return Accepted
}

// recordFor returns the record of an accepted order.
func (s *Set) recordFor(o Order) Record {
	record := Record{DataCentre: o.DataCentre, Evacuated: o.Evacuate, Revision: o.Revision, Since: o.Revision, OrderID: o.ID}
	if held, known := s.records[o.DataCentre]; known && held.Evacuated == o.Evacuate {
		record.Since = held.Since
	}
	return record
}

// Merge takes over the records that are newer than those held, and returns them.
func (s *Set) Merge(records []Record) []Record {
	var newer []Record
	for _, record := range records {
		if record.Revision <= s.records[record.DataCentre].Revision {
			continue
		}
		if s.records == nil {
			s.records = map[protocol.DataCentre]Record{}
		}
		s.records[record.DataCentre] = record
		newer = append(newer, record)
	}
	return newer
}

// Records returns all records, sorted by data centre.
func (s *Set) Records() []Record {
	return slices.SortedFunc(maps.Values(s.records), func(a, b Record) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}

// Revision returns the revision of a data centre's last order, 0 if there is none.
func (s *Set) Revision(dataCentre protocol.DataCentre) uint64 { return s.records[dataCentre].Revision }

// Digest identifies the records of a Set, by data centre and revision. It is 0 if there are
// none.
func (s *Set) Digest() uint64 {
	digest := uint64(0)
	for _, record := range s.records {
		digest += xxhash.Sum64String(fmt.Sprintf("%s\n%d", record.DataCentre, record.Revision))
	}
	return digest
}

// Evacuated reports whether a data centre is evacuated.
func (s *Set) Evacuated(dataCentre protocol.DataCentre) bool { return s.records[dataCentre].Evacuated }

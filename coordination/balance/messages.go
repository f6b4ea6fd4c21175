package balance

import (
	"reflect"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"endiveplank/coordination/demand"
	"endiveplank/coordination/retryschedule"
	"endiveplank/protocol"
)

// ShortID is a hash that stands for an upstream's ID in messages between routers: 5 bytes
// instead of a dozen or more. In one of a million cases, two of a hundred upstreams share
// a ShortID, and their loads are counted together.
type ShortID uint32

// ShortIDOf returns an upstream's ShortID.
func ShortIDOf(id protocol.UpstreamID) ShortID {
	return ShortID(xxhash.Sum64String(string(id)))
}

// UpstreamLoad is one router's load on an upstream, or the sum of several routers' if a
// relay sends it. It is encoded without the names of its fields.
type UpstreamLoad struct {
	ID ShortID `msgpack:"i"`
	// InFlight counts the requests that the router has sent and that haven't ended.
	InFlight int `msgpack:"n"`
	// Served and Failed count the requests that have ended since the router started.
	Served uint64 `msgpack:"s"`
	Failed uint64 `msgpack:"f"`
}

// LoadReport is what a router sends to other routers about its load, or a relay about the
// load of several routers.
type LoadReport struct {
	// Full says that the sender has nothing in flight on upstreams that the report omits.
	Full      bool           `msgpack:"w"`
	Upstreams []UpstreamLoad `msgpack:"u"`
	// Cached announces prefixes that engines have in their caches, because they have
	// recently begun to answer prompts with them.
	Cached []CachedPrefix `msgpack:"k,omitempty"`
	// Omitted is the load in flight on upstreams of each service that a relay knows of
	// beyond what its reports tell by upstream. It counts until the next report.
	Omitted []ServiceLoad `msgpack:"o,omitempty"`
	// Reported is what upstreams report of their own load, as far as the receiver doesn't know
	// it yet.
	Reported []ReportedLoad `msgpack:"c,omitempty"`
	// Demand are counts of services that are short of capacity, for a demand.Counter.
	Demand []demand.ServiceCounts `msgpack:"d,omitempty"`
	// Reservations says which refused requests are expected back.
	Reservations []retryschedule.Reported `msgpack:"p,omitempty"`
}

// requiredFields is the number of fields of a LoadReport that are always encoded.
const requiredFields = 4

// fields returns the fields in the order in which they are encoded. Those behind requiredFields are
// left out from the last one that isn't empty on, so that routers of an earlier version can read
// reports without them; new fields are added at the end.
func (r *LoadReport) fields() []any {
	return []any{&r.Full, &r.Upstreams, &r.Cached, &r.Omitted, &r.Reported, &r.Demand, &r.Reservations}
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r LoadReport) EncodeMsgpack(encoder *msgpack.Encoder) error {
	fields := r.fields()
	count := len(fields)
	for count > requiredFields && reflect.ValueOf(fields[count-1]).Elem().Len() == 0 {
		count--
	}
	if err := encoder.EncodeArrayLen(count); err != nil {
		return err
	}
	return encoder.EncodeMulti(fields[:count]...)
}

// DecodeMsgpack implements msgpack.CustomDecoder. It ignores fields that a later version has added,
// which the msgpack library refuses to do.
func (r *LoadReport) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	fields := r.fields()
	for i := range count {
		if i >= len(fields) {
			err = decoder.Skip()
		} else {
			err = decoder.Decode(fields[i])
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// MaxReportedLoads is the largest number of entries in LoadReport.Reported.
const MaxReportedLoads = 32

// ReportedLoad is what an upstream reports of its own load, with its age. It is encoded without
// the names of its fields.
type ReportedLoad struct {
	ID ShortID `msgpack:"i"`
	// Incarnation holds the low bits of roster.Entry.StartedAt.
	Incarnation uint16 `msgpack:"o"`
	// Running and Waiting count its requests, and Slots is the number that it runs at a time.
	Running int `msgpack:"n"`
	Waiting int `msgpack:"w"`
	Slots   int `msgpack:"s"`
	// Pace is how long work takes there, in percent of the usual time.
	Pace int `msgpack:"p"`
	// AgeMS is how long ago the upstream reported it, in milliseconds.
	AgeMS int `msgpack:"a"`
}

// empty reports whether the report says nothing.
func (r LoadReport) empty() bool {
	return !r.hasLoads() && len(r.Demand) == 0 && len(r.Reservations) == 0 && len(r.Reported) == 0
}

// hasLoads reports whether the report names upstreams, prompts or services' loads.
func (r LoadReport) hasLoads() bool {
	return len(r.Upstreams) > 0 || len(r.Cached) > 0 || len(r.Omitted) > 0
}

// ServiceID is a hash that stands for a service's name in messages between routers.
type ServiceID = demand.ServiceID

// serviceIDOf returns the ServiceID of a service.
func serviceIDOf(service protocol.Service) ServiceID { return demand.ServiceIDOf(service) }

// ServiceLoad is a load on the upstreams of one service.
type ServiceLoad struct {
	ID       ServiceID `msgpack:"i"`
	InFlight int       `msgpack:"n"`
}

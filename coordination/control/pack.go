package control

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// A packed fleet has a name on each line. The disk VMs go first; then, for each data
// centre, an empty line, its name, and its routers.
const nameEnd = "\n"

// packFleet makes the list that followers are sent.
func packFleet(diskVMs []protocol.RouterID, routers []Router) Fleet {
	var text strings.Builder
	for _, id := range diskVMs {
		text.WriteString(string(id) + nameEnd)
	}
	for _, in := range byDataCentre(routers) {
		text.WriteString(nameEnd + string(in[0].DataCentre) + nameEnd)
		for _, r := range in {
			text.WriteString(string(r.ID) + nameEnd)
		}
	}
	return Fleet{Digest: xxhash.Sum64String(text.String()), Packed: document.Compress([]byte(text.String()))}
}

// byDataCentre groups routers.
func byDataCentre(routers []Router) [][]Router {
	sorted := slices.Clone(routers)
	slices.SortFunc(sorted, func(a, b Router) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.ID, b.ID))
	})
	var groups [][]Router
	for at, r := range sorted {
		if at == 0 || r.DataCentre != sorted[at-1].DataCentre {
			groups = append(groups, nil)
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], r)
	}
	return groups
}

// unpack returns the list. Error: damage.
func (f Fleet) unpack() (diskVMs []protocol.RouterID, routers []Router, err error) {
	text, err := document.Decompress(f.Packed)
	if err != nil {
		return nil, nil, err
	}
	in, named, diskVM := protocol.DataCentre(""), true, true
	for line := range strings.Lines(string(text)) {
		name := strings.TrimSuffix(line, nameEnd)
		switch {
		case name == "" && named:
			named, diskVM = false, false
		case !named:
			in, named = protocol.DataCentre(name), true
		case diskVM:
			diskVMs = append(diskVMs, protocol.RouterID(name))
		default:
			routers = append(routers, Router{ID: protocol.RouterID(name), DataCentre: in})
		}
	}
	return diskVMs, routers, nil
}

// packList makes the list of upstreams that followers are sent.
func packList(r *roster.Roster, buckets roster.Buckets) List {
	return List{Digest: r.Digest(), Buckets: buckets, Packed: packEntries(r.EntriesIn(buckets))}
}

// packEntries compresses entries: their names and addresses are much alike.
func packEntries(entries []roster.Entry) []byte {
	return document.Compress(codec.Marshal(entries))
}

// unpackEntries is the reverse of packEntries. Error: damage.
func unpackEntries(packed []byte) ([]roster.Entry, error) {
	data, err := document.Decompress(packed)
	if err != nil {
		return nil, err
	}
	var entries []roster.Entry
	err = codec.Unmarshal(data, &entries)
	return entries, err
}

// wholeListLife is how long a router sends a whole list that it has packed, though
// its roster has changed since: its digest says which state it is of, and what came
// later is found like any other difference. Packing thousands of upstreams takes a
// busy processor long. Disk VMs send the newest, or they would be asked again.
const wholeListLife = 500 * time.Millisecond

// packedLists holds the lists of one state of a roster, each packed once: a whole
// fleet asks for the same parts at a time. The whole is kept for a while longer.
//
// Load: three thousand upstreams and three hundred routers start together, and each
// router asks another one seven times a second. Harm prevented: the list changes
// between any two questions, and routers pack it over and over.
type packedLists struct {
	// wholeLife is how long an old whole is sent.
	wholeLife time.Duration
	// digest is that of the roster.
	digest  uint64
	byPart  map[roster.Buckets]List
	whole   List
	wholeAt time.Duration
}

// packed returns some parts of a roster.
func (p *packedLists) packed(now time.Duration, r *roster.Roster, buckets roster.Buckets) List {
	if buckets == roster.AllBuckets {
		return p.packedWhole(now, r)
	}
	if digest := r.Digest(); p.digest != digest || p.byPart == nil {
		p.digest = digest
		p.byPart = map[roster.Buckets]List{}
	}
	list, made := p.byPart[buckets]
	if !made {
		list = packList(r, buckets)
		p.byPart[buckets] = list
	}
	return list
}

// packedWhole returns the whole roster as it is or was a moment ago.
func (p *packedLists) packedWhole(now time.Duration, r *roster.Roster) List {
	if p.whole.Packed == nil || p.whole.Digest != r.Digest() && now-p.wholeAt >= p.wholeLife {
		p.whole = packList(r, roster.AllBuckets)
		p.wholeAt = now
	}
	return p.whole
}

// unpack returns the entries. Error: damage.
func (l List) unpack() ([]roster.Entry, error) { return unpackEntries(l.Packed) }

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

// lineEnd ends each name of a packed fleet. The disk VMs come first. Then follow, for
// each data centre, an empty line, its name, and its routers.
const lineEnd = "\n"

// packFleet returns the list of processes that followers are sent.
func packFleet(diskVMs []protocol.RouterID, routers []Router) Fleet {
	var text strings.Builder
	for _, id := range diskVMs {
		text.WriteString(string(id) + lineEnd)
	}
	for _, in := range byDataCentre(routers) {
		text.WriteString(lineEnd + string(in[0].DataCentre) + lineEnd)
		for _, r := range in {
			text.WriteString(string(r.ID) + lineEnd)
		}
	}
	return Fleet{Digest: xxhash.Sum64String(text.String()), Packed: document.Compress([]byte(text.String()))}
}

// byDataCentre groups routers by data centre.
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

// unpack returns the list. It fails if the list is damaged.
func (f Fleet) unpack() (diskVMs []protocol.RouterID, routers []Router, err error) {
	text, err := document.Decompress(f.Packed)
	if err != nil {
		return nil, nil, err
	}
	// named is false after an empty line, until the data centre's name has been read.
	in, named, diskVM := protocol.DataCentre(""), true, true
	for line := range strings.Lines(string(text)) {
		name := strings.TrimSuffix(line, lineEnd)
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

// packList returns some parts of the roster as the list that followers are sent.
func packList(now time.Duration, r *roster.Roster, buckets roster.Buckets) List {
	return List{Digest: r.Digest(), Buckets: buckets, Packed: packEntries(r.Aged(now, r.EntriesIn(buckets)))}
}

// packEntries compresses entries. Their names and addresses are similar.
func packEntries(entries []roster.Entry) []byte {
	return document.Compress(codec.Marshal(entries))
}

// unpackEntries is the reverse of packEntries. It fails if the data is damaged.
func unpackEntries(packed []byte) ([]roster.Entry, error) {
	data, err := document.Decompress(packed)
	if err != nil {
		return nil, err
	}
	var entries []roster.Entry
	err = codec.Unmarshal(data, &entries)
	shareNames(entries)
	return entries, err
}

// shareNames makes entries share one copy of each name that most of them have in common.
func shareNames(entries []roster.Entry) {
	services := map[protocol.Service]protocol.Service{}
	dataCentres := map[protocol.DataCentre]protocol.DataCentre{}
	builds := map[string]string{}
	for i := range entries {
		e := &entries[i]
		e.Service = shared(services, e.Service)
		e.DataCentre = shared(dataCentres, e.DataCentre)
		e.Build = shared(builds, e.Build)
	}
}

// shared returns the first copy of a name.
func shared[T comparable](known map[T]T, name T) T {
	first, found := known[name]
	if !found {
		known[name] = name
		return name
	}
	return first
}

const (
	// minWholeListLifetime is how long after packing the whole list a router goes on
	// sending it although its roster has changed. The list's digest says which state it
	// contains, and the receiver finds later changes like any other difference.
	minWholeListLifetime = 500 * time.Millisecond
	// packCost is that time for each upstream, on disk VMs too, if it is longer. Packing
	// thousands of upstreams takes long on a busy processor.
	packCost = 100 * time.Microsecond
)

// packedLists holds the packed lists of one state of a roster, each packed once, because
// a whole fleet asks for the same parts at about the same time. The whole list is kept
// for a while longer.
//
// When ten thousand upstreams and a thousand routers start together, the list changes
// between any two requests, and processes would pack it over and over.
type packedLists struct {
	// minLifetime is how long after its packing an outdated whole list is sent at least.
	minLifetime time.Duration
	// digest is the digest of the roster that byPart was made from.
	digest  uint64
	byPart  map[roster.Buckets]List
	whole   List
	wholeAt time.Duration
}

// wholeLifetime returns how long after its packing an outdated whole list is sent.
func (p *packedLists) wholeLifetime(r *roster.Roster) time.Duration {
	return max(p.minLifetime, time.Duration(r.Usable())*packCost)
}

// packed returns the list with some parts of a roster.
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
		list = packList(now, r, buckets)
		p.byPart[buckets] = list
	}
	return list
}

// packedWhole returns the list with the whole roster as it is, or as it was up to
// wholeLifetime ago.
func (p *packedLists) packedWhole(now time.Duration, r *roster.Roster) List {
	if p.whole.Packed == nil || p.whole.Digest != r.Digest() && now-p.wholeAt >= p.wholeLifetime(r) {
		p.whole = packList(now, r, roster.AllBuckets)
		p.wholeAt = now
	}
	return p.whole
}

// unpack returns the entries. It fails if the list is damaged.
func (l List) unpack() ([]roster.Entry, error) { return unpackEntries(l.Packed) }

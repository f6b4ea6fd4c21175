package control

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// Names in a packed fleet stand on a line each, the disk VMs first and the
// routers behind an empty line.
const nameEnd = "\n"

// packFleet makes the list that followers are sent.
func packFleet(diskVMs, routers []protocol.RouterID) Fleet {
	var text strings.Builder
	for _, id := range diskVMs {
		text.WriteString(string(id) + nameEnd)
	}
	text.WriteString(nameEnd)
	for _, id := range routers {
		text.WriteString(string(id) + nameEnd)
	}
	return Fleet{Digest: xxhash.Sum64String(text.String()), Packed: document.Compress([]byte(text.String()))}
}

// unpack returns the list. Error: damage.
func (f Fleet) unpack() (diskVMs, routers []protocol.RouterID, err error) {
	text, err := document.Decompress(f.Packed)
	if err != nil {
		return nil, nil, err
	}
	list := &diskVMs
	for line := range strings.Lines(string(text)) {
		name := strings.TrimSuffix(line, nameEnd)
		if name == "" {
			list = &routers
			continue
		}
		*list = append(*list, protocol.RouterID(name))
	}
	return diskVMs, routers, nil
}

// packList makes the list of upstreams that followers are sent: 94 of them are
// 14 KB, and 3 KB packed.
func packList(r *roster.Roster, buckets roster.Buckets) List {
	packed := document.Compress(codec.Marshal(r.EntriesIn(buckets)))
	return List{Digest: r.Digest(), Buckets: buckets, Packed: packed}
}

// unpack returns the entries. Error: damage.
func (l List) unpack() ([]roster.Entry, error) {
	data, err := document.Decompress(l.Packed)
	if err != nil {
		return nil, err
	}
	var entries []roster.Entry
	err = codec.Unmarshal(data, &entries)
	return entries, err
}

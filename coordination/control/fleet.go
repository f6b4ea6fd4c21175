package control

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/document"
	"endiveplank/protocol"
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

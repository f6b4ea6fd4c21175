package control

import (
	"time"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// Announcements forwards announcements that say something new from a router to a disk
// VM.
type Announcements struct {
	Number  uint64         `msgpack:"n"`
	Entries []roster.Entry `msgpack:"e"`
}

// AnnouncementsAck says that a disk VM has them and will send them to its followers, and that the
// notices among them of upstreams that leave are confirmed.
type AnnouncementsAck struct {
	Number uint64 `msgpack:"n"`
}

// forwardBatch holds the announcements that a router will forward to a disk VM.
//
// When three thousand upstreams start within a second or two, each announces itself to a
// router that doesn't know it yet. If the routers sent the upstreams back to the disk
// VMs, upstreams would call each disk VM six hundred times a second and fill its link before
// any router has a list of upstreams. Batches of some tens of milliseconds make that
// sixty messages.
type forwardBatch struct {
	// number is the number of the message that will carry entries.
	number  uint64
	entries []roster.Entry
	// leaving holds the notices of upstreams that leave in the last messages, by number.
	leaving map[uint64][]roster.Entry
}

// maxUnackedForwards is the number of messages with notices of upstreams that leave whose
// acknowledgement may still come.
const maxUnackedForwards = 64

// SetFirstForward sets the number of this process's first batch: a random one. The
// acknowledgement of a batch of the router's former process must acknowledge none of this
// one, or an upstream would take it that the disk VMs know that it leaves.
func (f *Follower) SetFirstForward(number uint64) { f.forwardBatch.number = number }

// Forward adds an announcement to the batch. It returns the number of the message that
// will carry it. The AnnouncementsAck with that number says that a disk VM has it.
func (f *Follower) Forward(e roster.Entry) uint64 {
	f.forwardBatch.entries = append(f.forwardBatch.entries, e)
	return f.forwardBatch.number
}

// sendForwards sends the batch to the preferred disk VM that is alive. If there is none,
// it drops the batch, and no acknowledgement will come.
func (f *Follower) sendForwards(now time.Duration) []Message {
	if len(f.forwardBatch.entries) == 0 {
		return nil
	}
	body := Announcements{Number: f.forwardBatch.number, Entries: f.forwardBatch.entries}
	f.noteForwarded(body)
	f.forwardBatch.number++
	f.forwardBatch.entries = nil
	if id := f.Preferred(now); id != "" {
		return []Message{{To: id, Body: body}}
	}
	return nil
}

// noteForwarded keeps the notices of upstreams that leave until the message is acknowledged.
func (f *Follower) noteForwarded(a Announcements) {
	var leaving []roster.Entry
	for _, e := range a.Entries {
		if e.State != roster.Ready {
			leaving = append(leaving, e)
		}
	}
	if f.forwardBatch.leaving == nil {
		f.forwardBatch.leaving = map[uint64][]roster.Entry{}
	}
	delete(f.forwardBatch.leaving, a.Number-maxUnackedForwards)
	if len(leaving) > 0 {
		f.forwardBatch.leaving[a.Number] = leaving
	}
}

// HandleAnnouncementsAck records that the notices in a message are confirmed, so that their
// repetitions can be answered at once.
func (f *Follower) HandleAnnouncementsAck(number uint64) {
	for _, e := range f.forwardBatch.leaving[number] {
		f.roster.ConfirmDeparture(e.ID, e.StartedAt)
	}
	delete(f.forwardBatch.leaving, number)
}

// HandleAnnouncements processes forwarded announcements. It returns the acknowledgement, the
// upstreams that changed, and those whose notice that they leave has to be confirmed before the
// acknowledgement is sent.
func (p *Publisher) HandleAnnouncements(now time.Duration, from protocol.RouterID, a Announcements) (ack Message, changed, leaving []protocol.UpstreamID) {
	for _, e := range a.Entries {
		wasLeaving := p.roster.IsLeaving(e.ID)
		if p.roster.Merge(now, e) {
			changed = append(changed, e.ID)
			p.NoteChange(e.ID)
		}
		if e.State != roster.Ready && !p.NoteDeparture(e.ID, wasLeaving) {
			leaving = append(leaving, e.ID)
		}
	}
	return Message{To: from, Body: AnnouncementsAck{Number: a.Number}}, changed, leaving
}

package nodetest

import (
	"fmt"
	"strings"
	"time"

	"endiveplank/coordination/node"
	"endiveplank/protocol"
)

// Transcript returns the inputs and outputs of the recorded router since the
// call of Record, one per line, for humans. Inputs without text and outputs, such
// as ticks, announcements and load totals, are omitted.
func (f *Fleet) Transcript() string { return f.transcript.String() }

// Record starts recording the inputs and outputs of one router.
func (f *Fleet) Record(router protocol.RouterID) {
	f.recorded = router
	f.transcript = &strings.Builder{}
}

func (f *Fleet) recordStep(r *Router, in node.Input, outs []node.Output) {
	if f.transcript == nil || f.recorded != r.ID {
		return
	}
	var lines []string
	for _, out := range outs {
		if text := outputText(out); text != "" {
			lines = append(lines, "           -> "+text)
		}
	}
	heading := inputText(in)
	if heading == "" && len(lines) == 0 {
		return
	}
	if heading == "" {
		heading = fmt.Sprintf("%T", in)[len("node."):]
	}
	fmt.Fprintf(f.transcript, "%10s %s\n", f.Now.Round(time.Millisecond), heading)
	for _, line := range lines {
		fmt.Fprintln(f.transcript, line)
	}
}

func inputText(in node.Input) string {
	switch in := in.(type) {
	case node.CallerRequest:
		return fmt.Sprintf("caller asks %s %s %s", in.ID, in.Method, in.Path)
	case node.CallerGone:
		return fmt.Sprintf("caller of %s is gone", in.ID)
	case node.PeerPlaceReply:
		return fmt.Sprintf("%s answers place %s/%d: outcome %d %s", in.From, in.Reply.Attempt.Request, in.Reply.Attempt.Number, in.Reply.Outcome, in.Reply.Reason)
	case node.PeerPlace:
		return fmt.Sprintf("%s asks to place %s/%d on %s, resume at %d", in.From, in.Place.Attempt.Request, in.Place.Attempt.Number, in.Place.Upstream, in.Place.ResumeAt)
	case node.PeerChunk:
		return fmt.Sprintf("%s sends chunk %d of %s/%d", in.From, in.Chunk.Index, in.Chunk.Attempt.Request, in.Chunk.Attempt.Number)
	case node.PeerEnd:
		return fmt.Sprintf("%s ends %s/%d: complete %t, %s %s", in.From, in.End.Attempt.Request, in.End.Attempt.Number, in.End.Complete, in.End.Outcome, in.End.Reason)
	case node.PeerLost:
		return fmt.Sprintf("%s can't be reached", in.Peer)
	case node.PeerOrderReport:
		return fmt.Sprintf("%s reports order attempt %s/%d: kind %d", in.From, in.Report.Attempt.Request, in.Report.Attempt.Number, in.Report.Kind)
	case node.JournalResult:
		return fmt.Sprintf("journal answers op %d: %s", in.Op, in.Result.Outcome)
	case node.UpstreamChunk:
		return fmt.Sprintf("upstream sends chunk %d of %s/%d", in.Chunk.Index, in.Chunk.Attempt.Request, in.Chunk.Attempt.Number)
	case node.UpstreamEnd:
		return fmt.Sprintf("upstream ends %s/%d: complete %t, sent %t, status %d", in.Attempt.Request, in.Attempt.Number, in.Complete, in.Sent, in.Status)
	}
	return ""
}

func outputText(out node.Output) string {
	switch out := out.(type) {
	case node.Send:
		if !out.Reliable {
			return ""
		}
		return fmt.Sprintf("send %s to %s", out.Kind, out.To)
	case node.CallUpstream:
		return fmt.Sprintf("call %s for %s/%d from token %d", out.Place.Upstream, out.Attempt.Request, out.Attempt.Number, out.Place.ResumeAt)
	case node.CancelUpstream:
		return fmt.Sprintf("cancel the call of %s/%d", out.Attempt.Request, out.Attempt.Number)
	case node.AnswerHead:
		return fmt.Sprintf("answer %s: status %d, %s", out.Request, out.Status, out.Outcome)
	case node.AnswerChunk:
		return fmt.Sprintf("answer %s: chunk %d %q", out.Request, out.Index, out.Data)
	case node.AnswerEnd:
		return fmt.Sprintf("answer %s: end, broken %t, %s", out.Request, out.Broken, out.Reason)
	case node.AnswerError:
		return fmt.Sprintf("answer %s: error %d %s, %s, come back in %v", out.Request, out.Status, out.Reason, out.Outcome, out.RetryAfter)
	case node.Journal:
		return fmt.Sprintf("journal op %d of order %s", out.Command.Op, out.Command.Key.Key)
	case node.Event:
		return fmt.Sprintf("explain %s: %s on %s (%s)", out.Kind, out.Reason, out.Upstream, out.Detail)
	}
	return ""
}

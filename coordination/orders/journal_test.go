package orders

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/ownership"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

func always(ownership.SessionID) bool { return true }

// script applies a comma-separated list of steps, each "op holder", to one order
// and returns the outcomes and the final state. A holder is written as
// session.token.attempt; sessions from 9 on are closed.
func script(j *Journal, steps string) string {
	ops := map[string]Op{"reserve": OpReserve, "dispatch": OpDispatch, "return": OpReturn, "done": OpDone, "seal": OpSeal, "unknown": OpUnknown, "settle": OpSettle}
	var outcomes []string
	for _, step := range strings.Split(steps, ", ") {
		var name string
		var holder Holder
		fmt.Sscanf(step, "%s %d.%d.%d", &name, &holder.Session, &holder.Token, &holder.Attempt)
		if name == "close" {
			j.SessionClosed(holder.Session)
			continue
		}
		command := Command{Op: ops[name], Key: orderKey, Holder: holder, At: 1, Who: "ana"}
		if name == "done" {
			command.Answer = &Answer{Status: 200}
		}
		result := j.Apply(command, func(id ownership.SessionID) bool { return id < 9 })
		outcomes = append(outcomes, string(result.Outcome))
	}
	record, _ := j.Lookup(orderKey)
	return strings.Join(outcomes, " ") + " -> " + record.State.String()
}

// Guards the transitions between an order's states: each line is a sequence of
// commands, among them late and repeated ones, with the outcomes and the final
// state.
func TestJournalPaths(t *testing.T) {
	for steps, want := range map[string]string{
		"reserve, reserve": "applied exists -> reserved",
		"reserve, dispatch 1.1.1, dispatch 1.1.1, done 1.1.1, done 1.1.1": "applied applied applied applied applied -> done",
		"reserve, dispatch 1.1.1, dispatch 2.1.1, dispatch 1.2.1":         "applied applied not-allowed not-allowed -> dispatched",
		"dispatch 1.1.1":                                                               "no-record -> absent",
		"reserve, dispatch 9.1.1":                                                      "applied no-session -> reserved",
		"seal, reserve, dispatch 1.1.1":                                                "applied exists not-allowed -> sealed",
		"reserve, seal, dispatch 1.1.1, seal":                                          "applied applied not-allowed applied -> sealed",
		"reserve, dispatch 1.1.1, seal, seal 2.1.1, seal 1.1.1":                        "applied applied not-allowed not-allowed applied -> sealed",
		"reserve, dispatch 1.1.1, return 2.2.1, return 1.1.1, dispatch 1.1.1":          "applied applied not-allowed applied not-allowed -> reserved",
		"reserve, dispatch 1.1.1, return 1.1.1, dispatch 2.1.2, return 1.1.1":          "applied applied applied applied not-allowed -> dispatched",
		"reserve, dispatch 1.1.1, return 1.1.1, dispatch 2.1.2, done 1.1.1":            "applied applied applied applied not-allowed -> dispatched",
		"reserve, dispatch 1.1.1, close 1.0.0, dispatch 2.1.2, return 1.1.1":           "applied applied not-allowed not-allowed -> unknown",
		"reserve, dispatch 1.1.1, close 1.0.0, done 1.1.1, seal 1.1.1":                 "applied applied applied not-allowed -> done",
		"reserve, dispatch 1.1.1, unknown 1.1.1, unknown 1.1.1, settle, settle":        "applied applied applied applied applied not-allowed -> sealed",
		"reserve, dispatch 1.1.1, done 1.1.1, unknown 1.1.1, return 1.1.1, settle":     "applied applied applied not-allowed not-allowed not-allowed -> done",
		"reserve, dispatch 1.1.1, close 1.0.0, seal 1.1.1, done 1.1.1, dispatch 1.1.2": "applied applied applied not-allowed not-allowed -> sealed",
	} {
		assert.Equal(t, script(NewJournal(DefaultSettings()), steps), want, steps)
	}
}

// A leader's clock is 1,000 hours ahead. If the journal followed it, it would
// remove recent orders, and a resend would run them again. With a correct clock
// an order is removed after the retention and not before.
func TestRetention(t *testing.T) {
	const hour = 3_600_000
	j := NewJournal(Settings{RetentionMS: hour, MaxBytes: 1 << 20, MaxAnswer: 10})
	reserve := func(key string, at int64) Outcome {
		return j.Apply(Command{Op: OpReserve, Key: Key{"c", key}, At: at}, always).Outcome
	}
	start := int64(1_700_000_000_000)
	reserve("first", start)
	reserve("leap", start+1000*hour)
	assert.Equal(t, reserve("first", start), Exists)
	for at := start; at < start+hour; at += 60_000 {
		assert.Equal(t, reserve("first", at), Exists)
	}
	assert.Equal(t, reserve("first", start+hour), Applied)
	assert.Equal(t, reserve("x", -1), Malformed)
}

// A full journal must refuse a new order and record nothing. Existing records
// must stay, and their orders can still be finished: an order that was removed
// early could run twice.
func TestFullJournalForgetsNothing(t *testing.T) {
	j := NewJournal(Settings{RetentionMS: 1 << 40, MaxBytes: 4000, MaxAnswer: 10})
	count := 0
	for ; j.Apply(Command{Op: OpReserve, Key: Key{"c", fmt.Sprint(count)}, At: 1}, always).Outcome == Applied; count++ {
	}
	assert.Equal(t, j.Len(), count)
	assert.Equal(t, j.Apply(Command{Op: OpSeal, Key: Key{"c", "new"}, At: 1}, always).Outcome, Full)
	holder := Holder{1, 1, 1}
	j.Apply(Command{Op: OpDispatch, Key: Key{"c", "0"}, Holder: holder, At: 1}, always)
	result := j.Apply(Command{Op: OpDone, Key: Key{"c", "0"}, Holder: holder, At: 1, Answer: &Answer{Body: make([]byte, 11)}}, always)
	assert.Equal(t, result.Outcome, Applied)
	assert.Equal(t, result.Record.Answer.Dropped, true)
	before := j.Bytes()
	again := FromSnapshot(j.Snapshot())
	assert.Equal(t, again.Bytes(), before)
	assert.DeepEqual(t, codec.Marshal(again.Snapshot()), codec.Marshal(j.Snapshot()))
	// A different request with the same key can neither get the order's answer
	// nor seal the order.
	for _, op := range []Op{OpReserve, OpSeal} {
		assert.Equal(t, j.Apply(Command{Op: op, Key: Key{"c", "1"}, Digest: Digest{9}, At: 1}, always).Outcome, DigestConflict)
	}
	_, ok := j.Lookup(Key{Customer: protocol.CustomerID("other"), Key: "0"})
	assert.Equal(t, ok, false)
}

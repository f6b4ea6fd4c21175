package stream

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol"
)

// A fixed limit would be too short for a loaded engine and too long for a fast one.
// The estimate must follow the engine's waits within the limits of the phase.
func TestMaxSilenceFollowsTheEngine(t *testing.T) {
	config := DefaultWaitEstimatorConfig()
	limits := config.Phases[NextToken]
	cases := []struct {
		name     string
		wait     time.Duration
		samples  int
		min, max time.Duration
	}{
		{"unknown engine", time.Millisecond, config.MinSamples - 1, limits.Initial, limits.Initial},
		{"fast engine", 10 * time.Millisecond, 100, limits.Min, limits.Min},
		{"loaded engine", 500 * time.Millisecond, 100, 2 * time.Second, 3 * time.Second},
		{"crawling engine", 10 * time.Second, 100, limits.Max, limits.Max},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			estimator := NewWaitEstimator(config)
			for range c.samples {
				estimator.Observe(Sample{Phase: NextToken, Wait: c.wait})
			}
			allowed := estimator.MaxSilence(NextToken)
			assert.Assert(t, allowed >= c.min && allowed <= c.max, "%v", allowed)
		})
	}
}

// A caller's text stops in mid sentence and no error arrives. The connection went
// silent because its state was lost on the network path; the engine itself works. The
// stream must be resumed over a new connection and, if that is silent too, on another
// engine, always at the first token that the caller lacks.
func TestSilentStreamIsResumedThenMoved(t *testing.T) {
	estimator := NewWaitEstimator(DefaultWaitEstimatorConfig())
	monitor := NewMonitor(0, DefaultMonitorConfig())
	_, ok := monitor.Progress(time.Second, 7)
	assert.Assert(t, ok)
	step := monitor.Check(2*time.Second, estimator)
	assert.Equal(t, step, Step{Action: Wait, CheckAt: 4 * time.Second})
	step = monitor.Check(4*time.Second, estimator)
	assert.Equal(t, step, Step{Action: Reconnect, Attempt: 2, ResumeAt: 7})
	step = monitor.Check(12*time.Second, estimator)
	assert.Equal(t, step, Step{Action: Move, Attempt: 3, ResumeAt: 7})
	_, ok = monitor.Progress(13*time.Second, 9)
	assert.Assert(t, ok)
	assert.Equal(t, monitor.ConnectionBroken(14*time.Second), Step{Action: Reconnect, Attempt: 4, ResumeAt: 9})
	assert.Equal(t, monitor.EngineLost(15*time.Second), Step{Action: Move, Attempt: 5, ResumeAt: 9})
	assert.Equal(t, monitor.EngineLost(16*time.Second), Step{Action: GiveUp, ResumeAt: 9})
}

// answer returns the text of one token of one attempt. Each attempt continues the
// answer differently, as engines that sample do.
func answer(attempt, index int) []byte {
	return fmt.Appendf(nil, "%d/%d;", attempt, index)
}

// A caller receives duplicate or foreign text after a reconnection, because the old
// connection delivers its buffered chunks late, twice and out of order among the new
// ones. In any order of delivery, the caller must receive each index once, in order,
// with the text of the attempt that was current when it was delivered.
func TestCallerReceivesEachTokenOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const request = protocol.RequestID("r")
		length := rapid.IntRange(1, 40).Draw(t, "length")
		a := NewAssembler(request, 8)
		current, cursor := 1, 0
		var got, want []byte
		var late []Chunk
		accept := func(c Chunk) Accepted {
			before := a.Next()
			out := a.Accept(c)
			for _, d := range out.Deliver {
				got = append(got, d.Data...)
			}
			for i := before; i < a.Next(); i++ {
				want = append(want, answer(current, i)...)
			}
			return out
		}
		for step := 0; !a.Complete(); step++ {
			c := Chunk{Request: request, Attempt: current, Index: cursor, Data: answer(current, cursor), Final: cursor == length-1}
			op := rapid.IntRange(0, 9).Draw(t, "op")
			switch {
			case step > 500 || op < 5:
				if accept(c).Verdict == Overrun || cursor == length-1 {
					cursor = a.Next()
				} else {
					cursor++
				}
				late = append(late, c)
			case op == 5 && cursor < length-1: // reordered: the next one first
				c2 := Chunk{Request: request, Attempt: current, Index: cursor + 1, Data: answer(current, cursor+1), Final: cursor+1 == length-1}
				accept(c2)
				accept(c)
				cursor = a.Next()
			case op == 6 && len(late) > 0:
				accept(late[rapid.IntRange(0, len(late)-1).Draw(t, "late")])
			case op == 7:
				foreign := c
				foreign.Request = "other"
				assert.Equal(t, accept(foreign).Verdict, Foreign)
			case op == 8:
				// The old connection delivers the chunk after the next one and delays
				// the next one.
				if cursor < length-1 {
					accept(Chunk{Request: request, Attempt: current, Index: cursor + 1, Data: answer(current, cursor+1)})
				}
				late = append(late, c)
				current++
				cursor = a.Begin(current)
			case op == 9 && len(late) > 0:
				accept(late[0])
			}
		}
		assert.Assert(t, bytes.Equal(got, want), "got %s want %s", got, want)
		assert.Equal(t, a.Next(), length)
		for _, c := range late {
			assert.Equal(t, len(a.Accept(c).Deliver), 0)
		}
	})
}

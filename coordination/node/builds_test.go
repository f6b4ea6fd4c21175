package node_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/node"
	"endiveplank/coordination/node/nodetest"
	"endiveplank/protocol"
)

// buildFleet returns three owners with two engines each, one of each build, and which builds each
// answer's chunks are asked of.
func buildFleet() (*nodetest.Fleet, map[protocol.RequestID]map[string]bool) {
	f := nodetest.New(seed, 3)
	for n, owner := range []protocol.RouterID{"r1", "r2", "r3"} {
		for _, build := range []string{"v1", "v2"} {
			id := protocol.UpstreamID(fmt.Sprint("e", n, build))
			f.AddEngine(id, owner, 1000, 16)
			f.SetBuild(id, build)
		}
	}
	asked := map[protocol.RequestID]map[string]bool{}
	f.OnCall = func(_ protocol.RouterID, call node.CallUpstream) {
		id := call.Place.Attempt.Request
		if call.Place.ResumeAt == 0 || asked[id] == nil {
			asked[id] = map[string]bool{}
		}
		asked[id][f.BuildOf(call.Place.Upstream)] = true
	}
	return f, asked
}

func TestBrokenAnswersGoOnAtTheirBuild(t *testing.T) {
	// Guards: an engine crashes, or the router that relays its answers, and they go on at an engine
	// that runs another version of the software.
	breaks := map[string]func(*nodetest.Fleet){
		"engine": func(f *nodetest.Fleet) { f.Engines["e1v1"].Crash(20 * time.Second) },
		"owner":  func(f *nodetest.Fleet) { f.Kill("r2") },
	}
	for name, breakOff := range breaks {
		t.Run(name, func(t *testing.T) {
			f, asked := buildFleet()
			f.Run(2 * time.Second)
			const requests = 60
			var answers []*nodetest.Answer
			for n := range requests {
				answers = append(answers, f.Submit("r1", protocol.RequestID(fmt.Sprint("chat", n)), "key", fmt.Sprint("fuel for ", n), 100))
			}
			f.Run(time.Second)
			breakOff(f)
			f.Run(30 * time.Second)
			mixed, whole := 0, 0
			for _, builds := range asked {
				if len(builds) > 1 {
					mixed++
				}
			}
			for _, answer := range answers {
				if answer.Ended && !answer.Broken && answer.Status == 200 {
					whole++
				}
			}
			assert.Check(t, mixed == 0, "%d of %d answers hold chunks of two builds", mixed, requests)
			assert.Check(t, 2*whole >= requests, "%d of %d answers are whole", whole, requests)
		})
	}
}

func TestAnswerWhoseBuildIsGoneEndsAtOnce(t *testing.T) {
	// Guards: the last upstream of a version leaves, and a caller waits until its deadline for the
	// rest of an answer that nobody can give.
	f := nodetest.New(seed, 2)
	f.AddEngine("e1", "r1", 1000, 16)
	f.AddEngine("e2", "r2", 1000, 16)
	f.SetBuild("e1", "v1")
	f.SetBuild("e2", "v1")
	f.Run(2 * time.Second)
	answer := f.Submit("r1", "chat", "key", "fuel", 100)
	f.Run(time.Second)
	began := ""
	for id, engine := range f.Engines {
		if engine.Running() > 0 {
			began = string(id)
		}
		f.SetBuild(id, "v2")
	}
	f.Engines[protocol.UpstreamID(began)].Crash(20 * time.Second)
	f.Run(2 * time.Second)
	assert.Assert(t, answer.Ended && answer.Broken)
	assert.Equal(t, answer.Reason, "other_build")
}

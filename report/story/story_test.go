package story

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const router = `  27.21 r1 {"level":"info","node":"r1","event":"sent","request":"9c41","route":"chat","table":7,"attempt":1,"upstream":"u1","why":"keeper","load":3,"mean":2.5,"left_ms":1500,"time":"10:00:01.000"}
{"level":"info","node":"r1","event":"sent","request":"other","upstream":"u2","time":"10:00:01.100"}
{"level":"warn","node":"r1","event":"held-up","late_ms":900,"time":"10:00:01.500"}
not a line of ours
`

const lateEnd = `{"level":"warn","node":"r1","event":"request","request":"9c41","status":502,"reason":"outcome-unknown","attempts":[{"upstream":"u1","result":"failed","cause":"connection reset by peer"}],"time":"10:00:02.000"}
`

const diskVM = `{"level":"info","node":"d1","event":"upstream","upstream":"u1","state":"draining","time":"10:00:00.900"}
{"level":"info","node":"d1","event":"upstream","upstream":"u2","state":"gone","time":"10:00:00.950"}
{"level":"info","node":"d1","event":"upstream","upstream":"u1","state":"gone","time":"10:05:00.000"}
`

func tell(t *testing.T, request string, logs ...string) (string, bool) {
	t.Helper()
	l := &Logs{}
	for _, text := range logs {
		assert.NilError(t, l.Read(strings.NewReader(text)))
	}
	var told strings.Builder
	found, err := l.Tell(&told, request)
	assert.NilError(t, err)
	return told.String(), found
}

func TestAStoryJoinsTheProcessesInTime(t *testing.T) {
	// A user complains with the id of a request. Its router tells what was sent
	// where and how it ended, a disk VM what was known of the upstream.
	told, found := tell(t, "9c41", router+lateEnd, diskVM)
	assert.Assert(t, found)
	lines := strings.Split(strings.TrimSpace(told), "\n")
	assert.Equal(t, len(lines), 4, told)
	assert.Assert(t, strings.Contains(lines[0], "d1") && strings.Contains(lines[0], "state=draining"))
	assert.Assert(t, strings.HasPrefix(lines[1], "* ") && strings.Contains(lines[1], "why=keeper"))
	assert.Assert(t, strings.Contains(lines[2], "held-up"))
	assert.Assert(t, strings.Contains(lines[3], "reason=outcome-unknown") && strings.Contains(lines[3], "connection reset"))
}

func TestOfARequestWhoseRouterDiedTheLastStepIsTold(t *testing.T) {
	told, found := tell(t, "9c41", router, diskVM)
	assert.Assert(t, found)
	assert.Assert(t, strings.Contains(told, "upstream=u1"))
	assert.Assert(t, strings.Contains(told, "no end was logged; the last line of r1 is of 10:00:01.500"))
}

func TestARouterThatStartedAgainIsToldAsTheCause(t *testing.T) {
	// All VMs lose power in the middle of a stream and come back. The router's
	// log goes on, so its last line alone looks as if nothing had happened.
	again := `{"level":"info","node":"r1","event":"started","role":"router","time":"10:00:06.000"}
{"level":"info","node":"r1","event":"readiness","ready":true,"time":"10:00:06.400"}
`
	told, found := tell(t, "9c41", router+again, diskVM)
	assert.Assert(t, found)
	assert.Assert(t, strings.Contains(told, "no end was logged; r1 started again at 10:00:06.000 and its last line before is of 10:00:01.500: the request ended with the process"), told)
}

func TestLargeNumbersAreToldAsTheyAre(t *testing.T) {
	// An operator looks for other lines with the digest of a refused request.
	condemned := `{"level":"warn","node":"r1","event":"request","request":"9c41","status":503,"prompt":18442763372209252123,"time":"10:00:01.000"}` + "\n"
	told, _ := tell(t, "9c41", condemned)
	assert.Assert(t, strings.Contains(told, "prompt=18442763372209252123"), told)
}

func TestNothingIsMadeUpAboutAnUnknownRequest(t *testing.T) {
	_, found := tell(t, "unknown", router, diskVM)
	assert.Assert(t, !found)
}

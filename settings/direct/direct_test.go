package direct

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/settings/strict"
)

const validSettings = `{"role":"router","name":"r1","data_centre":"a","listen":{"callers":"10.0.0.1:80","readiness":"10.0.0.1:81","peers":"10.0.0.1:74"},"seeds":["10.0.0.2:82"]}`

func TestDefaultsAreFilledIn(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Load.Multiple, Defaults().Load.Multiple)
	assert.Equal(t, s.Self(), protocol.RouterID("10.0.0.1:74"))
	assert.DeepEqual(t, s.SeedPeers(), []protocol.RouterID{"10.0.0.2:74"})
	assert.Equal(t, s.PeersListen(), "10.0.0.1:74")
}

func TestParseReportsAllMistakesAtOnce(t *testing.T) {
	// An operator mistypes several fields. If Parse reported only the first, the
	// operator would have to start the process once for each mistake.
	for name, test := range map[string]struct {
		text  string
		paths []string
	}{
		"shape":  {`{"rule":1,"listen":{"peers":7},"seeds":"x"}`, []string{"listen.peers", "rule", "seeds"}},
		"router": {`{"role":"router","name":"r 1","data_centre":"a","data_folder":"d","listen":{"peers":"x"},"seeds":["y"],"retries":{"ratio":2}}`, []string{"name", "listen.peers", "listen.callers", "listen.readiness", "seeds[0]", "data_folder", "retries.ratio"}},
		"disk":   {`{"role":"disk-vm","name":"d1","data_centre":"a","listen":{"peers":"10.0.0.1:74","metrics":"m"}}`, []string{"listen.control", "listen.metrics", "data_folder"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(test.text))
			var problems strict.Problems
			assert.Assert(t, errors.As(err, &problems), "%v", err)
			var paths []string
			for _, p := range problems {
				paths = append(paths, p.Path)
			}
			assert.DeepEqual(t, paths, test.paths)
		})
	}
}

func TestAdmissionIsOffUnlessSwitchedOn(t *testing.T) {
	// Guards: a router whose settings don't name admission refuses requests by it; or settings
	// that only switch it on lose the defaults of the other fields.
	off, err := Parse([]byte(validSettings))
	assert.NilError(t, err)
	assert.DeepEqual(t, off.Admission, Admission{Enabled: false, Reserve: 0.05, Floor: 0.3, Reports: true})
	on, err := Parse([]byte(strings.TrimSuffix(validSettings, "}") + `,"admission":{"enabled":true}}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, on.Admission, Admission{Enabled: true, Reserve: 0.05, Floor: 0.3, Reports: true})
}

func TestMistakesInAdmissionNameFieldAndValue(t *testing.T) {
	// Guards: an operator who gives a percentage instead of a share isn't told which value is wrong.
	_, err := Parse([]byte(strings.TrimSuffix(validSettings, "}") + `,"admission":{"enabled":true,"reserve":5,"floor":-0.1}}`))
	assert.ErrorContains(t, err, "admission.reserve")
	assert.ErrorContains(t, err, "5")
	assert.ErrorContains(t, err, "admission.floor")
	assert.ErrorContains(t, err, "-0.1")
}

func TestSettingsThatWereWrittenAreRead(t *testing.T) {
	// Guards: a settings file that a program wrote from the defaults is refused, and no
	// process starts.
	s, err := Parse([]byte(validSettings))
	assert.NilError(t, err)
	text, err := json.Marshal(s)
	assert.NilError(t, err)
	read, err := Parse(text)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, s)
}

func TestLinkRateIsInBytesPerSecond(t *testing.T) {
	s := Defaults()
	s.Role = RoleDiskVM
	s.Link.Mbps = 3
	assert.Equal(t, s.LinkRate(), 375_000)
}

func TestRoutersListenBesideTheirPeers(t *testing.T) {
	s := Defaults()
	s.Listen.Peers, s.Listen.PeersBind = "10.0.0.1:74", "10.9.0.1:75"
	assert.Equal(t, s.RoutersListen(), "")
	s.Listen.Routers = NextPort
	assert.Equal(t, s.RoutersListen(), "10.9.0.1:76")
	s.Listen.Routers = "10.9.0.1:80"
	assert.Equal(t, s.RoutersListen(), "10.9.0.1:80")
}

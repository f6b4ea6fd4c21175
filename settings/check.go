package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"endiveplank/protocol"
)

// maxVoters is the largest first set of voters. More voters don't make the
// state safer in practice and slow every commit.
const maxVoters = 7

// checker gathers problems.
type checker struct{ problems Problems }

func (c *checker) add(path string, value any, allowed string) {
	c.problems = append(c.problems, Problem{Path: path, Value: fmt.Sprintf("%q", fmt.Sprint(value)), Allowed: "it must be " + allowed})
}

// check finds every value that is out of range.
func check(s Settings) Problems {
	c := &checker{}
	c.name("router_id", string(s.RouterID))
	c.name("data_centre", string(s.DataCentre))
	c.oneOf("role", string(s.Role), string(RoleRouter), string(RoleVoter), string(RoleSpare))
	c.listen(s.Listen)
	c.peers(s)
	c.state(s)
	c.tls(s.TLS)
	c.operators(s.Operators)
	c.callers(s.Callers)
	c.load(s.Load)
	c.timing(s.Timing)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "text")
	c.between("membership.bytes_per_second", float64(s.Membership.BytesPerSecond), 1_500, 1_000_000)
	c.traces(s.Traces)
	return c.problems
}

func (c *checker) name(path, value string) {
	if value == "" || len(value) > 64 || strings.ContainsAny(value, " \t\n/\"") {
		c.add(path, value, "1 to 64 characters without spaces, quotes and slashes")
	}
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.add(path, value, "one of "+strings.Join(allowed, ", "))
	}
}

func (c *checker) address(path, value string) {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		c.add(path, value, "IP:port with a port from 1 to 65535, as in 10.0.0.5:7400")
	}
}

func (c *checker) between(path string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.add(path, value, fmt.Sprintf("from %g to %g", low, high))
	}
}

func (c *checker) listen(l Listen) {
	c.address("listen.callers", l.Callers)
	c.address("listen.upstreams", l.Upstreams)
	c.address("listen.admin", l.Admin)
	c.address("listen.peers", l.Peers)
}

func (c *checker) peers(s Settings) {
	seen := map[string]bool{}
	for i, peer := range s.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		c.name(path+".router_id", string(peer.RouterID))
		c.address(path+".address", peer.Address)
		if seen[string(peer.RouterID)] {
			c.add(path+".router_id", peer.RouterID, "named once in the list")
		}
		seen[string(peer.RouterID)] = true
	}
}

func (c *checker) state(s Settings) {
	if s.KeepsState() && s.DataFolder == "" {
		c.add("data_folder", s.DataFolder, "a folder, because this role keeps state")
	}
	if !s.KeepsState() && s.DataFolder != "" {
		c.add("data_folder", s.DataFolder, "empty, because this role keeps no state")
	}
	if len(s.Voters) == 0 || len(s.Voters)%2 == 0 || len(s.Voters) > maxVoters {
		c.add("voters", s.Voters, "1, 3, 5 or 7 router IDs")
	}
	c.keepers(s, "voters", s.Voters)
	c.keepers(s, "spares", s.Spares)
	c.ownRole(s)
}

// keepers checks a list of processes that keep state.
func (c *checker) keepers(s Settings, path string, keepers []protocol.RouterID) {
	for i, keeper := range keepers {
		item := fmt.Sprintf("%s[%d]", path, i)
		if keeper != s.RouterID && !slices.ContainsFunc(s.Peers, func(p Peer) bool { return p.RouterID == keeper }) {
			c.add(item, keeper, "this process or one of peers")
		}
		if slices.Index(keepers, keeper) != i {
			c.add(item, keeper, "named once in the list")
		}
		if path == "spares" && slices.Contains(s.Voters, keeper) {
			c.add(item, keeper, "no voter")
		}
	}
}

// ownRole checks that a spare is in the list that the others wait for when
// the fleet forms.
func (c *checker) ownRole(s Settings) {
	if s.Role == RoleSpare && !slices.Contains(s.Spares, s.RouterID) {
		c.add("spares", s.Spares, "a list that names this process, because its role is spare")
	}
	if s.Role == RoleVoter && !slices.Contains(s.Voters, s.RouterID) {
		c.add("voters", s.Voters, "a list that names this process, because its role is voter")
	}
}

func (c *checker) tls(t TLS) {
	set := 0
	for _, file := range []string{t.CertificateFile, t.KeyFile, t.AuthorityFile} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		c.add("tls", t, "all three files or none")
	}
}

func (c *checker) operators(operators []Operator) {
	for i, operator := range operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.name(path+".name", operator.Name)
		c.oneOf(path+".role", string(operator.Role), string(OperatorRead), string(OperatorEdit), string(OperatorControl))
		digest, err := hex.DecodeString(operator.KeySHA256)
		if err != nil || len(digest) != 32 {
			c.add(path+".key_sha256", operator.KeySHA256, "64 hexadecimal digits")
		}
	}
}

func (c *checker) callers(l Callers) {
	c.between("callers.max_body_bytes", float64(l.MaxBodyBytes), 1<<10, 64<<20)
	c.between("callers.max_header_bytes", float64(l.MaxHeaderBytes), 4<<10, 1<<20)
	c.between("callers.header_timeout_ms", float64(l.HeaderTimeoutMS), 100, 60_000)
	c.between("callers.body_timeout_ms", float64(l.BodyTimeoutMS), 100, 600_000)
	c.between("callers.write_timeout_ms", float64(l.WriteTimeoutMS), 100, 600_000)
	c.between("callers.deadline_ms", float64(l.DeadlineMS), 100, 3_600_000)
}

func (c *checker) load(l Load) {
	c.between("load.multiple", l.Multiple, 1.05, 10)
	c.between("load.reuse_weight", l.ReuseWeight, 0, 1)
}

func (c *checker) timing(t Timing) {
	c.between("timing.stall_ms", float64(t.StallMS), 200, 60_000)
	c.between("timing.replace_voter_ms", float64(t.ReplaceVoterMS), 1_000, 86_400_000)
	c.between("timing.unready_ms", float64(t.UnreadyMS), 0, 60_000)
	c.between("timing.drain_ms", float64(t.DrainMS), 0, 3_600_000)
}

func (c *checker) traces(t Traces) {
	c.oneOf("traces.exporter", t.Exporter, "none", "stdout", "file", "otlp")
	c.between("traces.sample_ratio", t.SampleRatio, 0, 1)
	if t.Exporter == "file" && t.File == "" {
		c.add("traces.file", t.File, "a path, because traces.exporter is file")
	}
	if t.Exporter == "otlp" && t.Endpoint == "" {
		c.add("traces.endpoint", t.Endpoint, "a URL, because traces.exporter is otlp")
	}
}

package settings

import (
	"encoding/hex"
	"fmt"
	"slices"

	"endiveplank/protocol"
	"endiveplank/settings/strict"
)

// maxVoters is the largest initial set of voters. More voters hardly make the
// state safer and slow down every commit.
const maxVoters = 7

// checker collects the problems of a settings document.
type checker struct{ strict.Checker }

// check returns every invalid value of a document.
func check(s Settings) Problems {
	c := &checker{}
	c.Name("router_id", string(s.RouterID))
	c.Name("data_centre", string(s.DataCentre))
	c.OneOf("role", string(s.Role), string(RoleRouter), string(RoleVoter), string(RoleSpare))
	c.listen(s.Listen)
	c.peers(s)
	c.state(s)
	c.tls(s.TLS)
	c.operators(s.Operators)
	c.callers(s.Callers)
	c.load(s.Load)
	c.timing(s.Timing)
	c.OneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.OneOf("log.format", s.Log.Format, "json", "text")
	CheckProcess(&c.Checker, s.Memory, s.Processor, s.Descriptors)
	c.Between("membership.bytes_per_second", float64(s.Membership.BytesPerSecond), 1_500, 1_000_000)
	CheckTraces(&c.Checker, s.Traces)
	return c.Problems
}

func (c *checker) listen(l Listen) {
	c.Address("listen.callers", l.Callers)
	c.Address("listen.upstreams", l.Upstreams)
	c.Address("listen.admin", l.Admin)
	c.Address("listen.peers", l.Peers)
}

func (c *checker) peers(s Settings) {
	seen := map[string]bool{}
	for i, peer := range s.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		c.Name(path+".router_id", string(peer.RouterID))
		c.Address(path+".address", peer.Address)
		if seen[string(peer.RouterID)] {
			c.Add(path+".router_id", peer.RouterID, "named once in the list")
		}
		seen[string(peer.RouterID)] = true
	}
}

func (c *checker) state(s Settings) {
	if s.KeepsState() && s.DataFolder == "" {
		c.Add("data_folder", s.DataFolder, "a folder, because this role keeps state")
	}
	if !s.KeepsState() && s.DataFolder != "" {
		c.Add("data_folder", s.DataFolder, "empty, because this role keeps no state")
	}
	if len(s.Voters) == 0 || len(s.Voters)%2 == 0 || len(s.Voters) > maxVoters {
		c.Add("voters", s.Voters, "1, 3, 5 or 7 router IDs")
	}
	c.checkMembers(s, "voters", s.Voters)
	c.checkMembers(s, "spares", s.Spares)
	c.ownRole(s)
}

// checkMembers checks a list of voters or spares.
func (c *checker) checkMembers(s Settings, path string, members []protocol.RouterID) {
	for i, member := range members {
		item := fmt.Sprintf("%s[%d]", path, i)
		if member != s.RouterID && !slices.ContainsFunc(s.Peers, func(p Peer) bool { return p.RouterID == member }) {
			c.Add(item, member, "this process or one of peers")
		}
		if slices.Index(members, member) != i {
			c.Add(item, member, "named once in the list")
		}
		if path == "spares" && slices.Contains(s.Voters, member) {
			c.Add(item, member, "a router ID that is not in voters")
		}
	}
}

// ownRole checks that the list for this process's role contains the process. The
// other processes wait for the members of these lists when the fleet forms.
func (c *checker) ownRole(s Settings) {
	if s.Role == RoleSpare && !slices.Contains(s.Spares, s.RouterID) {
		c.Add("spares", s.Spares, "a list that names this process, because its role is spare")
	}
	if s.Role == RoleVoter && !slices.Contains(s.Voters, s.RouterID) {
		c.Add("voters", s.Voters, "a list that names this process, because its role is voter")
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
		c.Add("tls", t, "all three files or none")
	}
}

func (c *checker) operators(operators []Operator) {
	for i, operator := range operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.Name(path+".name", operator.Name)
		c.OneOf(path+".role", string(operator.Role), string(OperatorRead), string(OperatorEdit), string(OperatorControl))
		digest, err := hex.DecodeString(operator.KeySHA256)
		if err != nil || len(digest) != 32 {
			c.Add(path+".key_sha256", operator.KeySHA256, "64 hexadecimal digits")
		}
	}
}

func (c *checker) callers(l Callers) {
	c.Between("callers.max_body_bytes", float64(l.MaxBodyBytes), 1<<10, 64<<20)
	c.Between("callers.max_header_bytes", float64(l.MaxHeaderBytes), 4<<10, 1<<20)
	c.Between("callers.header_timeout_ms", float64(l.HeaderTimeoutMS), 100, 60_000)
	c.Between("callers.body_timeout_ms", float64(l.BodyTimeoutMS), 100, 600_000)
	c.Between("callers.write_timeout_ms", float64(l.WriteTimeoutMS), 100, 600_000)
	c.Between("callers.deadline_ms", float64(l.DeadlineMS), 100, 3_600_000)
}

func (c *checker) load(l Load) {
	c.Between("load.multiple", l.Multiple, 1.05, 10)
	c.Between("load.reuse_weight", l.ReuseWeight, 0, 1)
}

func (c *checker) timing(t Timing) {
	c.Between("timing.stall_ms", float64(t.StallMS), 200, 60_000)
	c.Between("timing.replace_voter_ms", float64(t.ReplaceVoterMS), 1_000, 86_400_000)
	c.Between("timing.unready_ms", float64(t.UnreadyMS), 0, 60_000)
	c.Between("timing.drain_ms", float64(t.DrainMS), 0, 3_600_000)
}

// CheckTraces adds the problems of the traces section to c.
func CheckTraces(c *strict.Checker, t Traces) {
	c.OneOf("traces.exporter", t.Exporter, "none", "stdout", "file", "otlp")
	c.Between("traces.sample_ratio", t.SampleRatio, 0, 1)
	if t.Exporter == "file" && t.File == "" {
		c.Add("traces.file", t.File, "a path, because traces.exporter is file")
	}
	if t.Exporter == "otlp" && t.Endpoint == "" {
		c.Add("traces.endpoint", t.Endpoint, "a URL, because traces.exporter is otlp")
	}
}

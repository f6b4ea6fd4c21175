package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func goodTable() *Table {
	return &Table{
		Version:  3,
		Services: []Service{{Name: "chat"}, {Name: "desk"}},
		Routes: []Route{
			{Name: "a", Host: "One.example", PathPrefix: "/a/", Timeout: time.Second, Split: []Share{{"chat", 1}}},
			{Name: "ab", Host: "one.example", PathPrefix: "/a/b/", Timeout: time.Second, Split: []Share{{"desk", 9}, {"chat", 1}}},
			{Name: "root", Host: "two.example", PathPrefix: "/", Timeout: time.Second, Split: []Share{{"desk", 1}}},
		},
		Customers: []Customer{{Name: "acme", Keys: []string{"k1", "k2"}}, {Name: "brick", Keys: []string{"k3"}}},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	// Prefixes match whole directories. A prefix that matches too much or a shorter
	// one that wins would send a request to the wrong service.
	index := NewIndex(goodTable())
	tests := map[string]struct{ host, path, want string }{
		"exact":                       {"one.example", "/a/", "a"},
		"below":                       {"one.example", "/a/x/y", "a"},
		"longer":                      {"one.example", "/a/b/x", "ab"},
		"not a directory":             {"one.example", "/a/b", "a"},
		"name that only begins alike": {"one.example", "/a/bc/x", "a"},
		"no slash after":              {"one.example", "/a", ""},
		"other host":                  {"three.example", "/a/", ""},
		"host with port":              {"ONE.example:8080", "/a/x", "a"},
		"root prefix":                 {"two.example", "/anything", "root"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			found := index.Route(test.host, test.path)
			if test.want == "" {
				assert.Assert(t, found == nil)
				return
			}
			assert.Assert(t, found != nil)
			assert.Equal(t, found.Name, test.want)
		})
	}
}

// TestIndexAgreesWithWalkingAllRoutes compares the tree with a search through all
// routes for the longest prefix of the path.
func TestIndexAgreesWithWalkingAllRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		directory := rapid.StringMatching(`(/[ab]){0,4}/`)
		prefixes := rapid.SliceOfDistinct(directory, func(s string) string { return s }).Draw(t, "prefixes")
		table := &Table{}
		for _, prefix := range prefixes {
			table.Routes = append(table.Routes, Route{Name: prefix, Host: "h", PathPrefix: prefix})
		}
		path := rapid.StringMatching(`(/[abc]){0,5}/?`).Draw(t, "path")
		want := ""
		for _, prefix := range prefixes {
			if len(prefix) > len(want) && len(path) >= len(prefix) && path[:len(prefix)] == prefix {
				want = prefix
			}
		}
		found := NewIndex(table).Route("h", path)
		got := ""
		if found != nil {
			got = found.Name
		}
		if got != want {
			t.Fatalf("path %q: got %q, want %q", path, got, want)
		}
	})
}

func TestKeysLeadToTheirCustomer(t *testing.T) {
	// A key that finds the wrong customer, or any customer for an unknown key, would
	// let a caller act for somebody else.
	index := NewIndex(goodTable())
	assert.Equal(t, index.Customer("k2").Name, goodTable().Customers[0].Name)
	assert.Assert(t, index.Customer("k4") == nil)
	assert.Assert(t, index.NeedsKeys())
}

func TestEveryMistakeIsNamed(t *testing.T) {
	// An operator sends a table with several mistakes. If Check named one at a
	// time, each would cost the operator another attempt, and the fleet would keep
	// the old table meanwhile.
	assert.Assert(t, Check(goodTable()) == nil)
	bad := goodTable()
	bad.Routes[0].Timeout = 0
	bad.Routes[1].Split = []Share{{"nobody", 1}}
	bad.Routes[2].Split = []Share{{"desk", 0}}
	bad.Routes = append(bad.Routes, bad.Routes[0])
	bad.Customers[1].Keys = []string{"k1"}
	mistakes := Check(bad)
	assert.Equal(t, len(mistakes), 6, mistakes.Error())
}

func TestManyRoutesCostNoMoreThanFew(t *testing.T) {
	// Several hundred routes are added to one host. A lookup that searches all of
	// them would slow down every request of the fleet.
	table := &Table{}
	for i := range 1000 {
		table.Routes = append(table.Routes, Route{Name: fmt.Sprint(i), Host: "h", PathPrefix: fmt.Sprintf("/p%d/", i)})
	}
	index := NewIndex(table)
	assert.Equal(t, index.Route("h", "/p999/x").Name, "999")
	allocations := testing.AllocsPerRun(100, func() { index.Route("h", "/p999/x") })
	assert.Equal(t, allocations, 0.0)
}

package engineorders

import (
	"flag"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run checks the
// same cases. Another seed can be given with -rapid.seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "4")
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}

package daemon

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/settings"
)

// An operator leaves the team. That operator's key must stop working on a running router, and the
// successor's key must work, without a restart, which callers would notice.
func TestReloadPutsOperatorsInForce(t *testing.T) {
	f := newTestFleet(t)
	operators := func(key string) []settings.Operator {
		digest := sha256.Sum256([]byte(key))
		return []settings.Operator{{Name: "a", Role: settings.OperatorRead, KeySHA256: hex.EncodeToString(digest[:])}}
	}
	status := func(key string) int {
		request, err := http.NewRequest(http.MethodGet, "http://"+f.configs[0].Listen.Admin+"/admin/v1/status", nil)
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	changed := f.configs[0]
	for _, key := range []string{"first", "second"} {
		assert.Equal(t, status(key), http.StatusUnauthorized)
		changed.Operators = operators(key)
		assert.Equal(t, len(f.daemons[0].Reload(changed)), 0)
		assert.Equal(t, status(key), http.StatusOK)
	}
	assert.Equal(t, status("first"), http.StatusUnauthorized)
	changed.Load.Multiple = 2
	assert.DeepEqual(t, f.daemons[0].Reload(changed), []string{"load"})
}

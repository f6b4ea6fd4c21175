// Package layers checks which packages may use which.
package layers

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// root is the module's folder, seen from this package.
const root = "../.."

// forbidden are the beginnings of import paths that a layer may not use.
var forbidden = map[string][]string{
	// Decisions are stepped by tests and models without sockets and files.
	"coordination": {"net", "os", "endiveplank/transport", "endiveplank/daemon", "endiveplank/platform"},
	"protocol":     {"net/rpc", "os", "endiveplank/transport", "endiveplank/daemon", "endiveplank/coordination", "endiveplank/platform"},
	"state":        {"net", "endiveplank/transport", "endiveplank/daemon", "endiveplank/platform"},
	"transport":    {"endiveplank/daemon", "endiveplank/platform"},
	// A platform is translated in one place.
	"daemon":   {"endiveplank/platform"},
	"settings": {"endiveplank/transport", "endiveplank/daemon", "endiveplank/platform"},
}

func TestLayersUseOnlyWhatTheyMay(t *testing.T) {
	// Somebody takes a status code from net/http into a decision, later a
	// client, and the decision can't be stepped without a network any more.
	for layer, paths := range forbidden {
		err := filepath.WalkDir(filepath.Join(root, layer), func(file string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") {
				return err
			}
			checkImports(t, file, paths)
			return nil
		})
		assert.NilError(t, err)
	}
}

// checkImports complains of each forbidden import of a file.
func checkImports(t *testing.T, file string, paths []string) {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	assert.NilError(t, err)
	for _, spec := range parsed.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		assert.NilError(t, err)
		for _, bad := range paths {
			if path == bad || strings.HasPrefix(path, bad+"/") {
				t.Errorf("%s imports %s", file, path)
			}
		}
	}
}

// Package layers checks that no layer imports a package that is forbidden to it.
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

// root is the module's root, relative to this package.
const root = "../.."

// forbidden maps each layer to the prefixes of import paths that it must not use.
var forbidden = map[string][]string{
	// Tests and models run the decision code without sockets and files.
	"coordination": {"net", "os", "endiveplank/transport", "endiveplank/daemon", "endiveplank/platform"},
	"protocol":     {"net/rpc", "os", "endiveplank/transport", "endiveplank/daemon", "endiveplank/coordination", "endiveplank/platform"},
	"state":        {"net", "endiveplank/transport", "endiveplank/daemon", "endiveplank/platform"},
	"transport":    {"endiveplank/daemon", "endiveplank/platform"},
	// Only package platform knows the platform's names. The daemon gets a Dialect and
	// functions from the command instead.
	"daemon":   {"endiveplank/platform"},
	"settings": {"endiveplank/transport", "endiveplank/daemon", "endiveplank/platform"},
}

func TestLayersUseOnlyWhatTheyMay(t *testing.T) {
	// Somebody uses a status code of net/http in decision code, later an HTTP
	// client, and the decision code can't be tested without a network any more.
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

// checkImports reports each forbidden import of a file.
func checkImports(t *testing.T, file string, paths []string) {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	assert.NilError(t, err)
	for _, spec := range parsed.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		assert.NilError(t, err)
		for _, prefix := range paths {
			if path == prefix || strings.HasPrefix(path, prefix+"/") {
				t.Errorf("%s imports %s", file, path)
			}
		}
	}
}

package daemon

import (
	"bytes"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/daemon/metricstext"
	"endiveplank/settings"
	"endiveplank/tool"
)

func page(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile("../docs/" + name)
	assert.NilError(t, err)
	return string(raw)
}

// fieldPaths lists the JSON paths of a settings type as the page writes them.
func fieldPaths(prefix string, of reflect.Type) []string {
	switch of.Kind() {
	case reflect.Slice:
		if of.Elem().Kind() == reflect.Struct {
			return fieldPaths(prefix+"[]", of.Elem())
		}
	case reflect.Struct:
		var paths []string
		for i := range of.NumField() {
			name := of.Field(i).Tag.Get("json")
			if prefix != "" {
				name = prefix + "." + name
			}
			paths = append(paths, fieldPaths(name, of.Field(i).Type)...)
		}
		return paths
	}
	return []string{prefix}
}

func TestSettingsPageNamesEveryField(t *testing.T) {
	text := page(t, "SETTINGS.md")
	for _, path := range fieldPaths("", reflect.TypeFor[settings.Settings]()) {
		assert.Assert(t, strings.Contains(text, "`"+path+"`"), path)
	}
}

func TestReasonsPageNamesEveryCodeAndNoOther(t *testing.T) {
	source, err := os.ReadFile("../coordination/reason/reason.go")
	assert.NilError(t, err)
	text := page(t, "REASONS.md")
	codes := regexp.MustCompile(`Code = "(\w+)"`).FindAllSubmatch(source, -1)
	assert.Assert(t, len(codes) > 0)
	for _, code := range codes {
		assert.Assert(t, strings.Contains(text, "| `"+string(code[1])+"` |"), string(code[1]))
	}
	assert.Equal(t, strings.Count(text, "\n| `"), len(codes))
}

func TestMetricsPageNamesEveryMetric(t *testing.T) {
	f := newTestFleet(t)
	f.setUp()
	f.engine("e1", nil)
	f.call(0, "/svc/none", "")
	text := page(t, "METRICS.md")
	var scraped bytes.Buffer
	assert.NilError(t, f.daemons[0].WriteMetrics(&scraped))
	for line := range strings.Lines(scraped.String()) {
		name, _, _ := strings.Cut(strings.TrimPrefix(line, metricstext.Prefix), " ")
		family, labels, _ := strings.Cut(name, "{")
		label, _, labelled := strings.Cut(labels, "=")
		want := "`" + family + "`"
		if labelled {
			want = "`" + family + "{" + label + "}`"
		}
		assert.Assert(t, strings.Contains(text, want), line)
	}
	for _, row := range regexp.MustCompile("\\| `(\\w+)[`{]").FindAllStringSubmatch(text, -1) {
		assert.Assert(t, strings.Contains(scraped.String(), metricstext.Prefix+row[1]), row[1])
	}
}

func TestToolPageNamesEveryCommand(t *testing.T) {
	text := page(t, "TOOL.md")
	for _, command := range tool.NewCommand().Commands() {
		for _, sub := range append(command.Commands(), command) {
			path := "`" + sub.CommandPath()
			assert.Assert(t, strings.Contains(text, path), path)
		}
	}
}

func TestAdminPageNamesEveryCall(t *testing.T) {
	source, err := os.ReadFile("../transport/admin/admin.go")
	assert.NilError(t, err)
	text := page(t, "ADMIN.md")
	calls := regexp.MustCompile(`"((?:GET|POST) /[^"]+)"`).FindAllSubmatch(source, -1)
	assert.Assert(t, len(calls) > 0)
	for _, call := range calls {
		assert.Assert(t, strings.Contains(text, "`"+string(call[1])+"`"), string(call[1]))
	}
}

package metric

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// declared returns the constants of metric.go by name, with their values.
func declared(t *testing.T) map[string]string {
	file, err := parser.ParseFile(token.NewFileSet(), "metric.go", nil, 0)
	require.NoError(t, err)
	out := map[string]string{}
	for _, d := range file.Decls {
		g, ok := d.(*ast.GenDecl)
		if !ok || g.Tok != token.CONST {
			continue
		}
		for _, s := range g.Specs {
			v := s.(*ast.ValueSpec)
			out[v.Names[0].Name] = strings.Trim(v.Values[0].(*ast.BasicLit).Value, `"`)
		}
	}
	require.NotEmpty(t, out)
	return out
}

// Guards against a metric without a help text or without an entry in docs/OPERATIONS.md.
func TestEveryMetricIsDocumented(t *testing.T) {
	described := map[string]bool{}
	for _, d := range Descriptions() {
		require.NotEmpty(t, d.Help, d.Name)
		described[d.Name] = true
	}
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	require.NoError(t, err)
	for _, name := range declared(t) {
		require.True(t, described[name], "%s has no description in describe.go", name)
		require.True(t, strings.Contains(string(page), "`"+name+"`"), "docs/OPERATIONS.md does not describe %s", name)
	}
}

// Guards against a metric that is always zero because no code updates it.
func TestEveryMetricIsUpdated(t *testing.T) {
	var code strings.Builder
	err := filepath.WalkDir("..", func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		code.Write(text)
		return err
	})
	require.NoError(t, err)
	for name := range declared(t) {
		require.True(t, strings.Contains(code.String(), "metric."+name), "no code updates %s", name)
	}
}

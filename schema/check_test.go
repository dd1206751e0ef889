package schema

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/schemas"
)

func writeFile(t *testing.T, dir, name, text string) string {
	path := filepath.Join(dir, name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against a check that stops at the first fault or accepts a request kind that the dispatcher cannot serve.
func TestCheckReportsEveryFinding(t *testing.T) {
	dir := t.TempDir()
	a := writeFile(t, dir, "a.proto", `syntax = "proto3";
package p.v1;
import "cicadadale/options.proto";
message M {}
service Empty {}
service S {
  option (cicadadale.schema.v1.service) = {default_deadline_ms: -1};
  rpc Stream(stream M) returns (M);
  rpc Negative(M) returns (M) { option (cicadadale.schema.v1.request_kind) = {deadline_ms: -5}; }
  rpc Absurd(M) returns (M) { option (cicadadale.schema.v1.request_kind) = {deadline_ms: 99999999999, weight: 5000}; }
  rpc Slow(M) returns (M) { option (cicadadale.schema.v1.request_kind) = {deadline_ms: 100, expected_ms: 200}; }
}
`)
	b := writeFile(t, dir, "b.proto", `syntax = "proto3";
package q.v1;
import "cicadadale/options.proto";
message M {}
service T {
  rpc Bad(M) returns (Missing) { option (cicadadale.schema.v1.request_kind) = {colour: 1}; }
}
`)
	_, findings := LoadFiles(a, b)
	var lines []string
	for _, f := range findings {
		require.Positive(t, f.Column)
		lines = append(lines, strings.TrimPrefix(f.File, dir+"/")+":"+string(rune('0'+f.Line/10))+string(rune('0'+f.Line%10))+" "+f.Reason)
	}
	require.Len(t, lines, 8, strings.Join(lines, "\n"))
	require.Equal(t, []string{
		"a.proto:05 service has no request kinds",
		"a.proto:06 default_deadline_ms must not be negative",
		"a.proto:08 request kind Stream must not stream",
		"a.proto:09 deadline_ms must not be negative",
		"a.proto:10 deadline_ms of 99999999999 exceeds an hour (3600000)",
		"a.proto:10 weight of 5000 exceeds 1000",
		"a.proto:11 expected run time of 200ms exceeds the deadline of 100ms",
	}, lines[:7])
	require.Contains(t, lines[7], "b.proto:06")
}

// Guards against two files that declare the same service, one of which would silently override the other.
func TestCheckReportsDuplicateServices(t *testing.T) {
	dir := t.TempDir()
	a := writeFile(t, dir, "a.proto", schemas.Wakala)
	b := writeFile(t, dir, "b.proto", schemas.Wakala)
	_, findings := LoadFiles(a, b)
	require.NotEmpty(t, findings)
	require.Contains(t, findings[0].Reason, "wakala.v1")
	_, findings = LoadFiles(a, a)
	require.Len(t, findings, 1)
	require.Equal(t, "another schema file has the same name", findings[0].Reason)
}

// Guards against committed stubs that differ from the output of the generator.
func TestCommittedStubsAreUpToDate(t *testing.T) {
	for _, name := range []string{"glashaus", "wakala"} {
		dir := filepath.Join("..", "schemas")
		files, findings, err := GenerateFiles(filepath.Join(dir, name+".proto"))
		require.NoError(t, err)
		require.Empty(t, findings)
		require.Len(t, files, 2)
		for _, f := range files {
			committed, err := os.ReadFile(filepath.Join(dir, name, f.Name))
			require.NoError(t, err)
			require.Equal(t, string(committed), string(f.Content), f.Name)
		}
	}
}

// Guards against schema text that makes the compiler panic or is rejected without a reason.
func FuzzLoad(f *testing.F) {
	for _, seed := range []string{schemas.Glashaus, schemas.Wakala, "", "syntax = \"proto3\";", "service S { rpc A(B) returns (stream C); }", "import \"x.proto\";", "\x00", "edition = \"2023\"; message M { M m = 1; } service S { rpc A(M) returns (M) { option idempotency_level = IDEMPOTENT; } }"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		services, findings := Load(Source{"f.proto": text}, "f.proto")
		require.Equal(t, len(findings) > 0, len(services) == 0)
		for _, x := range findings {
			require.NotEmpty(t, x.Reason)
		}
	})
}

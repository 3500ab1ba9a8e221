// Package docs_test checks that the pages stay consistent with the code.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	testReference  = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]*)`")
	testDefinition = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]*)\(`)
	link           = regexp.MustCompile(`\]\(([^)#:]+\.md)[^)]*\)`)
)

// Each test that a page names as evidence must exist: it may have been renamed or
// removed since.
func TestNamedTestsExist(t *testing.T) {
	defined := map[string]bool{}
	walk(t, "..", "_test.go", func(_ string, b []byte) {
		for _, m := range testDefinition.FindAllSubmatch(b, -1) {
			defined[string(m[1])] = true
		}
	})
	walk(t, ".", ".md", func(f string, b []byte) {
		for _, m := range testReference.FindAllSubmatch(b, -1) {
			if !defined[string(m[1])] {
				t.Errorf("%s names %s, which no test file defines", f, m[1])
			}
		}
	})
}

// Links between pages must not break when a page is moved.
func TestLinksLeadToPages(t *testing.T) {
	walk(t, ".", ".md", func(f string, b []byte) {
		for _, m := range link.FindAllSubmatch(b, -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(f), string(m[1]))); err != nil {
				t.Errorf("%s links to %s: %v", f, m[1], err)
			}
		}
	})
}

func walk(t *testing.T, root, suffix string, f func(file string, content []byte)) {
	t.Helper()
	err := filepath.WalkDir(root, func(p string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(p, suffix) {
			return err
		}
		b, err := os.ReadFile(p)
		if err == nil {
			f(p, b)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

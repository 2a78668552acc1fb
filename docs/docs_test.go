// Package docs_test checks that the pages agree with the tree.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const root = ".."

// walk calls visit with the path of each file with the suffix, from the root.
func walk(t *testing.T, folder, suffix string, visit func(path string)) {
	t.Helper()
	err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.IsDir() && entry.Name() == ".git" {
			return fs.SkipDir
		}
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, suffix) {
			visit(path)
		}
		return err
	})
	assert.NilError(t, err)
}

func TestArchitectureNamesEveryInternalPackage(t *testing.T) {
	page, err := os.ReadFile("ARCHITECTURE.md")
	assert.NilError(t, err)
	folders := make(map[string]bool)
	walk(t, "internal", ".go", func(path string) {
		folder, _ := filepath.Rel(root, filepath.Dir(path))
		folders[filepath.ToSlash(folder)] = true
	})
	for folder := range folders {
		short := strings.TrimPrefix(folder, "internal/storage/")
		named := strings.Contains(string(page), "`"+folder+"`") || strings.Contains(string(page), "`"+short+"`")
		assert.Check(t, named, "%s has no line in the table of packages", folder)
	}
}

// link is the target of a Markdown link to a file of the tree.
var link = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)

func TestLinksLeadSomewhere(t *testing.T) {
	walk(t, ".", ".md", func(path string) {
		page, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, found := range link.FindAllStringSubmatch(string(page), -1) {
			target := filepath.Join(filepath.Dir(path), found[1])
			_, err := os.Stat(target)
			assert.Check(t, err == nil, "%s links to %s", path, found[1])
		}
	})
}

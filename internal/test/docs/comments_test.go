package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// pageReference matches a reference to a documentation page in a comment.
var pageReference = regexp.MustCompile(`docs/[A-Za-z0-9_/-]+\.md`)

func TestComments_NameOnlyPagesThatExist(t *testing.T) {
	for _, top := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(repository, top), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") {
				return err
			}
			content, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, page := range pageReference.FindAllString(string(content), -1) {
				_, err := os.Stat(filepath.Join(repository, page))
				assert.Check(t, err == nil, "%s names %s, which does not exist", path, page)
			}
			return nil
		})
		assert.NilError(t, err)
	}
}

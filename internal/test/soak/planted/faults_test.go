package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// root is the folder of the repository, seen from this package.
const root = "../../../.."

// Guards against faults that are no longer planted since the code that they edit has changed.
func TestFaults_EditsFitTheSources(t *testing.T) {
	for _, planted := range faults {
		for _, change := range planted.edits {
			content, err := os.ReadFile(filepath.Join(root, change.file))
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(string(content), change.old), 1, "%s: %q", planted.name, change.old)
		}
	}
}

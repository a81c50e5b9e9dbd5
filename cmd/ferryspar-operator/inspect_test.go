package main

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/cli"
	"ferryspar/internal/keystore"
)

const testSegmentBytes = 64 << 10

// writeStoppedMember writes the data directory of a member that was started twice.
func writeStoppedMember(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "data", "member")
	members := keystore.Membership{Version: 4, Current: []string{"10.1.0.1:7000", "10.2.0.1:7000"}}
	for incarnation := range 2 {
		directory, err := keystore.NewDirectory(path)
		assert.NilError(t, err)
		wal, err := keystore.OpenWAL(directory, keystore.SegmentCount, testSegmentBytes)
		assert.NilError(t, err)
		assert.NilError(t, wal.Append(keystore.BootstrapRegisters(members, 77)))
		configuration := keystore.Register{
			Key:      keystore.ConfigurationKey,
			Sequence: uint64(5 + incarnation),
			Value:    json.RawMessage(`{"revision":9}`),
		}
		assert.NilError(t, wal.Append([]keystore.Register{configuration}))
	}
	return path
}

func runInspect(path string, asJSON bool) (string, error) {
	app, stdout := newTestApplication()
	app.options.JSON = asJSON
	command := &inspectCommand{app: app}
	command.Args.Directory = path
	err := command.Execute(nil)
	return stdout.String(), err
}

func readFiles(t *testing.T, path string) map[string]string {
	contents := map[string]string{}
	assert.NilError(t, filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		content, err := os.ReadFile(name)
		contents[name] = string(content)
		return err
	}))
	return contents
}

func TestInspect_PrintsKeysAndFilesWithoutWriting(t *testing.T) {
	path := writeStoppedMember(t)
	before := readFiles(t, path)
	output, err := runInspect(path, false)
	assert.NilError(t, err)
	expectedTexts := []string{
		"generation 2 (base 1)", `self {"incarnation":77,"voting":true,"number":4}`,
		`"present":["10.1.0.1:7000","10.2.0.1:7000"]`, "ring-2", keystore.ConfigurationKey, "sequence=6",
	}
	for _, expected := range expectedTexts {
		assert.Assert(t, strings.Contains(output, expected), "%s in %s", expected, output)
	}
	encoded, err := runInspect(path, true)
	assert.NilError(t, err)
	var inspection keystore.Inspection
	assert.NilError(t, json.Unmarshal([]byte(encoded), &inspection))
	assert.Equal(t, inspection.Generation, uint64(2))
	assert.Equal(t, len(inspection.Registers), 3)
	for _, register := range inspection.Registers {
		assert.Equal(t, len(register.Value), 0, "values may contain tenants' keys, so they are printed only with --values")
	}
	assert.DeepEqual(t, readFiles(t, path), before)
}

func TestInspect_ReportsDamage(t *testing.T) {
	path := writeStoppedMember(t)
	assert.NilError(t, os.Remove(filepath.Join(path, "ring-2")))
	before := readFiles(t, path)
	for _, asJSON := range []bool{false, true} {
		output, err := runInspect(path, asJSON)
		assert.Equal(t, exitStatus(err), exitDamaged)
		assert.ErrorContains(t, err, "ring-2: file missing")
		assert.Assert(t, strings.Contains(output, "missing"), output)
	}
	assert.DeepEqual(t, readFiles(t, path), before)
}

func TestInspect_RejectsOtherDirectories(t *testing.T) {
	empty, foreign := t.TempDir(), t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(foreign, "ring-1"), []byte("a ring of another kind"), 0o600))
	file := filepath.Join(foreign, "ring-1")
	cases := map[string]error{
		filepath.Join(empty, "none"): keystore.ErrNoDirectory,
		empty:                        keystore.ErrEmptyDirectory,
		foreign:                      keystore.ErrForeignDirectory,
		file:                         keystore.ErrNotDirectory,
	}
	for path, expected := range cases {
		_, err := runInspect(path, false)
		assert.Assert(t, errors.Is(err, expected), "%s: %v", path, err)
		assert.Equal(t, exitStatus(err), cli.ExitFailed)
	}
	assert.Equal(t, len(readFiles(t, empty)), 0)
}

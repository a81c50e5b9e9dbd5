// Package pinned compares the output of this version (messages, records on disk, replies to operators) with golden files under
// testdata, so that an accidental format change fails a test.
//
// Golden files contain no Go identifiers: a renaming in the code does not affect them, whereas a changed JSON name, an
// omitted field or another order of fields does. After an intended change, run the tests with FERRYSPAR_UPDATE_PINNED=1 and
// review the diff of the golden files.
package pinned

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// updateVariable is the environment variable that, set to 1, makes tests write golden files instead of comparing them.
const updateVariable = "FERRYSPAR_UPDATE_PINNED"

const (
	folderMode = 0o755
	fileMode   = 0o644
)

// Updating reports whether golden files are to be written instead of compared.
func Updating() bool { return os.Getenv(updateVariable) == "1" }

// Messages maps labels to pointers to zero values of the types whose JSON is compared. A label is not a Go identifier, so that
// it does not change with a renaming.
type Messages map[string]any

// forms holds the golden JSON of one type. Its zero value shows which fields are omitted when empty.
type forms struct {
	Zero   json.RawMessage
	Filled json.RawMessage
}

// CheckMessages fails the test if any type's JSON differs from the golden file, or changes when it is decoded and encoded
// again.
func CheckMessages(t testing.TB, golden string, messages Messages) {
	t.Helper()
	present, err := marshalAll(messages)
	if err != nil {
		t.Fatal(err)
	}
	if Updating() {
		write(t, golden, formatForms(present))
		return
	}
	content, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if err := CompareMessages(content, messages); err != nil {
		t.Errorf("%s: %v", golden, err)
	}
}

// CompareMessages returns an error that names every label whose JSON differs from the content of a golden file.
func CompareMessages(content []byte, messages Messages) error {
	var golden map[string]forms
	if err := json.Unmarshal(content, &golden); err != nil {
		return err
	}
	present, err := marshalAll(messages)
	if err != nil {
		return err
	}
	var differences []string
	for _, label := range slices.Sorted(maps.Keys(golden)) {
		if _, known := present[label]; !known {
			differences = append(differences, label+": in the golden file, but not compared with any type")
		}
	}
	for _, label := range slices.Sorted(maps.Keys(present)) {
		differences = append(differences, compareForms(label, golden[label], present[label], messages[label])...)
	}
	if len(differences) > 0 {
		return fmt.Errorf("differs from the golden file:\n%s", strings.Join(differences, "\n"))
	}
	return nil
}

// compareForms returns the differences of one type from its golden JSON, and those after decoding and encoding that again.
func compareForms(label string, golden, present forms, sample any) []string {
	var differences []string
	compare := func(form string, want, got []byte) {
		if !bytes.Equal(want, got) {
			differences = append(differences, fmt.Sprintf("%s, %s:\n  golden  %s\n  present %s", label, form, want, got))
		}
	}
	compare("zero", golden.Zero, present.Zero)
	compare("filled", golden.Filled, present.Filled)
	decoded := reflect.New(reflect.TypeOf(sample).Elem()).Interface()
	if err := json.Unmarshal(golden.Filled, decoded); err != nil {
		return append(differences, fmt.Sprintf("%s, decoding: %v", label, err))
	}
	encoded, err := json.Marshal(decoded)
	if err != nil {
		return append(differences, fmt.Sprintf("%s, encoding again: %v", label, err))
	}
	compare("decoded and encoded again", golden.Filled, encoded)
	return differences
}

// marshalAll returns the JSON of the zero and the filled value of each type. It does not modify the samples.
func marshalAll(messages Messages) (map[string]forms, error) {
	all := map[string]forms{}
	for label, sample := range messages {
		value := reflect.New(reflect.TypeOf(sample).Elem()).Interface()
		zero, err := json.Marshal(value)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", label, err)
		}
		Fill(value)
		filled, err := json.Marshal(value)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", label, err)
		}
		all[label] = forms{Zero: zero, Filled: filled}
	}
	return all, nil
}

// formatForms returns the content of a golden file, with one line for each form, sorted by label.
func formatForms(all map[string]forms) []byte {
	var lines []string
	for _, label := range slices.Sorted(maps.Keys(all)) {
		lines = append(lines, fmt.Sprintf("%q: {\n \"zero\": %s,\n \"filled\": %s\n}", label, all[label].Zero, all[label].Filled))
	}
	return []byte("{\n" + strings.Join(lines, ",\n") + "\n}\n")
}

// CheckFile fails the test if the content differs from that of the golden file.
func CheckFile(t testing.TB, golden string, content []byte) {
	t.Helper()
	if Updating() {
		write(t, golden, content)
		return
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(want, content) {
		t.Errorf("content differs from %s:\ngolden:\n%s\npresent:\n%s", golden, want, content)
	}
}

// CheckJSON fails the test if the value's indented JSON differs from the golden file.
func CheckJSON(t testing.TB, golden string, value any) {
	t.Helper()
	content, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	CheckFile(t, golden, append(content, '\n'))
}

func write(t testing.TB, golden string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(golden), folderMode); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(golden, content, fileMode); err != nil {
		t.Fatal(err)
	}
}

// Package pinned compares what this version writes (messages, records on disk, answers to operators) with golden files
// under testdata, so that a change of it by accident fails a test.
//
// Goldens hold no Go identifiers: a renaming in the code leaves them as they are, whereas a changed JSON name, an
// omitted field or another order of fields does not. After a change that is meant, run the tests with
// FERRYSPAR_UPDATE_PINNED=1 and read the difference of the goldens.
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

// updateVariable makes the goldens be written instead of compared, if it is 1.
const updateVariable = "FERRYSPAR_UPDATE_PINNED"

const (
	folderMode = 0o755
	fileMode   = 0o644
)

// Updating says whether goldens are to be written instead of compared.
func Updating() bool { return os.Getenv(updateVariable) == "1" }

// Messages names values of the types whose JSON is pinned: pointers to zero values by a label that is no Go identifier.
type Messages map[string]any

// forms is what is pinned of one type: its zero value shows which fields are left out when empty.
type forms struct {
	Zero   json.RawMessage
	Filled json.RawMessage
}

// CheckMessages fails the test if any type's JSON differs from the golden file, or doesn't survive being read and
// written again.
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
func CompareMessages(golden []byte, messages Messages) error {
	var pinned map[string]forms
	if err := json.Unmarshal(golden, &pinned); err != nil {
		return err
	}
	present, err := marshalAll(messages)
	if err != nil {
		return err
	}
	var faults []string
	for _, label := range slices.Sorted(maps.Keys(pinned)) {
		if _, known := present[label]; !known {
			faults = append(faults, label+": pinned, but not compared with anything")
		}
	}
	for _, label := range slices.Sorted(maps.Keys(present)) {
		faults = append(faults, compareForms(label, pinned[label], present[label], messages[label])...)
	}
	if len(faults) > 0 {
		return fmt.Errorf("differs from what is pinned:\n%s", strings.Join(faults, "\n"))
	}
	return nil
}

// compareForms returns the differences of one type, and those after its golden was read and written again.
func compareForms(label string, pinned, present forms, sample any) []string {
	var faults []string
	compare := func(form string, want, got []byte) {
		if !bytes.Equal(want, got) {
			faults = append(faults, fmt.Sprintf("%s, %s:\n  pinned  %s\n  present %s", label, form, want, got))
		}
	}
	compare("zero", pinned.Zero, present.Zero)
	compare("filled", pinned.Filled, present.Filled)
	again := reflect.New(reflect.TypeOf(sample).Elem()).Interface()
	if err := json.Unmarshal(pinned.Filled, again); err != nil {
		return append(faults, fmt.Sprintf("%s, read again: %v", label, err))
	}
	rewritten, err := json.Marshal(again)
	if err != nil {
		return append(faults, fmt.Sprintf("%s, written again: %v", label, err))
	}
	compare("read and written again", pinned.Filled, rewritten)
	return faults
}

// marshalAll returns the JSON of the zero and the filled value of each type. The samples stay as they are.
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

// formatForms writes a golden file with one line for each form, in the order of the labels.
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
	pinned, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(pinned, content) {
		t.Errorf("%s differs from what is pinned:\npinned:\n%s\npresent:\n%s", golden, pinned, content)
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

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"ferryspar/internal/keystore"
)

// inspectCommand reads a stopped member's data directory. It sends no requests and writes no files.
type inspectCommand struct {
	app    *application
	Values bool `long:"values" description:"also print the values; the configuration contains tenants' keys"`
	Args   struct {
		Directory string `positional-arg-name:"DIR" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the state in the directory. It returns an error with exitDamaged if the state is damaged.
func (i *inspectCommand) Execute([]string) error {
	inspection, err := keystore.Inspect(i.Args.Directory)
	if err != nil {
		return errors.Wrap(err, "inspect DIR")
	}
	if !i.Values {
		inspection.RedactValues()
	}
	if i.app.options.JSON {
		if err := i.app.printJSON(inspection); err != nil {
			return err
		}
	} else {
		i.app.printInspection(inspection, i.Values)
	}
	if inspection.Damage != nil {
		return newExitError(exitDamaged, "data directory is damaged: %s", inspection.Damage)
	}
	return nil
}

func (a *application) printInspection(inspection keystore.Inspection, withValues bool) {
	a.printf("generation %d (base %d)\n", inspection.Generation, inspection.Base)
	a.printf("self %s\n", orNone(inspection.LocalState))
	a.printf("members %s\n", orNone(inspection.Membership))
	newSegmentTable(inspection.Files).write(a.stdout)
	newRegisterTable(inspection.Registers).write(a.stdout)
	if withValues {
		a.printValues(inspection.Registers)
	}
	if inspection.Undecodable > 0 {
		fmt.Fprintf(a.stderr, "%d records are complete but cannot be decoded\n", inspection.Undecodable)
	}
}

func (a *application) printValues(registers []keystore.RegisterInspection) {
	for _, register := range registers {
		a.printf("\n%s\n%s\n", register.Key, orNone(register.Value))
	}
}

func newSegmentTable(segments []keystore.SegmentInspection) *table {
	files := newTable("files", "name", "state", "generation", "base", "records", "used", "bytes")
	for _, segment := range segments {
		files.addRow(
			segment.Name,
			strings.ReplaceAll(string(segment.State), " ", "_"),
			segment.Generation,
			segment.Base,
			segment.Records,
			segment.Used,
			segment.Bytes,
		)
	}
	return files
}

func newRegisterTable(registers []keystore.RegisterInspection) *table {
	keys := newTable("keys", "key", "value_bytes", "fields")
	for _, register := range registers {
		keys.addRow(register.Key, register.ValueBytes, formatFields(register.Fields))
	}
	return keys
}

// formatFields returns the fields as name=value, sorted by name.
func formatFields(fields map[string]json.RawMessage) string {
	var formatted []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		formatted = append(formatted, name+"="+string(fields[name]))
	}
	return strings.Join(formatted, " ")
}

func orNone(content json.RawMessage) string {
	if len(content) == 0 {
		return "none"
	}
	return string(content)
}

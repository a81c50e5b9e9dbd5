package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"ferryspar/internal/keystore"
)

// inspectCommand reads a stopped member's data folder; it asks no daemon and writes nothing.
type inspectCommand struct {
	Values bool `long:"values" description:"print the values as well; that of the configuration holds tenants' keys"`
	Args   struct {
		Folder string `positional-arg-name:"DIR" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the folder, and ends with exitDamaged if damage was found in it.
func (i *inspectCommand) Execute([]string) error {
	inspection, err := keystore.Inspect(i.Args.Folder)
	if err != nil {
		return err
	}
	if options.JSON {
		if !i.Values {
			inspection.DropValues()
		}
		content, err := json.Marshal(inspection)
		if err != nil {
			return err
		}
		fmt.Println(string(content))
	} else {
		i.print(inspection)
	}
	if inspection.Damage != nil {
		return exitError{exitDamaged, "damaged: " + inspection.Damage.Error()}
	}
	return nil
}

func (i *inspectCommand) print(inspection keystore.Inspection) {
	fmt.Printf("generation %d (base %d)\n", inspection.Generation, inspection.Base)
	fmt.Printf("self %s\nmembers %s\n", orNone(inspection.LocalState), orNone(inspection.Membership))
	printTable("files", "name state generation base records used bytes", func(addRow func(...any)) {
		for _, file := range inspection.Files {
			state := strings.ReplaceAll(string(file.State), " ", "_")
			addRow(file.Name, state, file.Generation, file.Base, file.Records, file.Used, file.Bytes)
		}
	})
	printTable("keys", "key value_bytes fields", func(addRow func(...any)) {
		for _, slot := range inspection.Registers {
			addRow(slot.Key, slot.ValueBytes, formatFields(slot.Fields))
		}
	})
	if i.Values {
		for _, slot := range inspection.Registers {
			fmt.Printf("\n%s\n%s\n", slot.Key, orNone(slot.Value))
		}
	}
	if inspection.Undecodable > 0 {
		fmt.Fprintf(os.Stderr, "%d records are whole but are not slots\n", inspection.Undecodable)
	}
}

func formatFields(fields map[string]json.RawMessage) string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		words = append(words, name+"="+string(fields[name]))
	}
	return strings.Join(words, " ")
}

func orNone(content json.RawMessage) string {
	if len(content) == 0 {
		return "none"
	}
	return string(content)
}

package main

import (
	"fmt"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"ferryspar/internal/test/pinned"
)

func TestDaemonStatus_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{"status of a daemon": new(daemonStatus)})
}

func TestOutcome_ExitStatusesStayTheSame(t *testing.T) {
	assert.DeepEqual(t, []int{exitPartial, exitGuard, exitRejected, exitDamaged}, []int{4, 5, 6, 7})
}

// optionsOf lists the options of a group and of the groups within it.
func optionsOf(group *flags.Group) []string {
	var told []string
	for _, option := range group.Options() {
		short := ""
		if option.ShortName != 0 {
			short = string(option.ShortName)
		}
		told = append(told, fmt.Sprintf("short=%s long=%s default=%v", short, option.LongName, option.Default))
	}
	for _, inner := range group.Groups() {
		told = append(told, optionsOf(inner)...)
	}
	return told
}

func TestCommands_NamesAndOptionsStayTheSame(t *testing.T) {
	parser := flags.NewParser(&globalOptions{}, flags.None)
	told := map[string][]string{"all": optionsOf(parser.Group)}
	for _, one := range subcommands {
		added, err := parser.AddCommand(one.name, one.short, one.short, one.handler)
		assert.NilError(t, err)
		options := optionsOf(added.Group)
		for _, argument := range added.Args() {
			options = append(options, fmt.Sprintf("argument=%s required=%d", argument.Name, argument.Required))
		}
		told["command "+one.name] = options
	}
	pinned.CheckJSON(t, "testdata/commands.json", told)
}

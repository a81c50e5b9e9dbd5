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

func TestExitStatuses_StayTheSame(t *testing.T) {
	assert.DeepEqual(t, []int{exitPartial, exitGuard, exitRejected, exitDamaged}, []int{4, 5, 6, 7})
}

// optionsOf lists the options of a group and of the groups within it.
func optionsOf(group *flags.Group) []string {
	var described []string
	for _, option := range group.Options() {
		short := ""
		if option.ShortName != 0 {
			short = string(option.ShortName)
		}
		described = append(described, fmt.Sprintf("short=%s long=%s default=%v", short, option.LongName, option.Default))
	}
	for _, inner := range group.Groups() {
		described = append(described, optionsOf(inner)...)
	}
	return described
}

func TestCommands_NamesAndOptionsStayTheSame(t *testing.T) {
	parser, err := newParser(&application{})
	assert.NilError(t, err)
	actual := map[string][]string{"all": optionsOf(parser.Group)}
	for _, command := range parser.Commands() {
		options := optionsOf(command.Group)
		for _, argument := range command.Args() {
			options = append(options, fmt.Sprintf("argument=%s required=%d", argument.Name, argument.Required))
		}
		for _, name := range append([]string{command.Name}, command.Aliases...) {
			actual["command "+name] = options
		}
	}
	pinned.CheckJSON(t, "testdata/commands.json", actual)
}

package main

import (
	"fmt"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"ferryspar/internal/test/pinned"
)

func TestControlPlaneStatus_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{"status of a daemon": new(controlPlaneStatus)})
}

func TestExitStatuses_StayTheSame(t *testing.T) {
	assert.DeepEqual(t, []int{exitPartial, exitGuard, exitRejected, exitDamaged}, []int{4, 5, 6, 7})
}

// optionsOf describes the options of a group and of its subgroups.
func optionsOf(group *flags.Group) []string {
	var descriptions []string
	for _, option := range group.Options() {
		short := ""
		if option.ShortName != 0 {
			short = string(option.ShortName)
		}
		descriptions = append(descriptions, fmt.Sprintf("short=%s long=%s default=%v", short, option.LongName, option.Default))
	}
	for _, subgroup := range group.Groups() {
		descriptions = append(descriptions, optionsOf(subgroup)...)
	}
	return descriptions
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

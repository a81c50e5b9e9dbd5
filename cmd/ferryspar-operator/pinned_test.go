package main

import (
	"fmt"
	"net/http"
	"strings"
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
	var listed []string
	for _, option := range group.Options() {
		short := ""
		if option.ShortName != 0 {
			short = string(option.ShortName)
		}
		listed = append(listed, fmt.Sprintf("short=%s long=%s default=%v", short, option.LongName, option.Default))
	}
	for _, inner := range group.Groups() {
		listed = append(listed, optionsOf(inner)...)
	}
	return listed
}

func TestCommands_NamesAndOptionsStayTheSame(t *testing.T) {
	parser := flags.NewParser(&globalOptions{}, flags.None)
	pinnedOptions := map[string][]string{"all": optionsOf(parser.Group)}
	for _, command := range subcommands {
		added, err := parser.AddCommand(command.name, command.short, command.long, command.handler)
		assert.NilError(t, err)
		options := optionsOf(added.Group)
		for _, argument := range added.Args() {
			options = append(options, fmt.Sprintf("argument=%s required=%d", argument.Name, argument.Required))
		}
		for _, name := range append([]string{command.name}, command.aliases...) {
			pinnedOptions["command "+name] = options
		}
	}
	pinned.CheckJSON(t, "testdata/commands.json", pinnedOptions)
}

func TestCommands_LayoutIsAnAliasOfConfiguration(t *testing.T) {
	parser, err := newParser()
	assert.NilError(t, err)
	assert.Equal(t, parser.Find("layout"), parser.Find("configuration"))
	assert.Assert(t, parser.Find("layout") != nil)
	for _, name := range []string{"layout", "configuration"} {
		requests := serveAnswers(t, http.StatusOK, map[string]int{"revision": 7})
		control := options.Control[0]
		printed, err := captureOutput(t, func() error {
			_, err := parser.ParseArgs([]string{"-c", control, name})
			return err
		})
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(printed, `"revision":7`), printed)
		assert.DeepEqual(t, *requests, []string{"GET /ferryspar/config "})
	}
}

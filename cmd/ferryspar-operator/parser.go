package main

import (
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"ferryspar/internal/cli"
	"ferryspar/internal/coordination"
)

// globalOptions are the options of every command.
type globalOptions struct {
	Control           []string      `short:"c" long:"control" description:"HOST:PORT of a control daemon; several are tried in turn"`
	PerAddressTimeout time.Duration `long:"patience" default:"1s" description:"timeout for one daemon, after which the next one is tried"`
	Timeout           time.Duration `long:"bound" default:"15s" description:"timeout of the whole call with all its attempts"`
	JSON              bool          `long:"json" description:"print JSON instead of text, as the control daemon sent it"`
}

// fileArgument is the positional argument of commands that read one file.
type fileArgument struct {
	Path string `positional-arg-name:"FILE" required:"yes"`
}

// command is one command of the program.
type command struct {
	name    string
	aliases []string
	// short is the line in the list of commands, long the text of the command's own help.
	short, long string
	// handler holds the command's options and runs it.
	handler flags.Commander
}

// commands returns all commands, to be run for app. Names and options are fixed, because operators' scripts use them.
func commands(app *application) []command {
	return []command{
		{
			name:    "configuration",
			aliases: []string{"layout"},
			short:   "print the newest configuration",
			long:    "Prints the newest configuration as JSON, with a digest in place of each tenant's key unless --keys is given.",
			handler: &configurationCommand{app: app},
		},
		{
			name:  "put",
			short: "replace the configuration by a file's",
			long: "Checks the configuration in FILE and makes it the fleet's. It is rejected if the newest configuration does not " +
				"have the revision given by --on.",
			handler: &putCommand{app: app},
		},
		{
			name:  "patch",
			short: "change named items of the configuration",
			long: "Adds, replaces and deletes the items of the configuration that are named in FILE. It is rejected if the newest " +
				"configuration does not have the revision given by --on.",
			handler: &patchCommand{app: app},
		},
		{
			name:    "check",
			short:   "check a configuration file without sending it",
			long:    "Checks the configuration in FILE as put does, without a control daemon.",
			handler: &checkCommand{app: app},
		},
		{
			name:    "tenants",
			short:   "list the tenants, their limits and the digests of their keys",
			long:    "Lists the tenants of the newest configuration with their limits and the digests of their keys, never the keys.",
			handler: &tenantsCommand{app: app},
		},
		{
			name:    "drain",
			short:   "send no new requests to a zone's replicas",
			long:    "Drains ZONE: its replicas get no new requests until undrain.",
			handler: &drainCommand{app: app, method: http.MethodPost},
		},
		{
			name:    "undrain",
			short:   "end the draining of a zone",
			long:    "Ends the draining of ZONE: its replicas get requests again.",
			handler: &drainCommand{app: app, method: http.MethodDelete},
		},
		{
			name:    "retention",
			short:   "print or set how long cached context may live",
			long:    "Prints how long cached context may live, after setting it if --life is given.",
			handler: &retentionCommand{app: app},
		},
		{
			name:  "forget",
			short: "delete cached context and show the progress",
			long: "Has every node delete cached context: that of a model, that with a prompt part, or all. Deletion goes on when " +
				"the command has ended; --list and --watch show how far it is.",
			handler: &forgetCommand{app: app},
		},
		{
			name:  "rehearse",
			short: "rehearse the loss of a region or zone",
			long: "Forecasts what the loss of REGION, or of a zone, would do to the requests of late. With --drill the fleet does " +
				"without it for a share of new requests. Exit status 4 says that a forecast lacks nodes, 5 that a guard ended the " +
				"drill, 6 that the control plane rejected the call.",
			handler: &rehearseCommand{app: app},
		},
		{
			name:  "locks",
			short: "list the applications' locks, or show who holds one",
			long: "Lists the locks of applications with their owners, the control planes that decide on them. With NAME, shows who " +
				"holds that lock, since when, with which fence and for how long.",
			handler: &itemsCommand{app: app, kind: coordination.KindLock},
		},
		{
			name:    "numbers",
			short:   "list the applications' counters, or show one",
			long:    "Lists the counters of applications with their owners. With NAME, shows the last number of that counter.",
			handler: &itemsCommand{app: app, kind: coordination.KindCounter},
		},
		{
			name:    "keys",
			short:   "list the applications' groups of keys, or show one",
			long:    "Lists the groups of keys with their owners. With NAME, a group with its dot, shows its revision and what is kept.",
			handler: &itemsCommand{app: app, kind: coordination.KindGroup},
		},
		{
			name:    "watchers",
			short:   "count the watches that wait at each control daemon named",
			long:    "Prints for each control daemon named how many watches wait there, by group.",
			handler: &watchersCommand{app: app},
		},
		{
			name:  "release-lock",
			short: "take a lock from its holder",
			long: "Frees LOCK and raises its fence. The holder may count on the lock until its time is over: only what checks fences " +
				"rejects it. Use it when the holder is known to be gone.",
			handler: &releaseLockCommand{app: app},
		},
		{
			name:  "query",
			short: "answer a SQL query about the fleet (docs/operating.md lists the tables)",
			long: "Answers one SELECT statement about the fleet's state and configuration. The tables are in docs/operating.md, and " +
				"in the error for an unknown one.",
			handler: &queryCommand{app: app},
		},
		{
			name:  "inspect",
			short: "read a stopped member's data directory without changing it",
			long: "Prints the state in a stopped member's data directory DIR, without a control daemon and without changing a file. " +
				"Exit status 7 says that the state is damaged, so that the member would not use it.",
			handler: &inspectCommand{app: app},
		},
		{
			name:  "status",
			short: "print the fleet as one control daemon sees it",
			long: "Prints the fleet as the first control daemon that answers sees it. With --all, prints for each daemon named whether " +
				"it votes and how recent its state is.",
			handler: &statusCommand{app: app},
		},
	}
}

// newParser returns the parser of the command line, which fills app.options and runs the command that was named.
func newParser(app *application) (*flags.Parser, error) {
	parser := flags.NewParser(&app.options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = programName
	parser.LongDescription = "Reads and changes a fleet through its control plane. Version " + cli.Version + "."
	for _, command := range commands(app) {
		added, err := parser.AddCommand(command.name, command.short, command.long, command.handler)
		if err != nil {
			return nil, errors.Wrapf(err, "command %s", command.name)
		}
		added.Aliases = command.aliases
	}
	return parser, nil
}

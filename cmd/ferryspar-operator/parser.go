package main

import (
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"ferryspar/internal/cli"
	"ferryspar/internal/coordination"
)

// globalOptions are the options that all commands share.
type globalOptions struct {
	ControlPlanes     []string      `short:"c" long:"control" description:"HOST:PORT of a control plane; if repeated, tried in turn"`
	PerAddressTimeout time.Duration `long:"patience" default:"1s" description:"timeout of one attempt, then the next address is tried"`
	Timeout           time.Duration `long:"bound" default:"15s" description:"timeout of the whole call with all its attempts"`
	JSON              bool          `long:"json" description:"print JSON instead of text, as the control plane sent it"`
}

// fileArgument is the positional argument of commands that read one file.
type fileArgument struct {
	Path string `positional-arg-name:"FILE" required:"yes"`
}

// command describes one command of the program.
type command struct {
	name    string
	aliases []string
	// short is the summary in the list of commands, long the text of the command's help.
	short, long string
	// handler has the command's options and runs it.
	handler flags.Commander
}

// commands returns all commands of app. Their names and options are fixed, as operators' scripts use them.
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
			short: "replace the configuration with a file",
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
			long:    "Checks the configuration in FILE as put does, without a control plane.",
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
			long: "Has every node delete cached context: that of a model, that with a prompt part, or all. Deletion continues after " +
				"the command has ended; --list and --watch show its progress.",
			handler: &forgetCommand{app: app},
		},
		{
			name:  "rehearse",
			short: "rehearse the loss of a region or zone",
			long: "Forecasts how the loss of REGION, or of a zone, would affect recent requests. With --drill, all nodes avoid it " +
				"for a share of new requests. Exit status 4 means that a forecast lacks nodes, 5 that a guard ended the drill, " +
				"6 that the control plane rejected the request.",
			handler: &rehearseCommand{app: app},
		},
		{
			name:  "locks",
			short: "list the applications' locks, or show who holds one",
			long: "Lists the locks of applications with their owners, the control planes that manage them. With NAME, shows who " +
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
			long:    "Lists the groups of keys with their owners. With NAME (including its dot), shows the group's revision and history.",
			handler: &itemsCommand{app: app, kind: coordination.KindGroup},
		},
		{
			name:    "watchers",
			short:   "count the open watches at each control plane given",
			long:    "Prints the number of open watches at each control plane given, by group.",
			handler: &watchersCommand{app: app},
		},
		{
			name:  "release-lock",
			short: "forcibly release a lock",
			long: "Releases LOCK and raises its fence. The holder may rely on the lock until it expires: only resources that check " +
				"fences reject it. Use this when the holder is known to have ended.",
			handler: &releaseLockCommand{app: app},
		},
		{
			name:  "query",
			short: "run a SQL query about the fleet (docs/operating.md lists the tables)",
			long: "Runs one SELECT statement on the fleet's state and configuration. The tables are listed in docs/operating.md, and " +
				"in the error for an unknown table.",
			handler: &queryCommand{app: app},
		},
		{
			name:  "inspect",
			short: "read a stopped member's data directory without changing it",
			long: "Prints the state in a stopped member's data directory DIR, without a control plane and without changing a file. " +
				"Exit status 7 means that the state is damaged, so that the member would not use it.",
			handler: &inspectCommand{app: app},
		},
		{
			name:  "status",
			short: "print the fleet as one control plane sees it",
			long: "Prints the fleet as seen by the first control plane that responds. With --all, prints for each control plane given " +
				"whether it votes and how recent its state is.",
			handler: &statusCommand{app: app},
		},
	}
}

// newParser returns the parser of the command line, which sets app.options and runs the command that is given.
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

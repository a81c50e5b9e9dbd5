package main

import "net/http"

// subcommand is a command of the program.
type subcommand struct {
	name string
	// aliases are further names that it is known by.
	aliases []string
	// short is its line in the list of commands, long its own help text.
	short string
	long  string
	// handler holds the command's options; it implements flags.Commander.
	handler any
}

var subcommands = []subcommand{
	{
		name:    "configuration",
		aliases: []string{"layout"},
		short:   "print the newest configuration",
		long: "Prints the configuration in force as a majority of members confirms it. " +
			"Tenants' keys are shown as digests unless --keys is given.",
		handler: &configurationCommand{},
	},
	{
		name:  "put",
		short: "replace the configuration by a file's",
		long: "Checks FILE and replaces the configuration by it if the revision in force is the one given by --on. " +
			"It prints \"acknowledged\" once the change is committed.",
		handler: &putCommand{},
	},
	{
		name:    "patch",
		short:   "change named items of the configuration",
		long:    "Changes the items that FILE names, if the revision in force is the one given by --on, and leaves all others as they are.",
		handler: &patchCommand{},
	},
	{
		name:    "check",
		short:   "check a configuration file here, asking nobody",
		long:    "Checks FILE by the rules of put. It needs no control plane and sends nothing.",
		handler: &checkCommand{},
	},
	{
		name:    "tenants",
		short:   "list the tenants, their limits and the digests of their keys",
		long:    "Lists the tenants of the configuration in force. Keys are never printed.",
		handler: &tenantsCommand{},
	},
	{
		name:    "drain",
		short:   "send nothing more to a zone's replicas",
		long:    "Evacuates ZONE: data planes send its replicas no further requests. Requests in flight are finished.",
		handler: &drainCommand{method: http.MethodPost},
	},
	{
		name:    "undrain",
		short:   "take a zone's evacuation back",
		long:    "Ends the evacuation of ZONE, so that its replicas get requests again.",
		handler: &drainCommand{method: http.MethodDelete},
	},
	{
		name:    "retention",
		short:   "print or set how long cached context may live",
		long:    "Prints how long data planes and replicas may keep cached context, or sets it with --life.",
		handler: &retentionCommand{},
	},
	{
		name:  "forget",
		short: "have cached context forgotten, and watch it go",
		long: "Orders cached context in a scope to be purged from all data planes and replicas, and prints how far that is. " +
			"Name --model, --part or --all; with --list it only prints the orders given so far.",
		handler: &forgetCommand{},
	},
	{
		name:  "rehearse",
		short: "rehearse the loss of a region or zone",
		long: "Forecasts what the loss of REGION, or of the zone given by --zone, would do, or drills it on a share of new requests. " +
			"It exits with 4 if a forecast is partial, 5 if a guard ended the drill, 6 if the control plane rejected it.",
		handler: &rehearseCommand{},
	},
	{
		name:    "query",
		short:   "ask questions in SQL about the fleet (see the operators' page)",
		long:    "Runs one SELECT on the fleet's state as one control plane sees it. A wrong table or column lists those that there are.",
		handler: &queryCommand{},
	},
	{
		name:  "inspect",
		short: "read a stopped member's data folder, asking nobody and changing nothing",
		long: "Prints the state in the data directory DIR of a member that does not run. " +
			"It exits with 7 if the directory is damaged, so that the member would not use its state.",
		handler: &inspectCommand{},
	},
	{
		name:    "status",
		short:   "print the fleet as one control daemon sees it",
		long:    "Prints the state of the fleet as the first control plane that answers sees it, or with --all as each of them does.",
		handler: &statusCommand{},
	},
}

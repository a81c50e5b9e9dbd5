// Package cli implements the start and exit of programs: options, logging, settings, signals and exit statuses.
//
// It is independent of what the programs do. Start reading at RunDaemon for daemons and at ReportError for commands.
package cli

// Version is the version of all programs.
const Version = "0.1.0"

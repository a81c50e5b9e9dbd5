// Package cli is what the programs have in common at their start and end: options, logging, settings,
// signals and exit statuses.
//
// It knows nothing of what the programs do. Start reading at RunDaemon, for programs that run until they are
// stopped, and ReportError, for commands.
package cli

// Version is the version that every program prints.
const Version = "0.1.0"

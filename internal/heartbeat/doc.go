// Package heartbeat records when each daemon was last heard from, and selects the daemons that watch another one.
//
// It performs no I/O and reads no clock: callers pass the time, which must come from a single monotonic clock. It does not
// decide when a silent daemon counts as failed; see package membership. No type is safe for concurrent use. Start reading at
// Registry.
package heartbeat

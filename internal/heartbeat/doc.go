// Package heartbeat records when each daemon was last heard of, and selects the daemons that watch another.
//
// It sends nothing and reads no clock: callers pass the time, all of it from one monotonic clock. It decides
// nothing about a silent daemon either; see package membership. No type is safe for concurrent use. Start
// reading at Registry.
package heartbeat

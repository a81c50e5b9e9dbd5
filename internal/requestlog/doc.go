// Package requestlog writes and reads the request log: a record, as JSON lines, of what a data plane observed, which
// ferryspar-replay replays.
//
// A request log holds IDs, sizes and times, never bodies or keys. Start reading at Entry.
package requestlog

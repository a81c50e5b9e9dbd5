// Package requestlog writes and reads the request log: what a data plane saw, as JSON lines, for ferryspar-replay.
//
// A request log holds ids, sizes and times, never bodies or keys. Start reading at Entry.
package requestlog

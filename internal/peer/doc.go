// Package peer implements the RPC protocol between the nodes of a fleet: between control planes, from data planes to
// control planes, and between data planes. It defines the messages, the client and server that exchange them as JSON over
// HTTP, and the transport that opens connections.
//
// Messages are plain data; packages controlplane and dataplane implement the logic. The client never sends a request twice
// (see Client.Call).
//
// JSON names, paths and the semantics of fields are part of the protocol between versions and must not change. They are
// short in frequent messages, and older than the Go names.
//
// Start reading at Method for the list of calls, and at WatchRequest for the most frequent one.
package peer

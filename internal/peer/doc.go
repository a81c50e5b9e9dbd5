// Package peer holds the calls between the nodes of one fleet: control planes among each other, data planes to
// control planes, and data planes among each other. It defines their messages, the client and the server side that
// carry them as JSON over HTTP, and the network that connections are opened on.
//
// The package decides nothing: messages are plain data, and what follows from them is up to packages controlplane and
// dataplane. It never sends a request twice (see Client.Call).
//
// JSON names, paths and the meaning of fields are part of the protocol between versions and must not change; they are
// short where a message is frequent, and older than the names in the code.
//
// Start reading at Method for the list of calls, and at WatchRequest for the most frequent one.
package peer

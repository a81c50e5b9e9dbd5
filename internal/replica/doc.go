// Package replica implements the client side of the protocol with model replicas: Forwarder forwards clients' requests, Client
// sends placement orders and fetches reports.
//
// The package matches each response to its request and sends requests at most once. A response is accepted only if it states the
// attempt's id; a rejection without an id is accepted if it is the first response on its connection, where no other can be
// pending. A request is resent only if no byte of it was written. See docs/design/answers.md.
//
// Entry points are Forwarder.Send and Client.SendOrder; Verdict classifies the results.
package replica

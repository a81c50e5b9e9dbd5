// Package replica is the client side of the protocol with model replicas: Forwarder forwards clients' requests, Client sends
// placement orders and fetches reports.
//
// It ties each response to the request that it answers, and sends nothing twice that may have arrived: an answer counts only
// with the attempt's id on a connection where no other can be due, and a request is sent again only if no byte of it was
// written. docs/design/answers.md says how.
//
// Start reading at Forwarder.Send and Client.SendOrder, then Verdict.
package replica

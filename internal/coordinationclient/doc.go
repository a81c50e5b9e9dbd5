// Package coordinationclient is the Go client for the locks, elections, numbers, keys and watches of a ferryspar control plane.
//
// It sends each call to one control plane after another until it gets a definite answer, and implements the client's side of the
// protocol: the TTL of a lock counts from before the granting call was sent, and a put is repeated unchanged. Start reading at
// Client, then Lock and Client.Campaign.
package coordinationclient

// Package coordinationclient is how a Go program uses locks, elections, numbers, keys and watches of a ferryspar control plane.
//
// It sends each call to one control plane after the other until an answer is clear, and keeps the caller's side of the rules: the
// time of a hold counts from before the call that granted it was sent, and a put is sent again as it was. Start reading at Client,
// then Hold and Client.Campaign.
package coordinationclient

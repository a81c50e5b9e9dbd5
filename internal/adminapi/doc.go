// Package adminapi implements both sides of the admin API, with which operators read and change the state of a
// fleet: the HTTP handler that a control plane serves on top of a Service, and the Client, which tries one control
// plane after the other until one gives a conclusive response.
//
// The package parses requests and encodes responses; the Service decides on them. Requests that change something
// without naming the version that they expect must carry a token of the ReplayGuard, which shows that their caller
// still waits for the response. Start reading at NewHandler and Client.
package adminapi

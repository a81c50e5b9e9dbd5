// Package adminapi is both ends of the admin API, which operators use to read and change the state of a
// fleet: the handler that a control plane serves on a Service, and the Client that goes from control plane
// to control plane until one gives a clear response.
//
// It decides nothing about what is asked; that is the Service's part. Calls that change something and name
// no version that they build on pass a ReplayGuard, which proves that their caller still waits. Start
// reading with NewHandler and Client.
package adminapi

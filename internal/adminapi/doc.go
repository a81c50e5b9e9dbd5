// Package adminapi is both ends of the operator's calls: the table of calls that a control plane serves on a State
// (calls.go), and a Client that goes from daemon to daemon until one answers clearly (caller.go).
//
// It decides nothing about what is asked. Calls that change something and name no version pass a ReplayGuard
// (guard.go) that proves their caller is still there. Start reading with NewHandler.
package adminapi

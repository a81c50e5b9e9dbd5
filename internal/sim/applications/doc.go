// Package applications emulates applications that use the coordination API of control planes: locks, counters, keys and
// watches, at a constant rate.
//
// It measures the latency of the calls and checks the guarantees of the API: a lock has at most one holder, the values of a
// counter increase, and each watch delivers each put exactly once and in order. It connects only to the given addresses and
// terminates by itself. Start reading at Run.
package applications

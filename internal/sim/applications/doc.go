// Package applications plays applications that coordinate through a control plane: locks, numbers, keys and watches at a steady rate.
//
// It measures how long calls take and checks what the answers promise: one holder of a lock at a time, rising numbers, each put seen
// once by each watch. It speaks to the addresses that it is given and to nothing else, and ends by itself. Start reading at Run.
package applications

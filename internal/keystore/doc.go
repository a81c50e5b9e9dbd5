// Package keystore keeps small values ("keys") on a majority of the members' disks.
//
// A key is a register of its own: there is no common log and no leader of all keys. A daemon
// that wants to change a key takes it under a ballot that a majority of members promises,
// commits once more the newest value that those members know, and then writes under the same
// ballot. A write is acknowledged when a majority has it on a synced disk.
//
// The package never decides what a value means, never answers an operator, and never
// replaces a member by itself: it offers the steps, internal/membership decides on them.
//
// Start reading with AcceptorState (what one member promises and accepts, a pure function of
// state, message and time), then ownership.go (what a proposer concludes from replies, pure as
// well), then Store, which drives both over a Transport. docs/keystore.md has the argument.
package keystore

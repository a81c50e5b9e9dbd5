// Package keystore replicates small values under keys on the disks of a few members, by Paxos.
//
// Each key is a register of its own: there is no common log and no leader of all keys. A process that wants to change a
// key becomes its owner by a proposal number that a majority of members promises, commits once more the newest value that
// those members know, and then writes under the same number (Multi-Paxos for each key). A write is acknowledged when a
// majority has it on a synced disk.
//
// The package never decides what a value means, never answers an operator, and never replaces a member by itself: it
// offers the steps, internal/membership decides on them.
//
// Consensus is pure, and stands apart from IO:
//
//   - acceptor_state.go, acceptor_steps.go: what one member promises and accepts, a function of its state, a message and
//     the time. catchup_state.go and bootstrap.go are the steps of a member that has no vote yet.
//   - replies.go, digest.go, ownership.go, quorum.go: what a proposer concludes from replies.
//   - register.go, proposal_number.go, membership.go, message.go, local_state.go: what the steps are about.
//
// Around it stand the parts that do IO:
//
//   - acceptor.go: Acceptor runs one member over its write-ahead log.
//   - store.go, round.go, proposer.go, read.go, catchup.go: Store plays the proposer over a Transport.
//   - wal.go, segments.go, damage.go, segment.go, record.go, directory.go: WAL is the write-ahead log. inspect.go reads
//     that of a stopped member.
//
// names.go holds every name that is stored or sent. Start reading with AcceptorState.Step, then Ownership, then
// Store.Change. docs/design/keystore.md has the argument why the whole is safe.
package keystore

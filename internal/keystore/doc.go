// Package keystore replicates small values under keys on the disks of a few members, using Paxos.
//
// Each key is an independent register: there is no common log and no leader for all keys. To change a key, a process
// becomes its owner: a majority of members promises its proposal number, and it commits the newest value known to those
// members again. It then writes repeatedly under the same number (Multi-Paxos per key). A write is acknowledged once it is
// synced to disk at a majority.
//
// The package does not interpret values, serve operators, or replace members by itself: it provides the steps of a
// membership change, and internal/membership decides when to take them.
//
// The consensus code is pure and separate from IO:
//
//   - acceptor_state.go, acceptor_steps.go: what a member promises and accepts, as functions of its state, a message and
//     the time. catchup_state.go and bootstrap.go contain the steps of a member without a vote.
//   - replies.go, digest.go, ownership.go, quorum.go: the evaluation of replies by a proposer.
//   - register.go, proposal_number.go, membership.go, message.go, local_state.go: the data types of these functions.
//
// The remaining files do IO:
//
//   - acceptor.go: Acceptor runs one member on its write-ahead log.
//   - store.go, round.go, proposer.go, read.go, read_modify_write.go, membership_change.go, catchup.go: Store is the
//     proposer, which sends messages over a Transport. change_stats.go collects its statistics.
//   - wal.go, segments.go, damage.go, segment.go, record.go, directory.go: WAL is the write-ahead log. inspect.go reads
//     the log of a stopped member.
//
// names.go contains all names that are stored or sent. Good starting points are AcceptorState.Step, Ownership and
// Store.Change. docs/design/keystore.md explains why the protocol is safe.
package keystore

package keystore

// The names in this file are stored on disk or sent between members.
//
// Many of them are older than the identifiers in the code: a lease is stored under "tenure/", the configuration under
// "layout", a zone under "area/", a prepare message is sent as "promise", and an acceptor's own state is stored under
// "!self". They must not change, because a member reads the disks of all earlier versions, and because members of two
// versions communicate during an upgrade. If a name changed here, a member would not find the state stored under the
// old name, and acknowledged writes would be lost.
//
// For the same reason the JSON names of fields differ from the field names: Register.Accepted is "ballot",
// Reply.Register is "slot", Membership.Version is "number", Membership.Current is "present". The tests in
// pinned_test.go compare all of these names, and the bytes of records and segments, with files written by an earlier
// version.

// The keys of the control state, and the prefixes of groups of keys.
const (
	// LeasePrefix is the prefix of the key of every lease. Acceptors grant these keys for a limited time, see
	// AcceptorState.Grants.
	LeasePrefix = "tenure/"
	// MembershipKey holds the last committed Membership.
	MembershipKey = "members"
	// ConfigurationKey holds the operators' configuration.
	ConfigurationKey = "layout"
	// ZonePrefix is the prefix of the key of every zone that was evacuated or returned to service.
	ZonePrefix = "area/"
	// RetentionKey holds how long replicas and data planes may keep cached context.
	RetentionKey = "retention"
	// PurgeKey holds which cached context was ordered to be purged, and the progress of that.
	PurgeKey = "forget"
	// DrillKey holds the running drill.
	DrillKey = "drill"
	// FleetSizeKey holds how many data planes there are, and which of them may be quota homes of tenants.
	FleetSizeKey = "fleet/size"
	// UsageKey holds the usage of tenants in windows whose counts are final.
	UsageKey = "usage"
	// CoordinationPrefix is the prefix of the keys of the locks, counters and groups of keys that applications share.
	// Digests omit them: only their owners follow them, and there may be many.
	CoordinationPrefix = "coordination/"
)

// The keys under which an acceptor stores its own state and what it knows about others. No proposer reads or writes
// them.
const (
	reservedPrefix = "!"
	// localStateKey holds a LocalState.
	localStateKey = "!self"
	// localMembershipKey holds the newest Membership that this member knows, committed or not.
	localMembershipKey = "!members"
	// diskIncarnationPrefix is the prefix of the keys that hold the disk incarnations of the members that caught up
	// from this one.
	diskIncarnationPrefix = "!known/"
)

// The operations of a Message.
const (
	// OperationPrepare requests a promise to accept no proposal for the key below the proposal number.
	OperationPrepare Operation = "promise"
	// OperationAccept requests that the member accept a value and write it to disk before it replies.
	OperationAccept Operation = "accept"
	// OperationRenew requests confirmation that the promise is still valid, and extends the grant of a lease.
	OperationRenew Operation = "renew"
	// OperationRelease ends the grant of a lease early.
	OperationRelease Operation = "release"
	// OperationDigest requests the accepted proposal number and sequence of every key, without values.
	OperationDigest Operation = "digest"
	// OperationFetch requests one key with its value.
	OperationFetch Operation = "fetch"
	// OperationCatchUp requests all keys on behalf of a member without a vote.
	OperationCatchUp Operation = "catch_up"
)

// The values of Rejection.
const (
	// RejectedNotVoting: the member has lost its disk, or was removed from the membership, and has not caught up since.
	RejectedNotVoting Rejection = "not voting before it has caught up"
	// RejectedOlderMembership: the sender counts votes under an older membership than the one that the member knows.
	RejectedOlderMembership Rejection = "older members"
	// RejectedPromised: the member has promised a higher proposal number.
	RejectedPromised Rejection = "promised higher"
	// RejectedLeaseActive: the lease is, or may be, granted to another holder.
	RejectedLeaseActive Rejection = "lease runs"
	// RejectedDiskLost: the proposal counts a promise that a member gave before it lost its disk.
	RejectedDiskLost Rejection = "member wiped since the promise"
	// RejectedNoValue: the member has accepted no value for the key.
	RejectedNoValue Rejection = "no value"
	// RejectedUnknownOperation: the message comes from a later version.
	RejectedUnknownOperation Rejection = "unknown operation"
	// RejectedDiskError: writing the change to the member's disk failed.
	RejectedDiskError Rejection = "disk did not take it"
	// RejectedDiskQueueFull: too many replies are waiting for the member's disk.
	RejectedDiskQueueFull Rejection = "disk queue full"
	// RejectedStateChanged: the member's state has changed, so the request no longer applies.
	RejectedStateChanged Rejection = "state moved on since it was read"
	// RejectedUnreachable: the member did not reply. It is set by the sender and never sent.
	RejectedUnreachable Rejection = "not reached"
)

// The kinds of damage, as a damage marker stores them.
const (
	// DamageFileMissing: a segment is missing although others were in use.
	DamageFileMissing DamageReason = "file missing"
	// DamageFileBlank: a segment is empty although the log was in use, for example because a lost file was created
	// again.
	DamageFileBlank DamageReason = "file blank"
	// DamageGenerationMissing: a generation that must have been complete before a later one was started is missing.
	DamageGenerationMissing DamageReason = "generation missing"
	// DamageMisplaced: a generation is in a segment that it is never written to.
	DamageMisplaced DamageReason = "generation in the wrong file"
	// DamageUndecodable: a record is complete by its checksum but isn't a register.
	DamageUndecodable DamageReason = "record not decodable"
	// DamageStateDiscarded: damage was found at an earlier start, and the state has not been replaced since.
	DamageStateDiscarded DamageReason = "given up at an earlier start"
)

// The states of a segment, as an inspection shows them.
const (
	// SegmentMissing: there is no file of this name.
	SegmentMissing SegmentState = "missing"
	// SegmentBlank: the file exists and nothing was written to it.
	SegmentBlank SegmentState = "blank"
	// SegmentReady: the file contains the ready marker and no generation yet.
	SegmentReady SegmentState = "ready"
	// SegmentComplete: the file contains a generation with its full copy of the state.
	SegmentComplete SegmentState = "whole"
	// SegmentTorn: the file contains the start of a generation whose copy of the state is incomplete.
	SegmentTorn SegmentState = "torn"
	// SegmentUnreadable: the file contains other data, the remains of a write.
	SegmentUnreadable SegmentState = "unreadable"
	// SegmentDamaged: the file contains a damage marker.
	SegmentDamaged SegmentState = "given up"
)

// The kinds of a record. The numbers are part of the file format.
const (
	// recordRegister holds one Register as JSON.
	recordRegister recordKind = iota + 1
	// recordBegin is the first record of a generation and holds a beginPayload.
	recordBegin
	// recordEnd follows the full copy of the state at the start of a generation.
	recordEnd
	// recordDamageMarker holds a damagePayload.
	recordDamageMarker
)

const (
	// segmentNameFormat takes a segment's position.
	segmentNameFormat = "ring-%d"

	// registerKeyField and registerValueField are the JSON names of Register.Key and Register.Value.
	registerKeyField   = "key"
	registerValueField = "value"

	// readyMarkerByte and damageMarkerByte are the first bytes of the two markers. The first byte of a record is 0, so
	// the first byte of a segment distinguishes its kinds of content even if the write was torn after it.
	readyMarkerByte  = 0xF5
	damageMarkerByte = 0xDA
	// readyMarkerText follows readyMarkerByte.
	readyMarkerText = "ferryspar ring file\n"
)

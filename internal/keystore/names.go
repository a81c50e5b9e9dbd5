package keystore

// The names in this file are stored on disk or sent between members.
//
// Many of them are older than the names in the code: a lease is stored under "tenure/", the configuration under "layout",
// a zone under "area/", a prepare message is sent as "promise", and an acceptor's own state stands under "!self". They
// keep their old words because a member must read the disk of every earlier version, and because members of two
// versions talk to each other while a system is upgraded. A word that changed here would make a member take a key that
// it holds for one that it has never seen, and so lose what was acknowledged.
//
// For the same reason the JSON names of fields differ from the fields' own names: Register.Accepted is "ballot",
// Reply.Register is "slot", Membership.Version is "number", Membership.Current is "present". The tests in
// pinned_test.go hold all of these names, and the bytes of records and segments, against files written by an earlier
// version.

// The keys of the control state, and the prefixes of families of keys.
const (
	// LeasePrefix begins the key of every lease. Acceptors grant these keys for a time, see AcceptorState.Grants.
	LeasePrefix = "tenure/"
	// MembershipKey holds the Membership that was committed last.
	MembershipKey = "members"
	// ConfigurationKey holds the operators' configuration.
	ConfigurationKey = "layout"
	// ZonePrefix begins the key of every zone that was evacuated or brought back.
	ZonePrefix = "area/"
	// RetentionKey holds how long replicas and data planes may keep cached context.
	RetentionKey = "retention"
	// PurgeKey holds which cached context was ordered to be forgotten, and how far that has got.
	PurgeKey = "forget"
	// DrillKey holds the drill that is running.
	DrillKey = "drill"
	// FleetSizeKey holds how many data planes there are, and which may be homes of tenants' limits.
	FleetSizeKey = "fleet/size"
	// UsageKey holds the usage of tenants in windows whose counts are final.
	UsageKey = "usage"
	// CoordinationPrefix begins the keys of the locks, counters and groups of keys that applications share. Digests leave them
	// out: nobody follows them but their owners, and there may be many.
	CoordinationPrefix = "coordination/"
)

// The keys under which an acceptor stores what it knows of itself and of others. No proposer reads or writes them.
const (
	reservedPrefix = "!"
	// localStateKey holds a LocalState.
	localStateKey = "!self"
	// localMembershipKey holds the newest Membership that this member knows, committed or not.
	localMembershipKey = "!members"
	// diskIncarnationPrefix begins, for each other member that caught up here, the key of its disk incarnation.
	diskIncarnationPrefix = "!known/"
)

// The operations of a Message.
const (
	// OperationPrepare asks for a promise to accept no proposal for the key below the proposal number.
	OperationPrepare Operation = "promise"
	// OperationAccept asks the member to accept a value and to have it on its disk before it answers.
	OperationAccept Operation = "accept"
	// OperationRenew asks whether the promise still stands, and extends the grant of a lease.
	OperationRenew Operation = "renew"
	// OperationRelease ends the grant of a lease early.
	OperationRelease Operation = "release"
	// OperationDigest asks for the accepted proposal number and sequence of every key, without values.
	OperationDigest Operation = "digest"
	// OperationFetch asks for one key with its value.
	OperationFetch Operation = "fetch"
	// OperationCatchUp asks for all keys on behalf of a member that has no vote.
	OperationCatchUp Operation = "catch_up"
)

// The reasons of a Rejection.
const (
	// RejectedNotVoting: the member has lost its disk, or was dropped from the membership, and has not caught up since.
	RejectedNotVoting Rejection = "not voting before it has caught up"
	// RejectedOlderMembership: the sender counts votes under an older membership than the member knows.
	RejectedOlderMembership Rejection = "older members"
	// RejectedPromised: the member has promised a higher proposal number.
	RejectedPromised Rejection = "promised higher"
	// RejectedLeaseActive: the lease is granted to another holder, or may be.
	RejectedLeaseActive Rejection = "lease runs"
	// RejectedDiskLost: the proposal counts a promise that a member gave before it lost its disk.
	RejectedDiskLost Rejection = "member wiped since the promise"
	// RejectedNoValue: the member has accepted no value for the key.
	RejectedNoValue Rejection = "no value"
	// RejectedUnknownOperation: the message comes from a later version.
	RejectedUnknownOperation Rejection = "unknown operation"
	// RejectedDiskError: the member's disk did not take what it decided.
	RejectedDiskError Rejection = "disk did not take it"
	// RejectedDiskQueueFull: too many answers wait for the member's disk.
	RejectedDiskQueueFull Rejection = "disk queue full"
	// RejectedStateChanged: what the sender read has been superseded.
	RejectedStateChanged Rejection = "state moved on since it was read"
	// RejectedUnreachable: the member did not answer. It is filled in by the sender and never sent.
	RejectedUnreachable Rejection = "not reached"
)

// The kinds of damage, as a damage marker stores them.
const (
	// DamageFileMissing: a segment is gone though others were in use.
	DamageFileMissing DamageReason = "file missing"
	// DamageFileBlank: a segment holds nothing though the log was in use, as when a lost file was made anew.
	DamageFileBlank DamageReason = "file blank"
	// DamageGenerationMissing: a generation that was complete before a later one was begun can't be found.
	DamageGenerationMissing DamageReason = "generation missing"
	// DamageMisplaced: a generation is in a segment that it is never written to.
	DamageMisplaced DamageReason = "generation in the wrong file"
	// DamageUndecodable: a record is complete by its checksum but isn't a register.
	DamageUndecodable DamageReason = "record not decodable"
	// DamageStateDiscarded: damage was found at an earlier start, and nothing has replaced the state since.
	DamageStateDiscarded DamageReason = "given up at an earlier start"
)

// The states of a segment, as an inspection shows them.
const (
	// SegmentMissing: there is no file of this name.
	SegmentMissing SegmentState = "missing"
	// SegmentBlank: the file exists and nothing was written to it.
	SegmentBlank SegmentState = "blank"
	// SegmentReady: the file holds the ready marker and no generation yet.
	SegmentReady SegmentState = "ready"
	// SegmentComplete: the file holds a generation with its full copy of the state.
	SegmentComplete SegmentState = "whole"
	// SegmentTorn: the file holds the start of a generation whose copy of the state is cut short.
	SegmentTorn SegmentState = "torn"
	// SegmentUnreadable: the file holds something else, the remains of a write.
	SegmentUnreadable SegmentState = "unreadable"
	// SegmentDamaged: the file holds a damage marker.
	SegmentDamaged SegmentState = "given up"
)

// The kinds of a record. The numbers are a part of the file format.
const (
	// recordRegister holds one Register as JSON.
	recordRegister recordKind = iota + 1
	// recordBegin is the first record of a generation and holds a beginPayload.
	recordBegin
	// recordEnd follows the full copy of the state with which a generation begins.
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

	// readyMarkerByte and damageMarkerByte are the first bytes of the two markers. A record begins with 0, so the first
	// byte of a segment distinguishes the three, however little of them was written.
	readyMarkerByte  = 0xF5
	damageMarkerByte = 0xDA
	// readyMarkerText follows readyMarkerByte.
	readyMarkerText = "ferryspar ring file\n"
)

package keystore

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/pinned"
)

func TestEncodeRecord_WritesFixedBytes(t *testing.T) {
	register := Register{
		Key:      "layout",
		Promised: pinnedProposal(9),
		Accepted: pinnedProposal(8),
		Sequence: 7,
		Value:    json.RawMessage(`{"a":1}`),
	}
	var lines strings.Builder
	add := func(label string, kind recordKind, payload any) {
		content, err := encodeRecord(0x0102030405060708, 0x1112131415161718, kind, payload)
		assert.NilError(t, err)
		fmt.Fprintf(&lines, "%s %s\n", label, hex.EncodeToString(content))
	}
	add("slot", recordRegister, register)
	add("begin", recordBegin, beginPayload{Base: 5})
	add("end", recordEnd, struct{}{})
	add("damage", recordDamageMarker, damagePayload{Base: 6, Reason: DamageFileBlank})
	marker, err := encodeDamageMarker(damagePayload{Base: 6, Reason: DamageFileBlank})
	assert.NilError(t, err)
	fmt.Fprintf(&lines, "mark %s\nstamp %s\n", hex.EncodeToString(marker), hex.EncodeToString(readyMarker))
	pinned.CheckFile(t, "testdata/records.txt", []byte(lines.String()))
}

func TestMessage_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"question to a member":  new(Message),
		"answer of a member":    new(Reply),
		"slot":                  new(Register),
		"member list":           new(Membership),
		"ballot":                new(ProposalNumber),
		"note of itself":        new(LocalState),
		"begin of a generation": new(beginPayload),
		"damage mark":           new(damagePayload),
		"damage":                new(Damage),
		"inspection":            new(Inspection),
		"inspected file":        new(SegmentInspection),
		"inspected slot":        new(RegisterInspection),
	})
}

func TestProposalNumber_ReadsEarlierForms(t *testing.T) {
	var proposal ProposalNumber
	assert.NilError(t, json.Unmarshal([]byte(`12884901893`), &proposal))
	assert.Equal(t, proposal, ProposalNumber{Round: 3, Incarnation: 5})
	assert.NilError(t, json.Unmarshal([]byte(`"3.ff.10.0.0.1:7000"`), &proposal))
	assert.Equal(t, proposal, ProposalNumber{Round: 3, Incarnation: 255, Proposer: "10.0.0.1:7000"})
}

func TestNames_StayTheSame(t *testing.T) {
	pinned.CheckJSON(t, "testdata/words.json", map[string]any{
		"operations": []Operation{
			OperationPrepare,
			OperationAccept,
			OperationRenew,
			OperationRelease,
			OperationDigest,
			OperationFetch,
			OperationCatchUp,
		},
		"refusals": []Rejection{
			RejectedNotVoting,
			RejectedOlderMembership,
			RejectedPromised,
			RejectedLeaseActive,
			RejectedDiskLost,
			RejectedNoValue,
			RejectedUnknownOperation,
			RejectedDiskError,
			RejectedDiskQueueFull,
			RejectedStateChanged,
			RejectedUnreachable,
		},
		"keys": []string{
			LeasePrefix,
			MembershipKey,
			ConfigurationKey,
			ZonePrefix,
			RetentionKey,
			PurgeKey,
			DrillKey,
			CoordinationPrefix,
			reservedPrefix,
			localStateKey,
			localMembershipKey,
			diskIncarnationPrefix,
		},
		"damage": []DamageReason{
			DamageFileMissing,
			DamageFileBlank,
			DamageGenerationMissing,
			DamageMisplaced,
			DamageUndecodable,
			DamageStateDiscarded,
		},
		"file states": []SegmentState{
			SegmentMissing,
			SegmentBlank,
			SegmentReady,
			SegmentComplete,
			SegmentTorn,
			SegmentUnreadable,
			SegmentDamaged,
		},
		"ring files": SegmentCount,
	})
}

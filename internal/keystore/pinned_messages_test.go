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
	slot := Slot{Key: "layout", Promised: pinnedBallot(9), Ballot: pinnedBallot(8), Sequence: 7, Value: json.RawMessage(`{"a":1}`)}
	var lines strings.Builder
	add := func(label string, kind recordKind, payload any) {
		content, err := encodeRecord(0x0102030405060708, 0x1112131415161718, kind, payload)
		assert.NilError(t, err)
		fmt.Fprintf(&lines, "%s %s\n", label, hex.EncodeToString(content))
	}
	add("slot", recordSlot, slot)
	add("begin", recordBegin, beginPayload{Base: 5})
	add("end", recordEnd, struct{}{})
	add("damage", recordDamage, damagePayload{Base: 6, Reason: DamageFileBlank})
	mark, err := encodeMark(damagePayload{Base: 6, Reason: DamageFileBlank})
	assert.NilError(t, err)
	fmt.Fprintf(&lines, "mark %s\nstamp %s\n", hex.EncodeToString(mark), hex.EncodeToString(stamp))
	pinned.CheckFile(t, "testdata/records.txt", []byte(lines.String()))
}

func TestMessage_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"question to a member":  new(Message),
		"answer of a member":    new(Reply),
		"slot":                  new(Slot),
		"member list":           new(Members),
		"ballot":                new(Ballot),
		"note of itself":        new(Self),
		"begin of a generation": new(beginPayload),
		"damage mark":           new(damagePayload),
		"damage":                new(Damage),
		"inspection":            new(Inspection),
		"inspected file":        new(FileInspection),
		"inspected slot":        new(SlotInspection),
	})
}

func TestBallot_ReadsTheNumberOfFormerVersions(t *testing.T) {
	var ballot Ballot
	assert.NilError(t, json.Unmarshal([]byte(`12884901893`), &ballot))
	assert.Equal(t, ballot, Ballot{Round: 3, Life: 5})
	assert.NilError(t, json.Unmarshal([]byte(`"3.ff.10.0.0.1:7000"`), &ballot))
	assert.Equal(t, ballot, Ballot{Round: 3, Life: 255, Member: "10.0.0.1:7000"})
}

func TestSlot_KeysAndWordsStayTheSame(t *testing.T) {
	pinned.CheckJSON(t, "testdata/words.json", map[string]any{
		"operations": []Operation{
			OperationPromise, OperationAccept, OperationRenew, OperationRelease, OperationDigest, OperationFetch, OperationCatchUp,
		},
		"refusals": []Refusal{
			RefusedNotVoting, RefusedOlderMembers, RefusedPromised, RefusedLeaseRuns, RefusedWiped, RefusedNothingThere,
			RefusedUnknown, RefusedDisk, RefusedDiskQueueFull, RefusedMovedOn, RefusedUnreached,
		},
		"keys": []string{
			LeasePrefix, MembersKey, ConfigurationKey, ZonePrefix, RetentionKey, ForgetKey, DrillKey, reservedPrefix, selfKey, membersKey, knownPrefix,
		},
		"damage": []DamageReason{
			DamageFileMissing, DamageFileBlank, DamageGenerationMissing, DamageMisplaced, DamageUndecodable, DamageGivenUp,
		},
		"file states": []FileState{FileMissing, FileBlank, FileReady, FileWhole, FileTorn, FileUnreadable, FileDamaged},
		"ring files":  RingFiles,
	})
}

package keystore

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/pinned"
)

const (
	pinnedAddress      = "10.0.0.1:7000"
	pinnedSegmentBytes = 4 << 10
	pinnedDirectory    = "testdata/member"
	damagedDirectory   = "testdata/damaged"
	pinnedRegisters    = "testdata/member_slots.json"
	pinnedRevision     = 30
)

var pinnedMembership = Membership{Version: 1, Current: []string{pinnedAddress, "10.0.1.1:7000", "10.0.2.1:7000"}}

func pinnedProposal(round uint64) ProposalNumber {
	return ProposalNumber{Round: round, Proposer: "10.0.1.1:7000", Incarnation: 0xfeedbeef}
}

// runMember opens the log in a directory and runs a member on it until use returns.
func runMember(t *testing.T, path string, bootstrapping bool, use func(acceptor *Acceptor)) {
	t.Helper()
	log := openPinned(t, path)
	if bootstrapping {
		assert.NilError(t, log.Append(BootstrapRegisters(pinnedMembership, 11)))
	}
	config := AcceptorConfig{
		LeaseDuration: testLeaseDuration,
		Clock:         func() time.Time { return testNow },
		Seeds:         pinnedMembership.Current,
	}
	acceptor := NewAcceptor(pinnedAddress, log, config, bootstrapping)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		acceptor.Run(ctx)
	}()
	use(acceptor)
	cancel()
	<-ended
}

func openPinned(t *testing.T, path string) *WAL {
	t.Helper()
	directory, err := NewDirectory(path)
	assert.NilError(t, err)
	log, err := OpenWAL(directory, SegmentCount, pinnedSegmentBytes)
	assert.NilError(t, err)
	return log
}

// propose sends the prepare and the accept message of a value to the acceptor, which must grant both.
func propose(t *testing.T, acceptor *Acceptor, key string, round uint64, value string) {
	t.Helper()
	message := Message{
		Operation:  OperationPrepare,
		Sender:     "10.0.1.1:7000",
		Key:        key,
		Proposal:   pinnedProposal(round),
		Membership: acceptor.Membership(),
	}
	for _, operation := range []Operation{OperationPrepare, OperationAccept} {
		message.Operation = operation
		if operation == OperationAccept {
			message.Sequence, message.Value = round, json.RawMessage(value)
		}
		reply, err := acceptor.Call(t.Context(), message)
		assert.NilError(t, err)
		assert.Assert(t, reply.Granted, "%s: %s", key, reply.Rejection)
	}
}

// writePinned writes the data directory of the fixture: records of all kinds, and enough of them that each segment is
// overwritten at least once.
func writePinned(t *testing.T, path string) {
	t.Helper()
	runMember(t, path, true, func(acceptor *Acceptor) {
		propose(t, acceptor, LeasePrefix+"placement", 1,
			`{"holder":"control-1","address":"10.0.0.1:7000","fence":7,`+
				`"reserved":{"loads":3,"aged":[{"loads":1,"ageMs":250}]},"settling":true}`)
		propose(t, acceptor, ZonePrefix+"north", 2, `{"number":4,"drained":true}`)
		propose(t, acceptor, RetentionKey, 3, `{"number":2,"lifeMs":90000}`)
		propose(t, acceptor, PurgeKey, 4, `{"number":5,"items":[{"number":5,"scope":{"model":"m"},"edges":["edge-1"],"counted":true}]}`)
		propose(t, acceptor, DrillKey, 5, `{"number":1}`)
		caughtUp, err := acceptor.Call(t.Context(), Message{
			Operation:       OperationCatchUp,
			Sender:          "10.0.2.1:7000",
			DiskIncarnation: 22,
			Membership:      pinnedMembership,
		})
		assert.NilError(t, err)
		assert.Assert(t, caughtUp.Granted)
		assert.NilError(t, acceptor.CompleteBootstrap(t.Context()))
		joint := Membership{
			Version: 2,
			Current: pinnedMembership.Current,
			Next:    []string{pinnedAddress, "10.0.1.1:7000", "10.0.3.1:7000"},
		}
		assert.NilError(t, acceptor.AdoptMembership(t.Context(), joint))
		propose(t, acceptor, MembershipKey, 6, `{"number":3,"present":["10.0.0.1:7000","10.0.1.1:7000","10.0.3.1:7000"]}`)
		for revision := uint64(1); revision <= pinnedRevision; revision++ {
			propose(t, acceptor, ConfigurationKey, 10+revision,
				fmt.Sprintf(`{"revision":%d,"packed":"%s","taken":{"entries":"AAECAwQFBgcI"}}`, revision, strings.Repeat("cGFja2Vk", 20)))
		}
	})
}

// writeDamaged writes a data directory whose log lost a segment, and was found damaged at the next start.
func writeDamaged(t *testing.T, path string) {
	t.Helper()
	assert.NilError(t, openPinned(t, path).Append(BootstrapRegisters(pinnedMembership, 11)))
	assert.NilError(t, openPinned(t, path).Append([]Register{{Key: ConfigurationKey, Sequence: 1}}))
	assert.NilError(t, os.Remove(filepath.Join(path, "ring-1")))
	assert.Equal(t, openPinned(t, path).Damage().Reason, DamageFileMissing)
}

// makeFixture writes a fixture if the pinned files are being updated and its directory is missing: delete the directory
// to have it written again.
func makeFixture(t *testing.T, path string, write func(t *testing.T, path string)) {
	t.Helper()
	if _, err := os.Stat(path); pinned.Updating() && os.IsNotExist(err) {
		write(t, path)
	}
}

func copyOf(t *testing.T, path string) string {
	t.Helper()
	copied := filepath.Join(t.TempDir(), "copy")
	assert.NilError(t, os.CopyFS(copied, os.DirFS(path)))
	return copied
}

// withoutSalt returns the records of a segment with the random half of each record's index set to zero and the checksum
// adjusted, so that writing the same records twice yields the same bytes. Everything after the records, which is the
// remains of an earlier generation or zeros, is omitted. A file that doesn't start with a record is returned unchanged.
// The function implements the file format independently, so that changes of the format in the code are detected.
func withoutSalt(t *testing.T, content []byte) []byte {
	t.Helper()
	result := append([]byte(nil), content...)
	used := 0
	for rest := result; len(rest) > 25 && rest[0] == 0; rest = result[used:] {
		length := 25 + int(binary.BigEndian.Uint32(rest))
		if length == 25 || length > len(rest) {
			break
		}
		record := rest[:length]
		if binary.BigEndian.Uint32(record[4:]) != crc32.ChecksumIEEE(record[8:]) {
			break
		}
		binary.BigEndian.PutUint32(record[16:], 0)
		binary.BigEndian.PutUint32(record[4:], crc32.ChecksumIEEE(record[8:]))
		used += length
	}
	if used == 0 {
		return result
	}
	return result[:used]
}

func TestOpenWAL_ReadsDataDirectoryOfEarlierVersion(t *testing.T) {
	makeFixture(t, pinnedDirectory, writePinned)
	t.Run("its state", func(t *testing.T) {
		log := openPinned(t, copyOf(t, pinnedDirectory))
		assert.Assert(t, log.Damage() == nil)
		assert.Assert(t, log.Generation() > SegmentCount, "the fixture must have overwritten each file")
		pinned.CheckJSON(t, pinnedRegisters, log.State())
	})
	t.Run("its inspection", func(t *testing.T) {
		inspection, err := Inspect(pinnedDirectory)
		assert.NilError(t, err)
		pinned.CheckJSON(t, "testdata/member_inspection.json", inspection)
	})
	t.Run("a damaged ring", func(t *testing.T) {
		makeFixture(t, damagedDirectory, writeDamaged)
		inspection, err := Inspect(damagedDirectory)
		assert.NilError(t, err)
		pinned.CheckJSON(t, "testdata/damaged_inspection.json", inspection)
		assert.Equal(t, openPinned(t, copyOf(t, damagedDirectory)).Damage().Reason, DamageStateDiscarded)
	})
}

func TestAcceptor_ContinuesFromDataDirectoryOfEarlierVersion(t *testing.T) {
	makeFixture(t, pinnedDirectory, writePinned)
	path := copyOf(t, pinnedDirectory)
	before := openPinned(t, path).State()
	generation := openPinned(t, path).Generation()
	runMember(t, path, false, func(acceptor *Acceptor) {
		assert.DeepEqual(t, acceptor.LocalState(), LocalState{
			DiskIncarnation:    11,
			Voting:             true,
			MembershipVersion:  1,
			BootstrapCompleted: true,
		})
		assert.Equal(t, acceptor.Membership().Version, uint64(2))
		late := Message{
			Operation:  OperationPrepare,
			Key:        ConfigurationKey,
			Proposal:   pinnedProposal(10 + pinnedRevision - 1),
			Membership: acceptor.Membership(),
		}
		rejected, err := acceptor.Call(t.Context(), late)
		assert.NilError(t, err)
		assert.Equal(t, rejected.Rejection, RejectedPromised)
		late.Proposal = pinnedProposal(10 + pinnedRevision)
		again, err := acceptor.Call(t.Context(), late)
		assert.NilError(t, err)
		assert.Assert(t, again.Granted, "the prepare message of the present owner is received again")
		assert.Equal(t, again.Register.Promised, late.Proposal)
		assert.DeepEqual(t, again.Register.Value, before[ConfigurationKey].Value)
		wiped := Message{
			Operation:        OperationAccept,
			Key:              ConfigurationKey,
			Proposal:         pinnedProposal(99),
			Sequence:         1,
			Membership:       acceptor.Membership(),
			DiskIncarnations: map[string]uint64{"10.0.2.1:7000": 21},
		}
		rejected, err = acceptor.Call(t.Context(), wiped)
		assert.NilError(t, err)
		assert.Equal(t, rejected.Rejection, RejectedDiskLost)
		propose(t, acceptor, ConfigurationKey, 100, `{"revision":31}`)
		propose(t, acceptor, ZonePrefix+"south", 101, `{"number":1,"drained":false}`)
	})
	again := openPinned(t, path)
	assert.Assert(t, again.Damage() == nil)
	assert.Assert(t, again.Generation() > generation)
	after := again.State()
	assert.Equal(t, string(after[ConfigurationKey].Value), `{"revision":31}`)
	assert.Equal(t, after[ZonePrefix+"south"].Accepted, pinnedProposal(101))
	before[ConfigurationKey], before[ZonePrefix+"south"] = after[ConfigurationKey], after[ZonePrefix+"south"]
	assert.DeepEqual(t, after, before)
}

func TestWAL_WritesSameBytesAsEarlierVersion(t *testing.T) {
	makeFixture(t, pinnedDirectory, writePinned)
	makeFixture(t, damagedDirectory, writeDamaged)
	for fixture, write := range map[string]func(t *testing.T, path string){
		pinnedDirectory:  writePinned,
		damagedDirectory: writeDamaged,
	} {
		t.Run(fixture, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "fresh")
			write(t, path)
			names, err := os.ReadDir(path)
			assert.NilError(t, err)
			assert.Equal(t, len(names), SegmentCount)
			for position := range SegmentCount {
				name := fmt.Sprintf("ring-%d", position)
				earlier, err := os.ReadFile(filepath.Join(fixture, name))
				assert.NilError(t, err)
				present, err := os.ReadFile(filepath.Join(path, name))
				assert.NilError(t, err)
				assert.Assert(t, string(withoutSalt(t, earlier)) == string(withoutSalt(t, present)), "%s:\n%q\n%q", name, earlier, present)
			}
		})
	}
}

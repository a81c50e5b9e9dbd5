package keystore

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func TestWAL_UndecodableRecordIsDamage(t *testing.T) {
	directory, err := NewDirectory(t.TempDir())
	assert.NilError(t, err)
	log, err := OpenWAL(directory, SegmentCount, 64<<10)
	assert.NilError(t, err)
	assert.NilError(t, log.Append([]Register{{Key: "a", Sequence: 1}}))
	foreign, err := encodeRecord(log.generation, log.index, recordRegister, []string{"no", "slot"})
	assert.NilError(t, err)
	assert.NilError(t, log.writeAndSync(log.segmentFor(log.generation), log.offset, foreign))
	log, err = OpenWAL(directory, SegmentCount, 64<<10)
	assert.NilError(t, err)
	assert.Equal(t, log.Damage().Reason, DamageUndecodable)
}

func TestScanSegment_EarlierAttemptDoesNotContinueLaterOne(t *testing.T) {
	state := map[string]Register{"a": {Key: "a", Sequence: 1}, "b": {Key: "b", Sequence: 1}}
	earlier, _, err := encodeGeneration(4, 1, state)
	assert.NilError(t, err)
	later, _, err := encodeGeneration(4, 1, state)
	assert.NilError(t, err)
	first, _ := decodeRecord(later)
	mixed := append(append([]byte(nil), later[:first.length]...), earlier[first.length:]...)
	assert.Equal(t, scanSegment("ring-1", mixed).state, SegmentTorn)
	assert.Equal(t, scanSegment("ring-1", later).state, SegmentComplete)
}

func TestScanSegment_ReadsFormatWithoutBase(t *testing.T) {
	var content []byte
	for index, entry := range []struct {
		kind    recordKind
		payload any
	}{{recordBegin, Register{}}, {recordRegister, Register{Key: "a", Sequence: 3}}, {recordEnd, Register{}}} {
		record, err := encodeRecord(5, uint64(index), entry.kind, entry.payload)
		assert.NilError(t, err)
		content = append(content, record...)
	}
	file := scanSegment("ring-2", content)
	assert.Equal(t, file.state, SegmentComplete)
	assert.Equal(t, file.base, uint64(1))
	registers, err := file.decodeRegisters()
	assert.NilError(t, err)
	assert.Equal(t, registers["a"].Sequence, uint64(3))
}

func TestReadUntilZeros_StopsAfterRecords(t *testing.T) {
	records := bytes.Repeat([]byte("record"), maxZeroRunBytes/3)
	for _, length := range []int{0, 1, len(records), len(records) + maxZeroRunBytes/2, 50 * maxZeroRunBytes} {
		file := make([]byte, length)
		copy(file, records)
		content, err := readUntilZeros(bytes.NewReader(file))
		assert.NilError(t, err)
		assert.Assert(t, len(content) <= len(records)+2*maxZeroRunBytes)
		assert.Assert(t, bytes.Equal(bytes.TrimRight(content, "\x00"), bytes.TrimRight(file, "\x00")))
	}
}

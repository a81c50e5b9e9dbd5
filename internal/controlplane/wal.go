package controlplane

import (
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/keystore"
)

const (
	// walSegments is how many files the write-ahead log is spread over.
	walSegments     = keystore.SegmentCount
	minSegmentBytes = 1 << 20
	maxSegmentBytes = 12 << 20
	// diskDivisor: one segment takes this part of the disk space that the settings grant.
	diskDivisor = 8

	openRetryInterval = 100 * time.Millisecond
	maxOpenAttempts   = 40
)

// segmentBytes is the size of a segment where the settings grant that many mebibytes of disk.
func segmentBytes(diskMb float64) int64 {
	return int64(min(max(diskMb*(1<<20)/diskDivisor, minSegmentBytes), maxSegmentBytes))
}

// openWAL opens the member's write-ahead log, and retries for some seconds while the disk fails: a
// start must sync what it reads before it relies on it. Damage is logged; the log is then empty and the
// member is to be treated as one whose disk was wiped, whatever the settings say about bootstrap.
func openWAL(directory keystore.Directory, size int64) (*keystore.WAL, error) {
	wal, err := keystore.OpenWAL(directory, walSegments, size)
	for attempt := 1; err != nil && attempt < maxOpenAttempts; attempt++ {
		logrus.WithError(err).Warn("data directory can't be opened yet")
		time.Sleep(openRetryInterval)
		wal, err = keystore.OpenWAL(directory, walSegments, size)
	}
	if err != nil {
		return nil, err
	}
	if damage := wal.Damage(); damage != nil {
		logrus.WithError(damage).Error("data directory is damaged: its state is not used, this member catches up as a new one")
	}
	return wal, nil
}

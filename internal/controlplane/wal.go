package controlplane

import (
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/keystore"
)

const (
	// walSegments is the number of files of the write-ahead log.
	walSegments     = keystore.SegmentCount
	minSegmentBytes = 1 << 20
	maxSegmentBytes = 12 << 20
	// diskDivisor is the fraction of the disk space in the settings that one segment may use.
	diskDivisor = 8

	openRetryInterval = 100 * time.Millisecond
	maxOpenAttempts   = 40
)

// segmentBytes returns the size of a segment if the settings allow diskMb mebibytes of disk space.
func segmentBytes(diskMb float64) int64 {
	return int64(min(max(diskMb*(1<<20)/diskDivisor, minSegmentBytes), maxSegmentBytes))
}

// openWAL opens the member's write-ahead log. It retries for some seconds while the disk fails, because a starting member must
// sync what it reads before it relies on it. Damage is logged; the log is then empty, and the member must be treated as one whose
// disk was wiped, regardless of the bootstrap setting.
func openWAL(directory keystore.Directory, size int64) (*keystore.WAL, error) {
	wal, err := keystore.OpenWAL(directory, walSegments, size)
	for attempt := 1; err != nil && attempt < maxOpenAttempts; attempt++ {
		logrus.WithError(err).Warn("data directory could not be opened; retrying")
		time.Sleep(openRetryInterval)
		wal, err = keystore.OpenWAL(directory, walSegments, size)
	}
	if err != nil {
		return nil, err
	}
	if damage := wal.Damage(); damage != nil {
		logrus.WithError(damage).Error("data directory is damaged; discarding its state and catching up as a new member")
	}
	return wal, nil
}

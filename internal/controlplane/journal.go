package controlplane

import (
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/keystore"
)

const (
	openRetryInterval = 100 * time.Millisecond
	maxOpenAttempts   = 40
)

// openWAL opens the member's journal, and asks again for some seconds while the disk refuses: a start must sync
// what it reads before it goes by it. Damage is logged; the journal is then empty and the member is to be treated as
// one whose disk was wiped, whatever the settings say about bootstrap.
func openWAL(directory keystore.Directory, size int64) (*keystore.WAL, error) {
	wal, err := keystore.OpenWAL(directory, walSegments, size)
	for attempt := 1; err != nil && attempt < maxOpenAttempts; attempt++ {
		logrus.WithError(err).Warn("data folder can't be opened yet")
		time.Sleep(openRetryInterval)
		wal, err = keystore.OpenWAL(directory, walSegments, size)
	}
	if err != nil {
		return nil, err
	}
	if damage := wal.Damage(); damage != nil {
		logrus.WithError(damage).Error("data folder is damaged: its state is not used, this member catches up as a new one")
	}
	return wal, nil
}

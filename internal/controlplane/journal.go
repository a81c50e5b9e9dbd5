package controlplane

import (
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/keystore"
)

const (
	openPause = 100 * time.Millisecond
	openTries = 40
)

// openJournal opens the member's journal, and asks again for some seconds while the disk refuses: a start must sync
// what it reads before it goes by it. Damage is logged; the journal is then empty and the member is to be treated as
// one whose disk was wiped, whatever the settings say about bootstrap.
func openJournal(folder keystore.Directory, size int64) (*keystore.WAL, error) {
	journal, err := keystore.OpenWAL(folder, ringFiles, size)
	for try := 1; err != nil && try < openTries; try++ {
		logrus.WithError(err).Warn("data folder can't be opened yet")
		time.Sleep(openPause)
		journal, err = keystore.OpenWAL(folder, ringFiles, size)
	}
	if err != nil {
		return nil, err
	}
	if damage := journal.Damage(); damage != nil {
		logrus.WithError(damage).Error("data folder is damaged: its state is not used, this member catches up as a new one")
	}
	return journal, nil
}

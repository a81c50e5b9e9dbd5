package dataplane

import (
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/peer"
)

// adoptConfiguration adopts the configuration of a response if it is newer than the one in use, and reports whether it did. If
// the configuration cannot be decoded, it returns an error with the revision and keeps the one in use.
func (s *FleetState) adoptConfiguration(response *peer.WatchResponse) (bool, error) {
	if !response.HasConfiguration() || response.Revision <= s.position.revision.Load() {
		return false, nil
	}
	if len(response.Deltas) > 0 {
		return s.applyDifferences(response)
	}
	if err := s.configuration.Replace(response.CompressedConfiguration); err != nil {
		return false, errors.Wrapf(err, "read revision %d", response.Revision)
	}
	if s.quotas != nil {
		s.quotas.setLimits(s.configuration.Tenants())
	}
	s.activateConfiguration()
	return true, nil
}

// applyDifferences adopts a configuration sent as a delta to the one in use. A delta that does not apply is not an error: the
// next poll requests the full configuration.
func (s *FleetState) applyDifferences(response *peer.WatchResponse) (bool, error) {
	if err := s.configuration.Apply(response.Deltas); err != nil {
		s.position.takesDifferences.Store(false)
		logrus.WithError(err).WithField("revision", response.Revision).
			Warn("configuration delta rejected, requesting the full configuration")
		return false, nil
	}
	s.activateConfiguration()
	return true, nil
}

// activateConfiguration makes the latest configuration of the follower the one in use.
func (s *FleetState) activateConfiguration() {
	s.adopted.table = s.configuration.Table()
	s.position.revision.Store(s.configuration.Revision())
	s.position.takesDifferences.Store(s.configuration.AcceptsDeltas())
	s.recordConfiguration()
	logrus.WithField("revision", s.configuration.Revision()).Info("configuration adopted")
}

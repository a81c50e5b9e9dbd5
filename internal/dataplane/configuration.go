package dataplane

import (
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/peer"
)

// adoptConfiguration adopts the configuration of a response if it is newer than the one in use, and reports whether it
// was. An error names the revision that can't be read; the one in use stays.
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
	s.useConfiguration()
	return true, nil
}

// applyDifferences adopts a configuration by its differences from the one in use. One that doesn't fit is no fault: the next
// poll asks for the whole.
func (s *FleetState) applyDifferences(response *peer.WatchResponse) (bool, error) {
	if err := s.configuration.Apply(response.Deltas); err != nil {
		s.position.takesDifferences.Store(false)
		logrus.WithError(err).WithField("revision", response.Revision).Warn("difference of configurations rejected, the whole is asked for")
		return false, nil
	}
	s.useConfiguration()
	return true, nil
}

// useConfiguration puts the newest configuration in use.
func (s *FleetState) useConfiguration() {
	s.adopted.table = s.configuration.Table()
	s.position.revision.Store(s.configuration.Revision())
	s.position.takesDifferences.Store(s.configuration.AcceptsDeltas())
	s.recordConfiguration()
	logrus.WithField("revision", s.configuration.Revision()).Info("configuration adopted")
}

package dataplane

import (
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/configuration"
	"ferryspar/internal/peer"
)

// adoptConfiguration adopts the configuration of a response if it is newer than the one in use, and reports whether it
// was. An error names the revision that can't be read; the one in use stays.
func (s *FleetState) adoptConfiguration(response *peer.WatchResponse) (bool, error) {
	if len(response.PackedConfiguration) == 0 || response.Revision <= s.position.revision.Load() {
		return false, nil
	}
	document, err := configuration.Decompress(response.PackedConfiguration)
	if err != nil {
		return false, errors.Wrapf(err, "unpack revision %d", response.Revision)
	}
	decoded, err := configuration.Decode(document)
	if err != nil {
		return false, errors.Wrapf(err, "decode revision %d", response.Revision)
	}
	s.adopted.table = configuration.NewTable(decoded, nil)
	if s.quotas != nil {
		s.quotas.setLimits(decoded.Tenants)
	}
	s.position.revision.Store(decoded.Revision)
	s.recordConfiguration(document)
	logrus.WithField("revision", decoded.Revision).Info("configuration adopted")
	return true, nil
}

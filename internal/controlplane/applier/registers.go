package applier

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlplane/fleetsize"
	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/drill"
	"ferryspar/internal/keystore"
	"ferryspar/internal/lease"
	"ferryspar/internal/peer"
	"ferryspar/internal/retention"
)

// publish updates the snapshot with the content of a register, according to its key. Registers with an unknown key or a value
// that cannot be decoded, such as those of later versions, are ignored. The caller holds the lock.
func (a *Applier) publish(register keystore.Register) {
	switch {
	case register.Key == keystore.ConfigurationKey:
		a.publishConfiguration(register)
	case register.Key == keystore.MembershipKey:
		a.adoptMembership(register)
	case register.Key == PlacementLeaseKey:
		a.publishLeaseHolder(register)
	case strings.HasPrefix(register.Key, keystore.ZonePrefix):
		a.publishZone(register)
	case register.Key == keystore.RetentionKey:
		a.publishRetention(register)
	case register.Key == keystore.PurgeKey:
		a.publishForgets(register)
	case register.Key == keystore.DrillKey:
		a.publishDrill(register)
	case register.Key == keystore.FleetSizeKey:
		a.publishFleetSize(register)
	}
}

func (a *Applier) publishConfiguration(register keystore.Register) {
	record, err := controlstate.DecodeConfiguration(register)
	if err != nil {
		return
	}
	a.publisher.Update(func(next *watch.Snapshot) bool {
		if record.Revision <= next.Revision {
			return false
		}
		next.AddDifference(record.Difference)
		next.Revision = record.Revision
		next.PackedConfiguration = record.CompressedDocument
		next.AppliedCalls = record.AppliedCalls
		return true
	})
}

func (a *Applier) adoptMembership(register keystore.Register) {
	var membership keystore.Membership
	if json.Unmarshal(register.Value, &membership) != nil || !a.store.AdoptMembership(membership) {
		return
	}
	logrus.WithFields(logrus.Fields{
		"version": membership.Version,
		"members": membership.Current,
		"next":    membership.Next,
	}).Info("membership adopted")
}

func (a *Applier) publishLeaseHolder(register keystore.Register) {
	var record lease.Record
	if json.Unmarshal(register.Value, &record) != nil {
		return
	}
	a.publisher.Update(func(next *watch.Snapshot) bool {
		changed := next.LeaseHolder != record.Address
		next.LeaseHolder = record.Address
		return changed
	})
}

func (a *Applier) publishZone(register keystore.Register) {
	zone := strings.TrimPrefix(register.Key, keystore.ZonePrefix)
	record, err := controlstate.DecodeZone(register)
	if err != nil {
		return
	}
	a.publisher.Update(func(next *watch.Snapshot) bool {
		if record.Version <= next.Zones[zone].Version {
			return false
		}
		zones := map[string]peer.ZoneState{}
		maps.Copy(zones, next.Zones)
		zones[zone] = peer.ZoneState{Version: record.Version, Drained: record.Drained}
		next.Zones = zones
		next.ZoneVersion = 0
		for _, state := range zones {
			next.ZoneVersion += state.Version
		}
		return true
	})
}

func (a *Applier) publishRetention(register keystore.Register) {
	var policy retention.Policy
	if json.Unmarshal(register.Value, &policy) != nil {
		return
	}
	a.publisher.Update(func(next *watch.Snapshot) bool {
		if policy.Version <= next.Retention.Version {
			return false
		}
		next.Retention = policy
		return true
	})
}

// publishForgets publishes the orders to purge cached context unless newer ones were published.
func (a *Applier) publishForgets(register keystore.Register) {
	var record retention.Record
	if json.Unmarshal(register.Value, &record) != nil {
		return
	}
	a.publisher.Update(func(next *watch.Snapshot) bool {
		if record.Number < next.PurgeRecord.Number {
			return false
		}
		next.PurgeRecord = record
		return true
	})
}

// publishFleetSize publishes the record of the number of data planes. It does not wake pending watch requests: data planes that
// have no record yet are also waiting for the configuration.
func (a *Applier) publishFleetSize(register keystore.Register) {
	var record fleetsize.Record
	if json.Unmarshal(register.Value, &record) != nil {
		return
	}
	a.publisher.UpdateWithoutNotify(func(next *watch.Snapshot) { next.FleetSize = record })
}

func (a *Applier) publishDrill(register keystore.Register) {
	var record drill.Record
	if json.Unmarshal(register.Value, &record) != nil {
		return
	}
	now := a.clock()
	a.publisher.Update(func(next *watch.Snapshot) bool {
		state, changed := next.Drill.Adopt(record, now)
		next.Drill = state
		return changed
	})
}

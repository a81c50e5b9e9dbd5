package controlplane

import (
	"encoding/json"
	"strings"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/drill"
	"ferryspar/internal/keystore"
	"ferryspar/internal/lease"
	"ferryspar/internal/peer"
)

func (n *Node) apply(register keystore.Register) {
	n.applyLock.Lock()
	defer n.applyLock.Unlock()
	if applied, known := n.appliedRegisters[register.Key]; known && !register.NewerThan(applied) {
		return
	}
	switch {
	case register.Key == keystore.ConfigurationKey:
		n.applyConfiguration(register)
	case register.Key == keystore.MembershipKey:
		var members keystore.Membership
		if json.Unmarshal(register.Value, &members) == nil && n.store.AdoptMembership(members) {
			logrus.WithFields(logrus.Fields{"number": members.Version, "present": members.Current, "next": members.Next}).Info("members adopted")
		}
	case register.Key == placementLease:
		var record lease.Record
		if json.Unmarshal(register.Value, &record) == nil {
			n.publisher.Update(func(next *watch.Snapshot) bool {
				changed := next.LeaseHolder != record.Address
				next.LeaseHolder = record.Address
				return changed
			})
		}
	case strings.HasPrefix(register.Key, keystore.ZonePrefix):
		n.applyZone(register)
	case register.Key == keystore.RetentionKey:
		n.applyPolicy(register)
	case register.Key == keystore.ForgetKey:
		n.applyForgets(register)
	case register.Key == keystore.DrillKey:
		n.applyDrill(register)
	}
	n.appliedRegisters[register.Key] = register.WithoutValue()
}

// applyDrill adopts a committed drill record.
func (n *Node) applyDrill(register keystore.Register) {
	var record drill.Record
	if json.Unmarshal(register.Value, &record) != nil {
		return
	}
	now := n.clock()
	n.publisher.Update(func(next *watch.Snapshot) bool {
		state, changed := next.Drill.Adopt(record, now)
		next.Drill = state
		return changed
	})
}

func (n *Node) applyConfiguration(register keystore.Register) {
	record, err := controlstate.DecodeConfiguration(register)
	if err != nil {
		return
	}
	n.publisher.Update(func(next *watch.Snapshot) bool {
		if record.Revision <= next.Revision {
			return false
		}
		next.Revision, next.PackedConfiguration = record.Revision, record.Packed
		return true
	})
}

func (n *Node) applyZone(register keystore.Register) {
	zone := strings.TrimPrefix(register.Key, keystore.ZonePrefix)
	record, err := controlstate.DecodeZone(register)
	if err != nil {
		return
	}
	n.publisher.Update(func(next *watch.Snapshot) bool {
		if record.Version <= next.Zones[zone].Version {
			return false
		}
		zones := map[string]peer.ZoneState{zone: {Version: record.Version, Drained: record.Drained}}
		for name, state := range next.Zones {
			if name != zone {
				zones[name] = state
			}
		}
		next.Zones, next.ZoneVersion = zones, 0
		for _, state := range zones {
			next.ZoneVersion += state.Version
		}
		return true
	})
}

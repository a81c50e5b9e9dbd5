package controlplane

import (
	"encoding/json"
	"strings"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlstate"
	"ferryspar/internal/keystore"
	"ferryspar/internal/lease"
	"ferryspar/internal/peer"
)

func (d *Daemon) apply(slot keystore.Register) {
	d.applied.Lock()
	defer d.applied.Unlock()
	if held, known := d.shown[slot.Key]; known && !slot.NewerThan(held) {
		return
	}
	switch {
	case slot.Key == keystore.ConfigurationKey:
		d.applyConfiguration(slot)
	case slot.Key == keystore.MembershipKey:
		var members keystore.Membership
		if json.Unmarshal(slot.Value, &members) == nil && d.store.AdoptMembership(members) {
			logrus.WithFields(logrus.Fields{"number": members.Version, "present": members.Current, "next": members.Next}).Info("members adopted")
		}
	case slot.Key == placementLease:
		var record lease.Record
		if json.Unmarshal(slot.Value, &record) == nil {
			d.publisher.Update(func(next *Snapshot) bool {
				changed := next.LeaseHolder != record.Address
				next.LeaseHolder = record.Address
				return changed
			})
		}
	case strings.HasPrefix(slot.Key, keystore.ZonePrefix):
		d.applyZone(slot)
	case slot.Key == keystore.RetentionKey:
		d.applyPolicy(slot)
	case slot.Key == keystore.ForgetKey:
		d.applyForgets(slot)
	case slot.Key == keystore.DrillKey:
		d.applyDrill(slot)
	}
	d.shown[slot.Key] = slot.WithoutValue()
}

func (d *Daemon) applyConfiguration(slot keystore.Register) {
	record, err := controlstate.DecodeConfiguration(slot)
	if err != nil {
		return
	}
	d.publisher.Update(func(next *Snapshot) bool {
		if record.Revision <= next.Revision {
			return false
		}
		next.Revision, next.PackedConfiguration = record.Revision, record.Packed
		return true
	})
}

func (d *Daemon) applyZone(slot keystore.Register) {
	zone := strings.TrimPrefix(slot.Key, keystore.ZonePrefix)
	record, err := controlstate.DecodeZone(slot)
	if err != nil {
		return
	}
	d.publisher.Update(func(next *Snapshot) bool {
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

package controlplane

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/discovery"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/replica"
	"ferryspar/internal/replicastate"
)

// storeLoadTimeShare is the share of the load time after which a load that still runs can't come from the
// replica's own disk: it lies well above diskLoadTimeShare.
const storeLoadTimeShare = 0.5

// diskKey names the disk that a listed replica is taken to have: a replica that starts again at its
// address keeps its disk, one of another service that gets the address later has its own.
func diskKey(listed discovery.Replica) string { return listed.Backend + " " + listed.Address }

// verifyDiskLoad looks whether a load that was taken for one from the replica's own disk comes from the
// store after all, as at a replica that took the place of another at its address: then the load
// still runs when one from a disk is long done. It counts from its beginning, and what the disk was
// believed to hold is forgotten, so that further loads are counted before they begin.
func (s *Scheduler) verifyDiskLoad(tracked *trackedReplica, state replica.Report, polledAt time.Time) {
	if tracked.pendingAction == nil || !tracked.pendingAction.Load || tracked.pendingAction.FromStore || strings.Contains(tracked.pendingAction.Model, "/") {
		return
	}
	carriedOut := tracked.state.IsCarryingOut(replicastate.Report{Sequence: state.Sequence, Busy: state.Busy})
	model, known := s.findModel(tracked.listed.Backend, tracked.pendingAction.Model)
	ran := polledAt.Add(-reportLag).Sub(tracked.startedAt).Seconds()
	if !carriedOut || !known || ran < storeLoadTimeShare*model.LoadTimeS {
		return
	}
	tracked.pendingAction.FromStore = true
	s.countStartedLoad(tracked.startedAt)
	s.lock.Lock()
	s.modelsOnDisk[diskKey(tracked.listed)] = map[string]bool{tracked.pendingAction.Model: true}
	s.recordModelsOnDisk(tracked.listed, tracked.state.Loaded())
	s.lock.Unlock()
	logrus.WithFields(logrus.Fields{
		"replica": tracked.listed.ID, "model": tracked.pendingAction.Model, "ran_ms": nodesettings.Seconds(ran).Milliseconds(),
	}).Info("load comes from the store, not from the replica's disk")
}

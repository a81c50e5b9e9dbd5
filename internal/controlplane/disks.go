package controlplane

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/platform"
	"ferryspar/internal/replica"
	"ferryspar/internal/replicastate"
)

// storeShare is the share of the load time after which a load that still runs can't come from the
// replica's own disk: it lies well above diskShare.
const storeShare = 0.5

// diskOf names the disk that a listed replica is taken to have: a replica that starts again at its
// address keeps its disk, one of another service that gets the address later has its own.
func diskOf(listed platform.Replica) string { return listed.Backend + " " + listed.Address }

// checkDisk looks whether a load that was taken for one from the replica's own disk comes from the
// store after all, as at a replica that took the place of another at its address: then the load
// still runs when one from a disk is long done. It counts from its beginning, and what the disk was
// believed to hold is forgotten, so that further loads are counted before they begin.
func (w *Scheduler) checkDisk(one *managedReplica, state replica.Report, askedAt time.Time) {
	if one.pending == nil || !one.pending.Load || one.pending.FromStore || strings.Contains(one.pending.Model, "/") {
		return
	}
	carriedOut := one.state.CarriesOut(replicastate.Report{Sequence: state.Sequence, Busy: state.Busy})
	model, known := w.modelOf(one.listed.Backend, one.pending.Model)
	ran := askedAt.Add(-reportLag).Sub(one.began).Seconds()
	if !carriedOut || !known || ran < storeShare*model.LoadTimeS {
		return
	}
	one.pending.FromStore = true
	w.countBegun(one.began)
	w.lock.Lock()
	w.heldOnce[diskOf(one.listed)] = map[string]bool{one.pending.Model: true}
	w.remember(one.listed, one.state.Held())
	w.lock.Unlock()
	logrus.WithFields(logrus.Fields{
		"replica": one.listed.ID, "model": one.pending.Model, "ran_ms": nodesettings.Seconds(ran).Milliseconds(),
	}).Info("load comes from the store, not from the replica's disk")
}

package fleetsize

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// checkInterval is how often the record is compared with the observation, and the minimum interval between writes.
const checkInterval = time.Second

// Host is the control plane that a Recorder belongs to.
type Host interface {
	// IsRecorder reports whether this control plane is the one that writes the record.
	IsRecorder(now time.Time) bool
	// Recorded returns the current record, zero if there is none.
	Recorded() Record
	// Observe returns what this control plane has heard from the data planes.
	Observe(now time.Time) Observation
	// Write replaces the record with the result of decide.
	Write(ctx context.Context, decide func(current Record) Record) error
}

// Recorder updates the record. It is used only by the goroutine of Run.
type Recorder struct {
	host    Host
	clock   func() time.Time
	decider Decider
}

// NewRecorder returns a recorder that has observed nothing.
func NewRecorder(host Host, clock func() time.Time) *Recorder {
	return &Recorder{host: host, clock: clock}
}

// Run updates the record until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.check(ctx)
		}
	}
}

// check writes the record if it is due.
func (r *Recorder) check(ctx context.Context) {
	now := r.clock()
	if !r.host.IsRecorder(now) {
		r.decider = Decider{}
		return
	}
	recorded := r.host.Recorded()
	next, changed := r.decider.Next(recorded, r.host.Observe(now), now)
	if !changed {
		return
	}
	err := r.host.Write(ctx, func(current Record) Record {
		if current.DataPlanes > recorded.DataPlanes {
			// Another control plane has raised the count in the meantime.
			next.DataPlanes = max(next.DataPlanes, current.DataPlanes)
		}
		return next
	})
	if err != nil {
		logrus.WithError(err).Debug("fleet size not recorded")
		return
	}
	logrus.WithField("data_planes", next.DataPlanes).Info("fleet size recorded")
}

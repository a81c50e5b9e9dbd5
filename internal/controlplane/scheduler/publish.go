package scheduler

import (
	"time"

	"ferryspar/internal/controlplane/replicatracker"
)

// publishInterval is the minimum interval between publications of observations outside of plans.
const publishInterval = 50 * time.Millisecond

// observationPublisher publishes replica state that is newer than the platform's list: the models reported since and the
// references being unloaded. It is used only by the planning loop.
type observationPublisher struct {
	tracker *replicatracker.Tracker
	roster  Roster
	clock   func() time.Time
	// publishedAt is when the observations were last published.
	publishedAt time.Time
}

func (p *observationPublisher) publish() {
	p.tracker.PublishObservations()
	p.publishedAt = p.clock()
	p.roster.PublishPlacement(p.tracker.Len())
}

// publishChanges publishes the observations if any of them have changed.
func (p *observationPublisher) publishChanges() {
	if p.tracker.HasUnpublished() {
		p.publish()
	}
}

// intervalOver reports whether publishInterval has passed since the last publication.
func (p *observationPublisher) intervalOver(now time.Time) bool {
	return now.Sub(p.publishedAt) >= publishInterval
}

// withdraw removes the published observations. It is called without a lease, when another node may have newer ones.
func (p *observationPublisher) withdraw() {
	if p.tracker.WithdrawObservations() {
		p.roster.PublishPlacement(0)
	}
}

package scheduler

import (
	"time"

	"ferryspar/internal/controlplane/replicatracker"
)

// publishInterval is the least time between two publications of observations outside of plans.
const publishInterval = 50 * time.Millisecond

// observationPublisher publishes what is known of replicas better than the list says: the models reported since and the
// references being unloaded. The planning loop alone uses it.
type observationPublisher struct {
	tracker *replicatracker.Tracker
	roster  Roster
	clock   func() time.Time
	// publishedAt is when observations were published last.
	publishedAt time.Time
}

// publish publishes the observations.
func (p *observationPublisher) publish() {
	p.tracker.PublishObservations()
	p.publishedAt = p.clock()
	p.roster.PublishPlacement(p.tracker.Len())
}

// publishChanges publishes the observations if any has changed.
func (p *observationPublisher) publishChanges() {
	if p.tracker.HasUnpublished() {
		p.publish()
	}
}

// intervalOver tells whether the last publication lies publishInterval back.
func (p *observationPublisher) intervalOver(now time.Time) bool {
	return now.Sub(p.publishedAt) >= publishInterval
}

// withdraw takes back what was published: another node may know better.
func (p *observationPublisher) withdraw() {
	if p.tracker.WithdrawObservations() {
		p.roster.PublishPlacement(0)
	}
}

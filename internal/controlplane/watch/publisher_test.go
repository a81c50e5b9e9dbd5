package watch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
)

// isClosed reports whether the channel is closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func TestPublisher_WakesRequestsByKindOfChange(t *testing.T) {
	confirmedAt := testStart
	expiredAt := testStart.Add(peer.ConfirmationLease)
	cases := map[string]struct {
		change       func(publisher *Publisher)
		wakesChanged bool
		wakesConfirm bool
	}{
		"update": {
			change:       func(publisher *Publisher) { publisher.Update(func(*Snapshot) bool { return true }) },
			wakesChanged: true,
		},
		"update that returns false": {
			change: func(publisher *Publisher) { publisher.Update(func(*Snapshot) bool { return false }) },
		},
		"update without notification": {
			change: func(publisher *Publisher) { publisher.UpdateWithoutNotify(func(*Snapshot) {}) },
		},
		"confirmation of a fresh state": {
			change:       func(publisher *Publisher) { publisher.Confirm(confirmedAt, expiredAt.Add(-time.Millisecond)) },
			wakesConfirm: true,
		},
		"confirmation of a state whose confirmation expired": {
			change:       func(publisher *Publisher) { publisher.Confirm(expiredAt, expiredAt) },
			wakesChanged: true,
			wakesConfirm: true,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			publisher := NewPublisher()
			publisher.Confirm(confirmedAt, confirmedAt)
			before := publisher.Current()
			test.change(publisher)
			assert.Equal(t, isClosed(before.changed), test.wakesChanged)
			assert.Equal(t, isClosed(before.confirmed), test.wakesConfirm)
			assert.Equal(t, publisher.Current().Version > before.Version, test.wakesChanged)
			assert.Assert(t, !isClosed(publisher.Current().changed) && !isClosed(publisher.Current().confirmed))
		})
	}
}

func TestPublisher_SnapshotsAreImmutable(t *testing.T) {
	publisher := NewPublisher()
	before := publisher.Current()
	publisher.Update(func(next *Snapshot) bool {
		next.Revision = 3
		return true
	})
	assert.Equal(t, before.Revision, int64(0))
	assert.Equal(t, publisher.Current().Revision, int64(3))
}

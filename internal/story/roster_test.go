package story

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const platformHost = "10.200.0.1"

// holderHost is the host of the daemon that holds the placement lease, as another one tells.
func (o *operators) holderHost(asked string) string {
	return hostOf(o.status(asked).Holder)
}

// stateListed is what a control daemon says of a replica's state; empty if it lists none of that id.
func (o *operators) stateListed(host, id string) string {
	for _, one := range o.status(host).Replicas {
		if one.ID == id {
			return one.State
		}
	}
	return ""
}

func TestGivenALeaseHolderCutOffFromThePlatformThenNoOtherMemberGoesBackToItsOlderList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := settled(t, 1, one, two)
		o := newOperators(f, 1, 1, 2, 3)
		holder := o.holderHost(coreHost(1))
		f.network.holdBoth(holder, platformHost, true)
		time.Sleep(500 * time.Millisecond)
		two.drain(true)
		time.Sleep(4 * time.Second)
		assert.Equal(t, o.stateListed(holder, "i-2"), "draining", "the holder is told by those that it tells")
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			for number := 1; number <= 3; number++ {
				if host := coreHost(number); host != holder {
					assert.Equal(t, o.stateListed(host, "i-2"), "draining", "%s, cut off: %s", host, holder)
				}
			}
		}
	})
}

func TestGivenAListThatTakesLongToReadThenNoColdReplicaIsTakenForWarmTooEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := settled(t, 1, one)
		o := newOperators(f, 1, 1, 2, 3)
		f.lock.Lock()
		f.listTook = 800 * time.Millisecond
		f.lock.Unlock()
		coldUntil := time.Now().Add(12 * time.Second)
		one.cool(coldUntil)
		time.Sleep(4 * time.Second)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for number := 1; number <= 3; number++ {
				told := o.status(coreHost(number))
				left := time.Duration(told.Replicas[0].ColdRemainingMs-float64(told.ListMs)) * time.Millisecond
				assert.Assert(t, !time.Now().Add(left).Before(coldUntil.Add(-time.Millisecond)), "%s early at %d", coldUntil.Sub(time.Now().Add(left)), number)
			}
		}
	})
}

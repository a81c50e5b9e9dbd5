package dataplane

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
)

// refusingNetwork refuses every connection and counts the attempts.
type refusingNetwork struct{ dials atomic.Int64 }

func (n *refusingNetwork) DialFunc(time.Duration, time.Duration) peer.DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		n.dials.Add(1)
		return nil, errors.New("refused")
	}
}

func (*refusingNetwork) Listen(string) (net.Listener, error) { return nil, errors.New("not served") }

// idleState is a pollState that has adopted nothing.
type idleState struct{}

func (idleState) fillWatchRequest(*peer.WatchRequest, string) {}
func (idleState) Primary() string                             { return "" }

func TestWatcher_BacksOffOnlyAfterStartupPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &refusingNetwork{}
		watcher := NewWatcher(peer.NewClient(network), time.Now, idleState{})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for {
				select {
				case result := <-watcher.results:
					result.markHandled(resultDisposition{})
				case <-ctx.Done():
					return
				}
			}
		}()
		watcher.Watch(ctx, []string{"control:1"})
		time.Sleep(startupPeriod)
		atStart := network.dials.Load()
		assert.Assert(t, atStart >= int64(startupPeriod/minPollBackoff)-1, "%d polls", atStart)
		time.Sleep(10 * time.Second)
		later := network.dials.Load() - atStart
		assert.Assert(t, later <= int64(10*time.Second/maxPollBackoff)+3, "%d polls", later)
		cancel()
		watcher.Wait()
	})
}

package keystore_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
)

var errMessageLost = errors.New("lost")

// lossyTransport loses the first messages to each member, and grants all others.
type lossyTransport struct {
	lock sync.Mutex
	// lost is the number of messages that are lost to each member.
	lost int
	sent map[string]int
}

// Send replies like a member that has promised nothing to other proposers.
func (l *lossyTransport) Send(ctx context.Context, address string, message keystore.Message) (keystore.Reply, error) {
	l.lock.Lock()
	l.sent[address]++
	isLost := l.sent[address] <= l.lost
	l.lock.Unlock()
	if isLost {
		<-ctx.Done()
		return keystore.Reply{}, errMessageLost
	}
	return keystore.Reply{Granted: true, DiskIncarnation: 1, Membership: message.Membership}, nil
}

func newLossyStore(lost int) (*keystore.Store, *lossyTransport) {
	transport := &lossyTransport{lost: lost, sent: map[string]int{}}
	membership := keystore.Membership{Version: 1, Current: []string{"a", "b", "c"}}
	return keystore.NewStore("a", 7, transport, membership), transport
}

func changeToOne(keystore.Register) (json.RawMessage, error) { return json.RawMessage(`1`), nil }

func TestStore_LostMessageIsResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, transport := newLossyStore(1)
		began := time.Now()
		_, err := store.Change(t.Context(), "k", changeToOne)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) < 300*time.Millisecond, "took %s", time.Since(began))
		time.Sleep(5 * time.Second)
		for address, sent := range transport.sent {
			assert.Assert(t, sent <= 4, "%s received %d messages in three rounds with one loss", address, sent)
		}
	})
}

func TestStore_LargeValueIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, transport := newLossyStore(0)
		large := json.RawMessage(`"` + strings.Repeat("x", 64<<10) + `"`)
		write := func(keystore.Register) (json.RawMessage, error) { return large, nil }
		_, err := store.Change(t.Context(), "k", write)
		assert.NilError(t, err)
		time.Sleep(5 * time.Second)
		before := transport.sent["c"]
		transport.lost = 1000
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		_, err = store.Change(ctx, "k", write)
		assert.Assert(t, errors.Is(err, keystore.ErrUncertain), "%v", err)
		time.Sleep(5 * time.Second)
		assert.Equal(t, transport.sent["c"]-before, 1)
	})
}

func TestStore_ResendsToSilentMembersAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, transport := newLossyStore(1000)
		ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
		defer cancel()
		_, err := store.Change(ctx, "k", changeToOne)
		assert.Assert(t, errors.Is(err, keystore.ErrNoMajority), "%v", err)
		time.Sleep(5 * time.Second)
		for address, sent := range transport.sent {
			assert.Assert(t, sent <= 6, "%s received %d messages in two rounds", address, sent)
		}
	})
}

// unreachableTransport grants the messages to a, and fails those to other members after connectTimeout.
type unreachableTransport struct{ connectTimeout time.Duration }

func (u unreachableTransport) Send(_ context.Context, address string, message keystore.Message) (keystore.Reply, error) {
	if address != "a" {
		time.Sleep(u.connectTimeout)
		return keystore.Reply{}, errMessageLost
	}
	return keystore.Reply{Granted: true, DiskIncarnation: 1, Membership: message.Membership}, nil
}

func TestStore_UnreachableMemberEndsRoundAtFirstFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		membership := keystore.Membership{Version: 1, Current: []string{"a", "b", "c"}}
		store := keystore.NewStore("a", 7, unreachableTransport{connectTimeout: 500 * time.Millisecond}, membership)
		began := time.Now()
		_, err := store.Acquire(t.Context(), keystore.LeasePrefix+"duty", func(keystore.Register) json.RawMessage { return nil })
		assert.Assert(t, errors.Is(err, keystore.ErrNoMajority), "%v", err)
		assert.Equal(t, time.Since(began), 500*time.Millisecond)
		time.Sleep(5 * time.Second)
	})
}

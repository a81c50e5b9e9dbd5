package keystore_test

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
)

var (
	threeMembers = keystore.Membership{Version: 1, Current: []string{"a", "b", "c"}}
	// replacingC replaces c by d.
	replacingC = keystore.Membership{Version: 2, Current: []string{"a", "b", "c"}, Next: []string{"a", "b", "d"}}
	withoutC   = keystore.Membership{Version: 3, Current: []string{"a", "b", "d"}}
)

// steppingTransport delivers messages to the states of acceptors, some of which are down.
type steppingTransport struct {
	states map[string]*keystore.AcceptorState
	down   []string
}

// Send replies like the member at the address, with a disk that syncs at once.
func (s *steppingTransport) Send(ctx context.Context, address string, message keystore.Message) (keystore.Reply, error) {
	if slices.Contains(s.down, address) {
		<-ctx.Done()
		return keystore.Reply{}, errMessageLost
	}
	state := s.states[address]
	reply, changes := state.Step(message, time.Now(), state.Registers)
	state.Apply(changes)
	return reply, nil
}

// newSteppingTransport returns a transport to members that vote under the first membership.
func newSteppingTransport(addresses ...string) *steppingTransport {
	transport := &steppingTransport{states: map[string]*keystore.AcceptorState{}}
	for index, address := range addresses {
		state := &keystore.AcceptorState{Address: address, Registers: map[string]keystore.Register{}}
		state.Apply(keystore.BootstrapRegisters(threeMembers, uint64(index+1)))
		transport.states[address] = state
	}
	return transport
}

func changeMembership(t *testing.T, store *keystore.Store, current, next keystore.Membership) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := store.ChangeMembership(ctx, current, next)
	if err == nil {
		store.AdoptMembership(next)
	}
	return err
}

func committedMembership(t *testing.T, store *keystore.Store) keystore.Membership {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	register, err := store.Read(ctx, keystore.MembershipKey)
	assert.NilError(t, err)
	var committed keystore.Membership
	assert.NilError(t, json.Unmarshal(register.Value, &committed))
	return committed
}

func TestStore_RollsBackChangeWithoutMajorityOfNextMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := newSteppingTransport("a", "b", "c", "d")
		store := keystore.NewStore("a", 7, transport, threeMembers)
		assert.NilError(t, changeMembership(t, store, threeMembers, replacingC))
		transport.down = []string{"b", "d"}
		_, err := store.Digest(t.Context())
		assert.Equal(t, err, keystore.ErrNoMajority, "only one of three next members is up")
		assert.NilError(t, changeMembership(t, store, replacingC, replacingC.RolledBack()))
		assert.DeepEqual(t, committedMembership(t, store), replacingC.RolledBack())
	})
}

func TestStore_AcceptedCompletionIsNotRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := newSteppingTransport("a", "b", "c", "d")
		first := keystore.NewStore("a", 7, transport, threeMembers)
		assert.NilError(t, changeMembership(t, first, threeMembers, replacingC))
		second := keystore.NewStore("b", 8, transport, replacingC)
		_, err := first.ChangeMembership(t.Context(), replacingC, withoutC)
		assert.NilError(t, err)
		// c is down. a and b have accepted the completion, but know the joint membership only.
		transport.down = []string{"c"}
		err = changeMembership(t, second, replacingC, replacingC.RolledBack())
		if errors.Is(err, keystore.ErrContended) {
			// The first store has had to take the key twice, so that this one's first proposal number was too low: nothing was decided.
			err = changeMembership(t, second, replacingC, replacingC.RolledBack())
		}
		assert.Equal(t, err, keystore.ErrSuperseded)
		assert.DeepEqual(t, committedMembership(t, second), withoutC)
		transport.down = []string{"c", "d", "b"}
		assert.Assert(t, changeMembership(t, second, replacingC, replacingC.RolledBack()) != nil, "no majority is up")
	})
}

func TestStore_RollbackUnderOlderMembershipIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := newSteppingTransport("a", "b", "c", "d")
		first := keystore.NewStore("a", 7, transport, threeMembers)
		second := keystore.NewStore("c", 9, transport, replacingC)
		assert.NilError(t, changeMembership(t, first, threeMembers, replacingC))
		assert.NilError(t, changeMembership(t, first, replacingC, withoutC))
		assert.DeepEqual(t, committedMembership(t, first), withoutC)
		assert.Assert(t, changeMembership(t, second, replacingC, replacingC.RolledBack()) != nil)
		assert.DeepEqual(t, committedMembership(t, first), withoutC)
	})
}

func TestMembership_IsRolledBackBy(t *testing.T) {
	assert.Assert(t, replacingC.IsRolledBackBy(keystore.Membership{Version: 3, Current: threeMembers.Current}))
	assert.Assert(t, !replacingC.IsRolledBackBy(withoutC), "completed")
	assert.Assert(t, !replacingC.IsRolledBackBy(keystore.Membership{Version: 4, Current: threeMembers.Current}), "a later version")
	assert.Assert(t, !threeMembers.IsRolledBackBy(threeMembers.RolledBack()), "no change is in progress")
}

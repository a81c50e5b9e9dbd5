package keystoresim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/keystore"
)

// Present lists the machines that are, or are to be, members.
func (c *Cluster) MemberNames() []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	return append([]string(nil), c.Names...)
}

// Replace takes a member away for good and drives the change to an empty newcomer, by drivers that
// may stop between the steps.
func (c *Cluster) Replace(lost, newcomer string, random *rand.Rand) error {
	c.Kill(lost)
	c.lock.Lock()
	c.members[newcomer] = &Member{name: newcomer, disk: NewDisk(), zone: c.members[lost].zone}
	var names []string
	for _, name := range c.Names {
		if name == lost {
			name = newcomer
		}
		names = append(names, name)
	}
	left := append([]string(nil), c.Names...)
	c.lock.Unlock()
	c.Start(newcomer, false)
	for range 200 {
		time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
		driver := left[random.IntN(len(left))]
		if driver == lost {
			continue
		}
		if c.driveReplacement(driver, lost, newcomer, random) {
			c.lock.Lock()
			c.Names = names
			c.lock.Unlock()
			c.refreshMemberships()
			return nil
		}
	}
	return errors.New("the newcomer never became a member")
}

func (c *Cluster) refreshMemberships() {
	for _, name := range c.MemberNames() {
		store := c.StoreOf(name)
		if store == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		adoptCommittedMembership(ctx, store)
		_, _ = store.Digest(ctx)
		cancel()
	}
}

func adoptCommittedMembership(ctx context.Context, store *keystore.Store) {
	register, err := store.Read(ctx, keystore.MembershipKey)
	if err != nil {
		return
	}
	var committed keystore.Membership
	if json.Unmarshal(register.Value, &committed) == nil {
		store.AdoptMembership(committed)
	}
}

func (c *Cluster) driveReplacement(driver, lost, newcomer string, random *rand.Rand) bool {
	store := c.StoreOf(driver)
	if store == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	adoptCommittedMembership(ctx, store)
	current := store.Membership()
	if !current.IsJoint() && current.IsCurrent(newcomer) {
		return true
	}
	next := keystore.Membership{Version: current.Version + 1, Current: current.Next}
	if !current.IsJoint() {
		next.Current, next.Next = current.Current, nil
		for _, member := range current.Current {
			if member == lost {
				member = newcomer
			}
			next.Next = append(next.Next, member)
		}
	} else if !c.hasCaughtUp(newcomer, current) {
		return false
	}
	_, err := store.Change(ctx, keystore.MembershipKey, func(register keystore.Register) (json.RawMessage, error) {
		var committed keystore.Membership
		_ = json.Unmarshal(register.Value, &committed)
		if committed.Version >= next.Version {
			return nil, errors.New("members moved on")
		}
		return json.Marshal(next)
	})
	if err == nil && random.IntN(2) == 0 {
		store.AdoptMembership(next)
	}
	return false
}

func (c *Cluster) hasCaughtUp(newcomer string, current keystore.Membership) bool {
	store, acceptor := c.StoreOf(newcomer), c.runningAcceptor(newcomer)
	if store == nil || acceptor == nil {
		return false
	}
	store.AdoptMembership(current)
	self := acceptor.LocalState()
	return self.Voting && self.MembershipVersion == current.Version
}

package keystoresim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/keystore"
)

// errReplacementIncomplete means that no driver completed a replacement within the allowed attempts.
var errReplacementIncomplete = errors.New("replacement not completed: the newcomer did not become a member")

const (
	// replacementAttempts is the maximum number of attempts of drivers to advance a replacement.
	replacementAttempts = 200
	// replacementTimeout is the time limit of one attempt.
	replacementTimeout = 2 * time.Second
)

// Replace removes a member permanently and replaces it by a newcomer with an empty disk. A random member drives each step of
// the replacement, as a driver may stop between steps.
func (c *Cluster) Replace(lost, newcomer string, random *rand.Rand) error {
	c.Kill(lost)
	c.lock.Lock()
	c.members[newcomer] = &member{disk: NewDisk(), zone: c.members[lost].zone}
	names := replaced(c.Names, lost, newcomer)
	drivers := slices.Clone(c.Names)
	c.lock.Unlock()
	c.Start(newcomer, false)
	for range replacementAttempts {
		time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
		driver := drivers[random.IntN(len(drivers))]
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
	return errReplacementIncomplete
}

func replaced(names []string, lost, newcomer string) []string {
	result := slices.Clone(names)
	for position, name := range result {
		if name == lost {
			result[position] = newcomer
		}
	}
	return result
}

// driveReplacement makes a driver take the next step, and reports whether the newcomer was a member already.
func (c *Cluster) driveReplacement(driver, lost, newcomer string, random *rand.Rand) bool {
	store := c.StoreOf(driver)
	if store == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), replacementTimeout)
	defer cancel()
	adoptCommittedMembership(ctx, store)
	current := store.Membership()
	if !current.IsJoint() && current.IsCurrent(newcomer) {
		return true
	}
	next := keystore.Membership{Version: current.Version + 1}
	switch {
	case !current.IsJoint():
		next.Current = current.Current
		next.Next = replaced(current.Current, lost, newcomer)
	case c.hasCaughtUp(newcomer, current):
		next.Current = current.Next
	default:
		return false
	}
	_, err := store.ChangeMembership(ctx, current, next)
	if err == nil && random.IntN(2) == 0 {
		store.AdoptMembership(next)
	}
	return false
}

func (c *Cluster) hasCaughtUp(newcomer string, current keystore.Membership) bool {
	store, acceptor := c.StoreOf(newcomer), c.AcceptorOf(newcomer)
	if store == nil || acceptor == nil {
		return false
	}
	store.AdoptMembership(current)
	local := acceptor.LocalState()
	return local.Voting && local.MembershipVersion == current.Version
}

// refreshMemberships makes every process learn the committed membership.
func (c *Cluster) refreshMemberships() {
	for _, name := range c.MemberNames() {
		store := c.StoreOf(name)
		if store == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), replacementTimeout)
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

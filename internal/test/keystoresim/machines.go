package keystoresim

import (
	"fmt"
	"slices"
	"time"

	"ferryspar/internal/keystore"
)

// votePollInterval is the polling interval of WaitUntilAllVote.
const votePollInterval = 50 * time.Millisecond

// MemberNames returns the machines that are members or will become members.
func (c *Cluster) MemberNames() []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Clone(c.Names)
}

// Join starts a machine with an empty disk in the zone of another one. It becomes a member only once the cluster's own
// membership includes it.
func (c *Cluster) Join(newcomer, neighbor string) {
	c.lock.Lock()
	c.fixBootstrapMembers()
	c.members[newcomer] = &member{disk: NewDisk(), zone: c.members[neighbor].zone}
	c.Names = append(slices.Clone(c.Names), newcomer)
	c.lock.Unlock()
	c.Start(newcomer, false)
}

// Retire removes a machine permanently.
func (c *Cluster) Retire(name string) {
	c.Kill(name)
	c.lock.Lock()
	defer c.lock.Unlock()
	c.fixBootstrapMembers()
	c.Names = slices.DeleteFunc(slices.Clone(c.Names), func(other string) bool { return other == name })
}

// fixBootstrapMembers saves the names of the initial members before the first change of Names.
func (c *Cluster) fixBootstrapMembers() {
	if c.bootstrapMembers == nil {
		c.bootstrapMembers = slices.Clone(c.Names)
	}
}

func (c *Cluster) bootstrapMembership() keystore.Membership {
	if c.bootstrapMembers != nil {
		return keystore.BootstrapMembership(c.bootstrapMembers)
	}
	return keystore.BootstrapMembership(c.Names)
}

// WaitUntilAllVote waits until all members vote, and reports whether they did before the timeout.
func (c *Cluster) WaitUntilAllVote(timeout time.Duration) bool {
	until := time.Now().Add(timeout)
	for time.Now().Before(until) {
		names := c.MemberNames()
		voting := 0
		for _, name := range names {
			if acceptor := c.AcceptorOf(name); acceptor != nil && acceptor.LocalState().Voting {
				voting++
			}
		}
		if voting == len(names) {
			return true
		}
		time.Sleep(votePollInterval)
	}
	return false
}

// AssignZones assigns the machines to zones of the given sizes.
func (c *Cluster) AssignZones(sizes ...int) {
	position := 0
	for zone, size := range sizes {
		for range size {
			c.members[c.Names[position]].zone = zone
			position++
		}
	}
	c.zoneCount = len(sizes)
}

// Zone returns the name of a machine's zone.
func (c *Cluster) Zone(name string) string { return fmt.Sprint("zone-", c.zoneOf(name)) }

func (c *Cluster) zoneOf(name string) int { return c.member(name).zone }

func (c *Cluster) namesInZones(zones ...int) []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	var names []string
	for _, name := range c.Names {
		if slices.Contains(zones, c.members[name].zone) {
			names = append(names, name)
		}
	}
	return names
}

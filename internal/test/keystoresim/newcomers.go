package keystoresim

import (
	"fmt"
	"slices"

	"ferryspar/internal/keystore"
)

// Join starts an empty machine in the zone of another. It becomes a member only once the
// fleet's own list names it.
func (c *Cluster) Join(newcomer, like string) {
	c.lock.Lock()
	if c.bootstrapMembers == nil {
		c.bootstrapMembers = slices.Clone(c.Names)
	}
	c.members[newcomer] = &Member{name: newcomer, disk: NewDisk(), zone: c.members[like].zone}
	c.Names = append(slices.Clone(c.Names), newcomer)
	c.lock.Unlock()
	c.Start(newcomer, false)
}

// Retire ends a machine that never comes back.
func (c *Cluster) Retire(name string) {
	c.Kill(name)
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.bootstrapMembers == nil {
		c.bootstrapMembers = slices.Clone(c.Names)
	}
	c.Names = slices.DeleteFunc(slices.Clone(c.Names), func(member string) bool { return member == name })
}

// Hears says whether a heartbeat sent now gets from one machine to the other.
func (c *Cluster) CanReach(from, to string) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	sender, receiver := c.members[from], c.members[to]
	working := sender.running && receiver.running && sender.frozen == 0 && receiver.frozen == 0
	return working && c.cutLinks[[2]string{from, to}] == 0
}

// AcceptorOf is the acceptor of a running machine, nil for others.
func (c *Cluster) AcceptorOf(name string) *keystore.Acceptor { return c.runningAcceptor(name) }

// Zone names the zone of a machine.
func (c *Cluster) Zone(name string) string { return fmt.Sprint("zone-", c.zoneOf(name)) }

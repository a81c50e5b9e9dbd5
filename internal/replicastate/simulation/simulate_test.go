package simulation

import (
	"encoding/json"
	"fmt"
	"time"

	"ferryspar/internal/lease"
)

const (
	// warmUp is the time before the first fault; recoveryTime is the time after the last one within which everything that is
	// wanted must be loaded.
	warmUp       = 8 * time.Second
	recoveryTime = 40 * time.Second
)

// simulate runs a schedule to its end or until an invariant is violated.
func simulate(planned schedule, faultModel faultModel, mutation mutation, verbose bool) *cluster {
	c := &cluster{
		engine:        newEngine(planned.seed),
		faultModel:    faultModel,
		mutation:      mutation,
		fencing:       planned.fencing,
		verbose:       verbose,
		register:      &register{},
		links:         map[linkKey]*link{},
		table:         newTable(1, modelNames),
		responses:     map[int]int{},
		lateResponses: map[int]int{},
	}
	loaded := [][]string{{"m1", "m3"}, {"m2", "m4"}}
	for index := range planned.servers {
		c.servers = append(c.servers, newServer(c, fmt.Sprintf("i-%d", index+1), loaded[index]...))
	}
	for index := range planned.nodes {
		c.nodes = append(c.nodes, &node{cluster: c, name: fmt.Sprintf("node-%d", index+1)})
	}
	for index, node := range c.nodes {
		c.after(time.Duration(index)*maxStartDelay, node.start)
	}
	c.want(planned.wanted)
	at := warmUp
	c.faultsEnd = start.Add(warmUp)
	for _, fault := range planned.faults {
		at += fault.delay
		c.after(at, func() { c.applyFault(fault) })
		if end := start.Add(at + fault.duration); end.After(c.faultsEnd) {
			c.faultsEnd = end
		}
	}
	c.runUntil(c.faultsEnd, c.failed)
	for end := c.faultsEnd.Add(recoveryTime); !c.failed() && len(c.missing()) > 0 && c.now.Before(end); {
		c.runUntil(c.now.Add(time.Second), c.failed)
		c.now = maxTime(c.now, c.faultsEnd)
		if c.queue[0].at.After(c.now) {
			c.now = c.queue[0].at
		}
	}
	if !c.failed() {
		c.checkAllLoaded()
	}
	return c
}

func maxTime(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// holder returns the node that owns the lease or, if there is none yet, the one with the given index.
func (c *cluster) holder(number int) *node {
	if owner := c.register.owner; owner != nil {
		return owner
	}
	return c.nodes[number%len(c.nodes)]
}

// applyFault injects a fault.
func (c *cluster) applyFault(fault fault) {
	c.log("%s", fault)
	node, server, holder := c.nodes[fault.node%len(c.nodes)], c.servers[fault.server%len(c.servers)], c.holder(fault.node)
	if len(fault.references) > 0 && fault.kind != changeConfiguration {
		c.want(fault.references)
	}
	switch fault.kind {
	case killHolder:
		c.killFor(holder, fault.duration)
	case killAny:
		c.killFor(node, fault.duration)
	case freezeHolder:
		holder.freeze(fault.duration)
	case freezeDeciding:
		holder.freezeAfterDecision = fault.duration
	case partitionStore:
		holder.storePartitionedUntil = c.now.Add(fault.duration)
	case delayHolderRequests:
		c.delayRequests(holder, server, fault.duration)
	case loseResponses:
		c.link(holder, server).responsesLostUntil = c.now.Add(fault.duration)
	case freezeServer:
		server.freeze(fault.duration)
	case restartSameID:
		c.restart(server, server.id, fault.duration)
	case restartNewID:
		c.restart(server, server.id+"'", fault.duration)
	case delayOrder, loseOrderResponse, killSender, freezeSender, restartReceiver, freezeReceiver:
		c.onNextOrder = append(c.onNextOrder, fault)
	case changeConfiguration:
		c.configure(fault.references)
	case storeForgetsHolder:
		c.forceGrant(node, fault.duration)
	}
}

// applyOnNextOrder injects the faults that are scheduled for the next order, as that is sent.
func (c *cluster) applyOnNextOrder(from *node, to *server) {
	due := c.onNextOrder
	c.onNextOrder = nil
	for _, fault := range due {
		c.log("with this order: %s", fault)
		switch fault.kind {
		case delayOrder:
			c.delayRequests(from, to, fault.duration)
		case loseOrderResponse:
			c.link(from, to).responsesLostUntil = c.now.Add(fault.duration)
		case killSender:
			c.after(c.randomDuration(0, maxLatency), func() { c.killFor(from, fault.duration) })
		case freezeSender:
			c.after(c.randomDuration(0, maxLatency), func() { from.freeze(fault.duration) })
		case freezeReceiver:
			to.freeze(fault.duration)
		case restartReceiver:
			c.after(c.randomDuration(0, callTimeout), func() { c.restart(to, to.id, fault.duration) })
		}
	}
}

func (c *cluster) killFor(node *node, downtime time.Duration) {
	node.kill()
	c.after(downtime, node.start)
}

func (c *cluster) restart(restarted *server, id string, downtime time.Duration) {
	if !restarted.down {
		restarted.restart(id, downtime)
	}
}

// forceGrant lets a node acquire the lease and act at once while another node holds it, as if the store had lost its state.
func (c *cluster) forceGrant(node *node, duration time.Duration) {
	if !node.alive || node.frozen || c.register.owner == node {
		return
	}
	var last lease.Record
	_ = json.Unmarshal(c.register.value, &last)
	record := lease.Record{Holder: node.name, Address: node.name, Fence: last.Fence + 1}
	c.register.value, _ = json.Marshal(record)
	c.register.splitBrainUntil = c.now.Add(duration)
	c.register.holder, c.register.owner, c.register.incarnation = node.name, node, node.incarnation
	node.currentGrant = &lease.Grant{Record: record, GrantedAt: c.now, ExpiresAt: c.now.Add(grantLength), EffectiveFrom: c.now}
}

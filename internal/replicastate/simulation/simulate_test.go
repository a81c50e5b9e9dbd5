package simulation

import (
	"encoding/json"
	"fmt"
	"time"

	"ferryspar/internal/lease"
)

const (
	// warmUp is the time before the first fault, recoveryTime that after the last one, within which all must be loaded.
	warmUp       = 8 * time.Second
	recoveryTime = 40 * time.Second
)

// simulate runs a schedule to its end or until an invariant is broken.
func simulate(planned schedule, allowances allowances, mutation mutation, verbose bool) *world {
	w := &world{
		engine:        newEngine(planned.seed),
		allowances:    allowances,
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
		w.servers = append(w.servers, newServer(w, fmt.Sprintf("i-%d", index+1), loaded[index]...))
	}
	for index := range planned.nodes {
		w.nodes = append(w.nodes, &node{world: w, name: fmt.Sprintf("node-%d", index+1)})
	}
	for index, node := range w.nodes {
		w.after(time.Duration(index)*maxStartDelay, node.start)
	}
	w.want(planned.wanted)
	at := warmUp
	w.faultsEnd = start.Add(warmUp)
	for _, fault := range planned.faults {
		at += fault.delay
		w.after(at, func() { w.applyFault(fault) })
		if end := start.Add(at + fault.duration); end.After(w.faultsEnd) {
			w.faultsEnd = end
		}
	}
	w.runUntil(w.faultsEnd, w.failed)
	for end := w.faultsEnd.Add(recoveryTime); !w.failed() && len(w.missing()) > 0 && w.now.Before(end); {
		w.runUntil(w.now.Add(time.Second), w.failed)
		w.now = maxTime(w.now, w.faultsEnd)
		if w.queue[0].at.After(w.now) {
			w.now = w.queue[0].at
		}
	}
	if !w.failed() {
		w.checkAllLoaded()
	}
	return w
}

func maxTime(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// holder is the node that holds the lease, or else the one with a number.
func (w *world) holder(number int) *node {
	if owner := w.register.owner; owner != nil {
		return owner
	}
	return w.nodes[number%len(w.nodes)]
}

// applyFault injects a fault.
func (w *world) applyFault(fault fault) {
	w.log("%s", fault)
	node, server, holder := w.nodes[fault.node%len(w.nodes)], w.servers[fault.server%len(w.servers)], w.holder(fault.node)
	if len(fault.names) > 0 && fault.kind != configureOther {
		w.want(fault.names)
	}
	switch fault.kind {
	case killHolder:
		w.killFor(holder, fault.duration)
	case killAny:
		w.killFor(node, fault.duration)
	case freezeHolder:
		holder.freeze(fault.duration)
	case freezeDeciding:
		holder.freezeAfterDecision = fault.duration
	case partitionStore:
		holder.storePartitionedUntil = w.now.Add(fault.duration)
	case delayHolderRequests:
		w.delayRequests(holder, server, fault.duration)
	case loseResponses:
		w.link(holder, server).responsesLostUntil = w.now.Add(fault.duration)
	case freezeServer:
		server.freeze(fault.duration)
	case restartSame:
		w.restart(server, server.id, fault.duration)
	case restartOther:
		w.restart(server, server.id+"'", fault.duration)
	case delayOrder, loseOrderResponse, killSender, freezeSender, restartReceiver, freezeReceiver:
		w.onNextOrder = append(w.onNextOrder, fault)
	case configureOther:
		w.configure(fault.names)
	case storeForgetsHolder:
		w.forceGrant(node, fault.duration)
	}
}

// applyOnNextOrder injects the faults that were to happen with the next order, as it is sent.
func (w *world) applyOnNextOrder(from *node, to *server) {
	due := w.onNextOrder
	w.onNextOrder = nil
	for _, fault := range due {
		w.log("now: %s", fault)
		switch fault.kind {
		case delayOrder:
			w.delayRequests(from, to, fault.duration)
		case loseOrderResponse:
			w.link(from, to).responsesLostUntil = w.now.Add(fault.duration)
		case killSender:
			w.after(w.between(0, maxLatency), func() { w.killFor(from, fault.duration) })
		case freezeSender:
			w.after(w.between(0, maxLatency), func() { from.freeze(fault.duration) })
		case freezeReceiver:
			to.freeze(fault.duration)
		case restartReceiver:
			w.after(w.between(0, callTimeout), func() { w.restart(to, to.id, fault.duration) })
		}
	}
}

func (w *world) killFor(node *node, downtime time.Duration) {
	node.kill()
	w.after(downtime, node.start)
}

func (w *world) restart(restarted *server, id string, downtime time.Duration) {
	if !restarted.down {
		restarted.restart(id, downtime)
	}
}

// forceGrant has a node take the lease and act at once beside the holder, as after a store that has lost what it knew.
func (w *world) forceGrant(node *node, duration time.Duration) {
	if !node.alive || node.frozen || w.register.owner == node {
		return
	}
	var last lease.Record
	_ = json.Unmarshal(w.register.value, &last)
	record := lease.Record{Holder: node.name, Address: node.name, Fence: last.Fence + 1}
	w.register.value, _ = json.Marshal(record)
	w.register.splitUntil = w.now.Add(duration)
	w.register.holder, w.register.owner, w.register.incarnation = node.name, node, node.incarnation
	node.currentGrant = &lease.Grant{Record: record, GrantedAt: w.now, ExpiresAt: w.now.Add(grantLength), EffectiveFrom: w.now}
}

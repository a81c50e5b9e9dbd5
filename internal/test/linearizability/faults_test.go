package linearizability_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"ferryspar/internal/keystore"
	"ferryspar/internal/test/keystoresim"
)

var faultFunctions = map[faultKind]keystoresim.Fault{
	faultKill:         keystoresim.Restart,
	faultPowerLoss:    keystoresim.LosePower,
	faultWipe:         keystoresim.WipeDisk,
	faultIsolate:      keystoresim.Isolate,
	faultStallDisk:    keystoresim.StallDisk,
	faultRejectWrites: keystoresim.RejectWrites,
	faultFreeze:       keystoresim.Freeze,
	faultCutZoneLink:  keystoresim.CutZoneLink,
	faultLoseZone:     keystoresim.LoseZone,
	faultStepClock:    keystoresim.StepWallClock,
}

// stopsProcess reports whether a fault ends a process or blocks its disk. A machine has at most one such fault at a time;
// faults of links and clocks, and freezes, may overlap with it.
func (k faultKind) stopsProcess() bool {
	switch k {
	case faultKill, faultPowerLoss, faultWipe, faultStallDisk, faultRejectWrites, faultLoseZone, faultLoseMachine:
		return true
	}
	return false
}

func (s *simulation) injectFault(fault plannedFault) {
	names := s.cluster.MemberNames()
	name := names[fault.machine%len(names)]
	random := rand.New(rand.NewPCG(fault.seed, 47))
	affected := []string{name}
	if fault.kind == faultLoseZone {
		affected = s.namesInZoneOf(name)
	}
	if fault.kind.stopsProcess() {
		if !s.reserveMachines(affected) {
			return
		}
		defer s.releaseMachines(affected)
	}
	if (fault.kind == faultWipe || fault.kind == faultLoseMachine) && !s.tolerateDiskLoss(name) {
		return
	}
	s.lock.Lock()
	s.faults++
	s.lock.Unlock()
	if fault.kind == faultLoseMachine {
		s.loseMachine(name, fault.duration)
		return
	}
	faultFunctions[fault.kind](s.cluster, name, random, fault.duration)
	if fault.kind.stopsProcess() {
		s.recordRestart(affected)
	}
}

func (s *simulation) namesInZoneOf(name string) []string {
	var found []string
	for _, other := range s.cluster.MemberNames() {
		if s.cluster.Zone(other) == s.cluster.Zone(name) {
			found = append(found, other)
		}
	}
	return found
}

func (s *simulation) reserveMachines(names []string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, name := range names {
		if s.faultyMachines[name] {
			return false
		}
	}
	for _, name := range names {
		s.faultyMachines[name] = true
	}
	return true
}

func (s *simulation) releaseMachines(names []string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, name := range names {
		delete(s.faultyMachines, name)
	}
}

func (s *simulation) recordRestart(names []string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, name := range names {
		s.startedAtByMachine[name] = time.Now()
	}
}

// tolerateDiskLoss reports whether a disk may be lost, and if so counts it as lost. The loss must leave a majority of the
// disks of each group in groupsInForce.
func (s *simulation) tolerateDiskLoss(name string) bool {
	groups := s.groupsInForce()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.diskLost[name] = true
	for _, group := range groups {
		lost := 0
		for _, member := range group {
			acceptor := s.cluster.AcceptorOf(member)
			if s.diskLost[member] || acceptor != nil && !acceptor.LocalState().Voting {
				lost++
			}
		}
		if len(group) > 0 && lost > (len(group)-1)/2 {
			delete(s.diskLost, name)
			return false
		}
	}
	return true
}

// groupsInForce returns the groups of members of which a majority of disks must be kept: the members of the newest membership
// and, during a change, the next members. A schedule that interrupts replacements may lose the next members as long as no
// disk has a completion that makes them the current ones. Since a replaced member counts as lost until all machines know its
// successor, such a schedule keeps a majority of each membership that a running machine uses.
func (s *simulation) groupsInForce() [][]string {
	if !s.schedule.interruptsReplacements {
		newest := s.newestMembership()
		return [][]string{newest.Current, newest.Next}
	}
	var groups [][]string
	for _, name := range s.cluster.MemberNames() {
		store, acceptor := s.cluster.StoreOf(name), s.cluster.AcceptorOf(name)
		if store == nil || acceptor == nil {
			continue
		}
		var accepted keystore.Membership
		_ = json.Unmarshal(acceptor.Durable()[keystore.MembershipKey].Value, &accepted)
		groups = append(groups, store.Membership().Current, acceptor.Membership().Current, accepted.Current)
	}
	return groups
}

// newestMembership returns the newest membership that a running machine knows.
func (s *simulation) newestMembership() keystore.Membership {
	var newest keystore.Membership
	for _, name := range s.cluster.MemberNames() {
		if store := s.cluster.StoreOf(name); store != nil && store.Membership().Version >= newest.Version {
			newest = store.Membership()
		}
	}
	return newest
}

// loseMachine removes a machine permanently. After a delay, a standby with an empty disk starts in the same zone.
func (s *simulation) loseMachine(name string, after time.Duration) {
	s.cluster.Retire(name)
	time.Sleep(after)
	s.startStandby(name)
}

// startStandby starts a machine with an empty disk in the zone of another one.
func (s *simulation) startStandby(neighbor string) {
	s.lock.Lock()
	s.standbyCount++
	newcomer := fmt.Sprintf("newcomer-%d", s.standbyCount)
	s.diskLost[newcomer] = true
	s.lock.Unlock()
	// Keeps faults from ending the process before it runs: the restart at the end of the fault and this start would then run
	// two processes.
	s.reserveMachines([]string{newcomer})
	defer s.releaseMachines([]string{newcomer})
	s.cluster.Join(newcomer, neighbor)
	s.startMachine(newcomer)
}

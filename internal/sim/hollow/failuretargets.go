package hollow

import (
	"github.com/pkg/errors"
)

const (
	// FailureHolder stops the control plane that holds the placement lease.
	FailureHolder = "holder"
	// FailureMachine stops one data plane and one replica.
	FailureMachine = "machine"
	// FailureRack stops every tenth data plane and every tenth replica.
	FailureRack = "rack"
	// FailureZone stops all nodes and replicas in one zone.
	FailureZone = "zone"
	// FailureRegion partitions the network between the regions.
	FailureRegion = "region"
	// FailureDataPlanes stops all data planes.
	FailureDataPlanes = "restart"
	rackSize          = 10
)

// failureTargets selects the hosts affected by a failure.
type failureTargets struct {
	data, members, replicas func(host string) bool
	partitioned             bool
}

// noHost selects no host.
func noHost(string) bool { return false }

// targetsOf returns the targets of the named failure. holder is the host of the holder of the placement lease.
func (f *Fleet) targetsOf(name, holder string) (failureTargets, error) {
	zone := func(host string) bool { return f.plan.zoneOf(host) == zones[1] }
	cases := map[string]failureTargets{
		FailureHolder: {
			data:     noHost,
			members:  func(host string) bool { return host == holder },
			replicas: noHost,
		},
		FailureMachine: {
			data:     func(host string) bool { return host == f.plan.dataHost(1) },
			members:  noHost,
			replicas: func(host string) bool { return host == f.plan.replicaHost(0) },
		},
		FailureRack: {
			data:     f.everyTenth(f.plan.DataPlanes, f.plan.dataHost),
			members:  noHost,
			replicas: f.everyTenth(f.plan.Replicas, f.plan.replicaHost),
		},
		FailureZone:       {data: zone, members: zone, replicas: zone},
		FailureRegion:     {data: noHost, members: noHost, replicas: noHost, partitioned: true},
		FailureDataPlanes: {data: anyHost, members: noHost, replicas: noHost},
	}
	found, known := cases[name]
	if !known {
		return found, errors.Errorf("unknown failure, expected one of %v", names(cases))
	}
	return found, nil
}

// everyTenth selects every tenth host.
func (f *Fleet) everyTenth(count int, host func(index int) string) func(string) bool {
	chosen := map[string]bool{}
	for index := 1; index < count; index += rackSize {
		chosen[host(index)] = true
	}
	return func(name string) bool { return chosen[name] }
}

// CheckFailure returns an error if there is no failure of that name.
func CheckFailure(name string) error {
	_, err := (&Fleet{}).targetsOf(name, "")
	return err
}

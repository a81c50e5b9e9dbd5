package hollow

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"ferryspar/internal/peer"
)

// Failure holds the measurements of one injected failure: the windows before, during and after it, the number of hosts
// affected, and the outcomes of configuration changes.
type Failure struct {
	Name string `json:"name"`
	// Before, During and After are the windows before, during and after the failure.
	Before         Phase     `json:"phase"`
	During         Phase     `json:"during"`
	After          Phase     `json:"after"`
	DataPlanes     int       `json:"dataPlanes"`
	Members        int       `json:"controlPlanes"`
	Ready          Quantiles `json:"ready"`
	ChangeDuringMs float64   `json:"changeDuringMs"`
	ChangeOutcome  string    `json:"changeDuring"`
	ChangeAfterMs  float64   `json:"changeAfterMs"`
	// NextHolderMs is the time until another control plane took over the placement lease, or 0 if none did.
	NextHolderMs float64 `json:"otherHolderMs"`
	// IsolatedResponse is the response of a member on the isolated side of a partition to a configuration change.
	IsolatedResponse string `json:"cutOffSide"`
	Replicas         int    `json:"replicas"`
	// StableMs is the time from the end of the failure until placement was stable.
	StableMs float64 `json:"calmAfterMs"`
	Broken   int64   `json:"ordersCut"`
	Rejected int64   `json:"ordersRefused"`
}

// failureRun is a failure in progress, with its targets and the measurements so far.
type failureRun struct {
	fleet   *Fleet
	options Options
	result  Failure
	targets failureTargets
	// lost holds the indices of the data planes that the failure stops.
	lost []int
	// reachable and isolated hold the indices of the surviving members on either side of a partition.
	reachable []int
	isolated  []int
}

// measureFailure injects the named failure, reverts it, and measures a window before, during and after it.
func (f *Fleet) measureFailure(ctx context.Context, name string, options Options) (Failure, error) {
	run := &failureRun{fleet: f, options: options, result: Failure{Name: name}}
	before, err := f.window(name+", before", 0, options.Window, nil)
	if err != nil {
		return run.result, err
	}
	run.result.Before = before
	run.targets, err = f.targetsOf(name, before.LeaseHolder)
	if err != nil {
		return run.result, err
	}
	run.lost = f.dataIndices(run.targets.data)
	run.result.DataPlanes = len(run.lost)
	run.classifyMembers()
	broken, rejected := f.clients.broken.Load(), f.clients.rejected.Load()
	run.result.During, err = f.window(name+", during", 0, 0, func() error { return run.during(ctx) })
	if err != nil {
		return run.result, err
	}
	run.result.After, err = f.window(name+", after", 0, 0, func() error { return run.after(ctx) })
	run.result.Broken = f.clients.broken.Load() - broken
	run.result.Rejected = f.clients.rejected.Load() - rejected
	return run.result, err
}

// isReachable reports whether a host is on the operator's side of the partition. Without a partition all hosts are.
func (r *failureRun) isReachable(host string) bool {
	return !r.targets.partitioned || r.fleet.plan.regionOf(host) == regions[zones[0]]
}

// isSurviving reports whether a data plane keeps running and can be reached.
func (r *failureRun) isSurviving(host string) bool {
	return !r.targets.data(host) && r.isReachable(host)
}

// classifyMembers counts the members that the failure stops and assigns the others to their side of the partition.
func (r *failureRun) classifyMembers() {
	for index := range r.fleet.plan.Members {
		host := r.fleet.plan.memberHost(index)
		switch {
		case r.targets.members(host):
			r.result.Members++
		case r.isReachable(host):
			r.reachable = append(r.reachable, index)
		default:
			r.isolated = append(r.isolated, index)
		}
	}
}

// during injects the failure, waits for another control plane to take over the placement lease, and measures a configuration
// change on both sides of the partition. It takes at least the length of the failure.
func (r *failureRun) during(ctx context.Context) error {
	f := r.fleet
	if err := f.inject(r.targets, commandStop, true); err != nil {
		return err
	}
	r.result.Replicas = f.standIns.setLost(r.targets.replicas, true)
	end := time.Now().Add(r.options.FailureLength)
	takeover := make(chan float64, 1)
	go func() { takeover <- f.awaitHolder(r.result.Before.LeaseHolder, r.options.FailureLength) }()
	defer func() { r.result.NextHolderMs = <-takeover }()
	r.result.IsolatedResponse = f.changeAtIsolatedMember(ctx, r.isolated)
	r.result.ChangeOutcome, r.result.ChangeDuringMs = f.timeChange(ctx, f.dataIndices(r.isSurviving), r.reachable)
	sleep(time.Until(end))
	return nil
}

// after reverts the failure, measures the time to readiness and a configuration change, and waits until placement is stable.
func (r *failureRun) after(ctx context.Context) error {
	f := r.fleet
	startedAt := time.Now()
	if err := f.inject(r.targets, commandStart, false); err != nil {
		return err
	}
	f.standIns.setLost(r.targets.replicas, false)
	ready, err := f.operator.AwaitReady(ctx, r.lost, readyTimeout)
	if err != nil {
		return err
	}
	r.result.Ready = ready.Quantiles()
	_, r.result.ChangeAfterMs = f.timeChange(ctx, f.dataIndices(anyHost), f.plan.membersFrom(0))
	err = f.awaitPlacement(ctx, r.options)
	r.result.StableMs = float64((time.Since(startedAt) - r.options.StableAfter).Milliseconds())
	sleep(time.Until(startedAt.Add(r.options.FailureLength)))
	return err
}

// inject stops or restarts the targets of the failure, or starts or ends its partition.
func (f *Fleet) inject(targets failureTargets, do string, partitioned bool) error {
	if targets.partitioned {
		return f.partition(partitioned)
	}
	if err := f.commandHosts(f.members, do, targets.members); err != nil {
		return err
	}
	return f.commandHosts(f.data, do, targets.data)
}

// timeChange changes the configuration and returns the outcome and the duration in milliseconds.
func (f *Fleet) timeChange(ctx context.Context, nodes, members []int) (string, float64) {
	startedAt, missed := time.Now(), f.operator.missed
	if err := f.operator.ApplyChange(ctx, nodes, members); err != nil {
		return err.Error(), 0
	}
	durationMs := float64(time.Since(startedAt).Milliseconds())
	if f.operator.missed > missed {
		return "acknowledged, not in force at all spared nodes within the bound", durationMs
	}
	return "in force at all spared nodes", durationMs
}

// changeAtIsolatedMember sends a configuration change to a member on the isolated side and describes its response.
func (f *Fleet) changeAtIsolatedMember(ctx context.Context, members []int) string {
	if len(members) == 0 {
		return "-"
	}
	document, err := patchDocument(f.operator.revision+1, f.operator.revision)
	if err != nil {
		return err.Error()
	}
	startedAt := time.Now()
	address := f.plan.address(f.plan.memberHost(members[0]), controlPort)
	status, err := f.operator.call(ctx, http.MethodPatch, address, f.operator.revision, document)
	if err != nil {
		return "nothing"
	}
	return fmt.Sprintf("%d after %d ms", status, time.Since(startedAt).Milliseconds())
}

// awaitHolder returns the time in milliseconds until a control plane other than the former holder shares a roster, or 0 if
// none does before the timeout.
func (f *Fleet) awaitHolder(former string, timeout time.Duration) float64 {
	startedAt := time.Now()
	var first []int64
	for time.Since(startedAt) < timeout {
		counts := f.rosterCounts()
		if first == nil {
			first = counts
		}
		for index, count := range counts {
			if count > first[index] && f.members[index].hosts[0] != former {
				return float64(time.Since(startedAt).Milliseconds())
			}
		}
		sleep(probeInterval)
	}
	return 0
}

// rosterCounts returns the number of rosters shared by each member, 0 for a member that has ended.
func (f *Fleet) rosterCounts() []int64 {
	counts := make([]int64, len(f.members))
	for index, childProcess := range f.members {
		response, err := childProcess.call(command{Do: commandSnapshot})
		if err != nil {
			continue
		}
		for _, flow := range response.Snapshot.Flows[peer.MethodShareRoster.Path()] {
			counts[index] += flow.Messages
		}
	}
	return counts
}

package hollow

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"ferryspar/internal/peer"
)

// Failure is what was measured of one failure: the windows before, during and after it, whom it
// hit, and how changes of the configuration fared.
type Failure struct {
	Name string `json:"name"`
	// Before is the window before.
	Before         Phase     `json:"phase"`
	During         Phase     `json:"during"`
	After          Phase     `json:"after"`
	DataPlanes     int       `json:"dataPlanes"`
	Members        int       `json:"controlPlanes"`
	Ready          Quantiles `json:"ready"`
	ChangeDuringMs float64   `json:"changeDuringMs"`
	ChangeOutcome  string    `json:"changeDuring"`
	ChangeAfterMs  float64   `json:"changeAfterMs"`
	// NextHolderMs is when another control plane began to place, or 0 if none did.
	NextHolderMs float64 `json:"otherHolderMs"`
	// IsolatedAnswer is what a member on the cut-off side of a partition answered to a change.
	IsolatedAnswer string `json:"cutOffSide"`
	Replicas       int    `json:"replicas"`
	// StableMs is when placement was calm after the end of the failure.
	StableMs float64 `json:"calmAfterMs"`
	Broken   int64   `json:"ordersCut"`
	Rejected int64   `json:"ordersRefused"`
}

// failureRun is one failure under way: whom it hits and what was measured of it so far.
type failureRun struct {
	fleet   *Fleet
	options Options
	result  Failure
	targets failureTargets
	// lost are the indices of the data planes that end.
	lost []int
	// reachable and cutOff are the indices of the members still alive, on either side of a partition.
	reachable []int
	cutOff    []int
}

// measureFailure causes the named failure, ends it again, and measures a window before it, one
// during it and one after it.
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
	run.sortMembers()
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

// isReachable reports whether a host is on the operator's side of the partition, if there is one.
func (r *failureRun) isReachable(host string) bool {
	return !r.targets.partitioned || r.fleet.plan.regionOf(host) == regions[zones[0]]
}

// isSpared reports whether a data plane goes on and can be reached.
func (r *failureRun) isSpared(host string) bool { return !r.targets.data(host) && r.isReachable(host) }

// sortMembers counts the members that end and sorts the others by the side they are on.
func (r *failureRun) sortMembers() {
	for index := range r.fleet.plan.Members {
		host := r.fleet.plan.memberHost(index)
		switch {
		case r.targets.members(host):
			r.result.Members++
		case r.isReachable(host):
			r.reachable = append(r.reachable, index)
		default:
			r.cutOff = append(r.cutOff, index)
		}
	}
}

// during causes the failure, watches for another placement holder, and times a change of the
// configuration on either side, for the failure's length at least.
func (r *failureRun) during(ctx context.Context) error {
	f := r.fleet
	if err := f.inject(r.targets, commandStop, true); err != nil {
		return err
	}
	r.result.Replicas = f.standIns.setLost(r.targets.replicas, true)
	end := time.Now().Add(r.options.FailureLength)
	taken := make(chan float64, 1)
	go func() { taken <- f.awaitHolder(r.result.Before.LeaseHolder, r.options.FailureLength) }()
	defer func() { r.result.NextHolderMs = <-taken }()
	r.result.IsolatedAnswer = f.changeAtCutOffMember(ctx, r.cutOff)
	r.result.ChangeOutcome, r.result.ChangeDuringMs = f.timeChange(ctx, f.dataIndices(r.isSpared), r.reachable)
	sleep(time.Until(end))
	return nil
}

// after ends the failure, times readiness and a change of the configuration, and waits until the
// placement is calm.
func (r *failureRun) after(ctx context.Context) error {
	f := r.fleet
	began := time.Now()
	if err := f.inject(r.targets, commandStart, false); err != nil {
		return err
	}
	f.standIns.setLost(r.targets.replicas, false)
	ready, err := f.operator.AwaitReady(ctx, r.lost, readyTimeout)
	if err != nil {
		return err
	}
	r.result.Ready = ready.Quantiles()
	_, r.result.ChangeAfterMs = f.timeChange(ctx, f.dataIndices(anyHost), f.plan.everyMember(0))
	err = f.awaitPlacement(ctx, r.options)
	r.result.StableMs = float64((time.Since(began) - r.options.StableAfter).Milliseconds())
	sleep(time.Until(began.Add(r.options.FailureLength)))
	return err
}

// inject ends or starts again what the failure hits, or begins or ends its partition.
func (f *Fleet) inject(hit failureTargets, do string, severed bool) error {
	if hit.partitioned {
		return f.partition(severed)
	}
	if err := f.commandHosts(f.members, do, hit.members); err != nil {
		return err
	}
	return f.commandHosts(f.data, do, hit.data)
}

// timeChange makes a change of the configuration and returns how it went and how long it took in
// milliseconds.
func (f *Fleet) timeChange(ctx context.Context, nodes, members []int) (string, float64) {
	began, missed := time.Now(), f.operator.missed
	if err := f.operator.ApplyChange(ctx, nodes, members); err != nil {
		return err.Error(), 0
	}
	durationMs := float64(time.Since(began).Milliseconds())
	if f.operator.missed > missed {
		return "acknowledged, not in force at all spared nodes within the bound", durationMs
	}
	return "in force at all spared nodes", durationMs
}

// changeAtCutOffMember asks a member on the cut-off side for a change and returns its answer.
func (f *Fleet) changeAtCutOffMember(ctx context.Context, members []int) string {
	if len(members) == 0 {
		return "-"
	}
	document, err := patchDocument(f.operator.revision+1, f.operator.revision)
	if err != nil {
		return err.Error()
	}
	began := time.Now()
	address := f.plan.at(f.plan.memberHost(members[0]), controlPort)
	status, err := f.operator.call(ctx, http.MethodPatch, address, f.operator.revision, document)
	if err != nil {
		return "nothing"
	}
	return fmt.Sprintf("%d after %d ms", status, time.Since(began).Milliseconds())
}

// awaitHolder is the time in milliseconds until a control plane other than the former one shares a
// roster, or 0 if none does.
func (f *Fleet) awaitHolder(former string, timeout time.Duration) float64 {
	began := time.Now()
	var first []int64
	for time.Since(began) < timeout {
		counts := f.rosterCounts()
		if first == nil {
			first = counts
		}
		for index, count := range counts {
			if count > first[index] && f.members[index].hosts[0] != former {
				return float64(time.Since(began).Milliseconds())
			}
		}
		sleep(probeInterval)
	}
	return 0
}

// rosterCounts counts the rosters that each member has shared; a member that has ended counts 0.
func (f *Fleet) rosterCounts() []int64 {
	counts := make([]int64, len(f.members))
	for index, childProcess := range f.members {
		answer, err := childProcess.call(command{Do: commandSnapshot})
		if err != nil {
			continue
		}
		for _, flow := range answer.Snapshot.Flows[peer.MethodShareRoster.Path()] {
			counts[index] += flow.Messages
		}
	}
	return counts
}

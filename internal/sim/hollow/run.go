// Package hollow runs the real code of many nodes on one machine, over loopback, and measures the resource usage per node: CPU,
// memory, messages, bytes, connections and disk.
//
// The nodes run in child processes, so that the usage of each role can be measured separately. Replicas, the platform list,
// clients and the operator are stand-ins in this package. It never contacts a real fleet or any address outside loopback,
// leaves no process or directory behind, and aborts a run that exceeds its memory limit. The figures apply to this machine,
// where many nodes share the processors.
//
// Start reading at Run, then Fleet; a child process begins at ServeChild.
package hollow

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options configures the measurement of a fleet. Window is the length of a measured phase and SettleTime the wait before it.
// FillTimeout limits the wait for stable placement; placement is stable after StableAfter without an instruction.
type Options struct {
	Window         time.Duration
	SettleTime     time.Duration
	FillTimeout    time.Duration
	StableAfter    time.Duration
	ChangeInterval time.Duration
	// MemoryMb is the memory limit above which the run is aborted.
	MemoryMb float64
	// Failures lists the failures to inject after the other phases, each for FailureLength.
	Failures      []string
	FailureLength time.Duration
	Progress      io.Writer
}

const (
	// phaseStart and the constants below are the names of the phases, in the order in which they are measured.
	phaseStart   = "start"
	phaseFill    = "fill"
	phaseQuiet   = "quiet"
	phaseTraffic = "traffic"
	phaseChanges = "changes"
)

// Run starts a fleet according to the plan, measures its phases and failures, and ends it. If the context ends, Run returns its
// error.
func Run(ctx context.Context, plan Plan, options Options) (result Result, err error) {
	startedAt := time.Now()
	fleet, err := StartFleet(plan, options.MemoryMb, options.Progress)
	if err != nil {
		return result, err
	}
	defer func() {
		if ended := fleet.End(); err == nil {
			err = ended
		}
	}()
	result.Plan = fleet.plan
	result.Processes = len(fleet.processes()) + 1
	fleet.progressf(
		"%d data planes, %d control planes, %d replicas, %d models, %d adapters, %d routes in %d processes",
		plan.DataPlanes, plan.Members, plan.Replicas, plan.Models, plan.Adapters, plan.Routes, result.Processes,
	)
	from, err := fleet.observe()
	if err != nil {
		return result, err
	}
	ready, err := fleet.Start(ctx)
	if err != nil {
		return result, err
	}
	result.Ready = ready.Quantiles()
	to, err := fleet.observe()
	if err != nil {
		return result, err
	}
	result.Phases = append(result.Phases, fleet.measure(phaseStart, from, to))
	fleet.progressf("all data planes ready within %.0f ms", result.Ready.MaxMs)
	if err := fleet.runPhases(ctx, options, &result); err != nil {
		return result, err
	}
	result.MemoryMb = fleet.peakMemoryMb
	result.DurationS = time.Since(startedAt).Seconds()
	return result, ctx.Err()
}

// window measures a phase: it waits for settle, observes, calls during (or waits for window if during is nil), and observes
// again.
func (f *Fleet) window(name string, settle, window time.Duration, during func() error) (Phase, error) {
	sleep(settle)
	from, err := f.observe()
	if err != nil {
		return Phase{}, err
	}
	if during == nil {
		during = func() error { sleep(window); return nil }
	}
	if err := during(); err != nil {
		return Phase{}, err
	}
	to, err := f.observe()
	if err != nil {
		return Phase{}, err
	}
	phase := f.measure(name, from, to)
	f.progressf(
		"%s: %.1f s, %d control messages, %.1f MB, %d placement orders",
		name, phase.Seconds, phase.Messages, float64(phase.Bytes)/megabyte, phase.Instructions,
	)
	return phase, nil
}

// runPhases measures the phases fill, quiet, traffic and changes, and then the failures under traffic.
func (f *Fleet) runPhases(ctx context.Context, options Options, result *Result) error {
	filling, err := f.window(phaseFill, 0, 0, func() error { return f.awaitPlacement(ctx, options) })
	if err != nil {
		return err
	}
	result.Phases = append(result.Phases, filling)
	quiet, err := f.window(phaseQuiet, options.SettleTime, options.Window, nil)
	if err != nil {
		return err
	}
	result.Phases = append(result.Phases, quiet)
	traffic, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		f.clients.Wait()
	}()
	f.clients.Run(traffic)
	busy, err := f.window(phaseTraffic, options.SettleTime+f.plan.StreamLength, options.Window, nil)
	if err != nil {
		return err
	}
	result.Phases = append(result.Phases, busy)
	changing, err := f.window(phaseChanges, 0, options.Window, func() error { return f.changeRepeatedly(ctx, options) })
	if err != nil {
		return err
	}
	result.Phases = append(result.Phases, changing)
	f.readCounts(result)
	for _, name := range options.Failures {
		failure, err := f.measureFailure(ctx, name, options)
		if err != nil {
			return errors.Wrap(err, name)
		}
		result.Failures = append(result.Failures, failure)
	}
	return nil
}

const (
	// holderTimeout is the timeout for a control plane to acquire the placement lease.
	holderTimeout = 30 * time.Second
	// fillPollInterval is how often the number of instructions is polled until placement is stable.
	fillPollInterval = 50 * time.Millisecond
	// holderPollInterval is how often the lease holder is polled.
	holderPollInterval = 200 * time.Millisecond
)

// awaitPlacement waits until placement is stable or FillTimeout has passed.
func (f *Fleet) awaitPlacement(ctx context.Context, options Options) error {
	if err := f.awaitFirstHolder(ctx); err != nil {
		return err
	}
	end := time.Now().Add(options.FillTimeout)
	instructions := f.standIns.instructions.Load()
	last := time.Now()
	for time.Now().Before(end) && time.Since(last) < options.StableAfter && ctx.Err() == nil {
		sleep(fillPollInterval)
		if now := f.standIns.instructions.Load(); now != instructions {
			instructions, last = now, time.Now()
		}
	}
	return nil
}

// awaitFirstHolder waits until a control plane acts as the holder of the placement lease.
func (f *Fleet) awaitFirstHolder(ctx context.Context) error {
	from, err := f.observe()
	for end := time.Now().Add(holderTimeout); err == nil && time.Now().Before(end) && ctx.Err() == nil; sleep(holderPollInterval) {
		var now observation
		if now, err = f.observe(); err == nil && f.holder(from, now) != "" {
			return nil
		}
	}
	if err == nil {
		err = errors.Errorf("no control plane acts as holder of the placement lease within %s", holderTimeout)
	}
	return err
}

// changeRepeatedly changes the configuration at intervals for the length of a window, through the members in turn.
func (f *Fleet) changeRepeatedly(ctx context.Context, options Options) error {
	end := time.Now().Add(options.Window)
	allDataPlanes := f.dataIndices(anyHost)
	var waiting sync.WaitGroup
	defer waiting.Wait()
	for iteration := 0; time.Now().Before(end) && ctx.Err() == nil; iteration++ {
		next := time.Now().Add(options.ChangeInterval)
		if err := f.operator.ApplyChange(ctx, allDataPlanes, f.plan.membersFrom(iteration)); err != nil {
			return err
		}
		sleep(time.Until(next))
	}
	return nil
}

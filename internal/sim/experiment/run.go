package experiment

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/sim/emulator"
)

// VariantRuns holds the results of a variant, one per seed.
type VariantRuns struct {
	Variant string            `json:"variant"`
	Results []emulator.Result `json:"results"`
}

// progress counts and prints how many runs have finished. Its lock protects the counts.
type progress struct {
	lock      sync.Mutex
	output    io.Writer
	startedAt time.Time
	printedAt time.Time
	done      int
	total     int
}

// progressInterval is the minimum interval between lines of progress.
const progressInterval = 2 * time.Second

// recordDone counts a finished run, and prints the progress if the last line is old enough.
func (p *progress) recordDone() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.done++
	now := time.Now()
	if now.Sub(p.startedAt) < progressInterval || now.Sub(p.printedAt) < progressInterval && p.done < p.total {
		return
	}
	p.printedAt = now
	left := time.Duration(float64(now.Sub(p.startedAt)) / float64(p.done) * float64(p.total-p.done))
	fmt.Fprintf(p.output, "%d of %d runs done, about %s left\n", p.done, p.total, left.Round(time.Second))
}

// Run runs every variant with every seed, at most parallelism at a time, and prints progress to output. It returns an error
// if the context ends or a scenario is invalid.
func Run(ctx context.Context, configuration Configuration, parallelism int, output io.Writer) ([]VariantRuns, error) {
	return run(ctx, configuration, parallelism, output, nil)
}

// run is Run with forecasters that are called before each loss.
func run(
	ctx context.Context,
	configuration Configuration,
	parallelism int,
	output io.Writer,
	forecasters map[string]emulator.Forecaster,
) ([]VariantRuns, error) {
	all := make([]VariantRuns, len(configuration.Variants))
	reporter := &progress{output: output, startedAt: time.Now(), total: len(configuration.Variants) * configuration.Seeds}
	semaphore := make(chan struct{}, max(parallelism, 1))
	failures := make(chan error, reporter.total)
	var group sync.WaitGroup
	for seed := range configuration.Seeds {
		for number, variant := range configuration.Variants {
			if seed == 0 {
				all[number] = VariantRuns{Variant: variant.Name, Results: make([]emulator.Result, configuration.Seeds)}
			}
			if ctx.Err() != nil {
				break
			}
			scenario := configuration.Scenarios[number]
			scenario.Seed = configuration.FirstSeed + uint64(seed)
			target := &all[number].Results[seed]
			semaphore <- struct{}{}
			group.Go(func() {
				defer func() { <-semaphore }()
				world, err := emulator.NewWorld(scenario)
				if err != nil {
					failures <- errors.Wrapf(err, "variant %q", variant.Name)
					return
				}
				world.Forecasters = forecasters
				*target = world.Run()
				reporter.recordDone()
			})
		}
	}
	group.Wait()
	close(failures)
	if ctx.Err() != nil {
		return nil, errors.Errorf("interrupted after %d of %d runs", reporter.done, reporter.total)
	}
	return all, <-failures
}

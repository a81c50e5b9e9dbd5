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

// VariantRuns are the results of a variant, one for each seed.
type VariantRuns struct {
	Variant string            `json:"variant"`
	Results []emulator.Result `json:"results"`
}

// progress prints how many runs are done; its lock guards it.
type progress struct {
	lock  sync.Mutex
	to    io.Writer
	began time.Time
	shown time.Time
	done  int
	total int
}

// showEvery is how often progress is printed at most.
const showEvery = 2 * time.Second

// note counts a run that is done.
func (p *progress) recordDone() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.done++
	now := time.Now()
	if now.Sub(p.began) < showEvery || now.Sub(p.shown) < showEvery && p.done < p.total {
		return
	}
	p.shown = now
	left := time.Duration(float64(now.Sub(p.began)) / float64(p.done) * float64(p.total-p.done))
	fmt.Fprintf(p.to, "%d of %d runs done, about %s left\n", p.done, p.total, left.Round(time.Second))
}

// Run plays every variant with every seed, so many at once, and prints progress. It fails if the
// context ends or a world cannot be built.
func Run(ctx context.Context, configuration Configuration, atOnce int, to io.Writer) ([]VariantRuns, error) {
	return run(ctx, configuration, atOnce, to, nil)
}

// run plays the variants with forecasters that are asked before each loss.
func run(
	ctx context.Context,
	configuration Configuration,
	atOnce int,
	to io.Writer,
	forecasters map[string]emulator.Forecaster,
) ([]VariantRuns, error) {
	all := make([]VariantRuns, len(configuration.Variants))
	shown := &progress{to: to, began: time.Now(), total: len(configuration.Variants) * configuration.Seeds}
	places := make(chan struct{}, max(atOnce, 1))
	failures := make(chan error, shown.total)
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
			places <- struct{}{}
			group.Go(func() {
				defer func() { <-places }()
				world, err := emulator.NewWorld(scenario)
				if err != nil {
					failures <- errors.Wrapf(err, "variant %q", variant.Name)
					return
				}
				world.Forecasters = forecasters
				*target = world.Run()
				shown.recordDone()
			})
		}
	}
	group.Wait()
	close(failures)
	if ctx.Err() != nil {
		return nil, errors.Errorf("interrupted after %d of %d runs", shown.done, shown.total)
	}
	return all, <-failures
}

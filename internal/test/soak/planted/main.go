// Planted builds the programs with a fault planted in them and runs the soak on them, seed by seed, until the judge of the fault's rule
// names it. It prints a table of the faults with the seeds that this took.
//
//	go run ./internal/test/soak/planted --seeds 20
//
// The faults are edits of the sources that only the build sees (go build -overlay). Exit status: 0 if each fault was named, 1 if one was
// not or a build failed, 2 for wrong arguments. Start reading at plant.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

type options struct {
	Seeds   int           `long:"seeds" default:"20" description:"number of seeds for each fault"`
	First   int           `long:"first" default:"1" description:"first seed"`
	Length  time.Duration `long:"for" default:"25s" description:"length of a run"`
	Fault   string        `long:"fault" description:"part of the names of the faults to plant (default: all)"`
	Network string        `long:"network" default:"127.0.78" description:"first three parts of the loopback addresses"`
}

const (
	exitUnnamed = 1
	exitUsage   = 2
)

// programs are the packages that the soak runs.
var programs = []string{"./cmd/ferryspar-data-plane", "./cmd/ferryspar-control-plane", "./cmd/ferryspar-emulator"}

func main() {
	var chosen options
	if _, err := flags.Parse(&chosen); err != nil {
		os.Exit(exitUsage)
	}
	if chosen.Seeds < 1 {
		fmt.Fprintln(os.Stderr, "--seeds must be at least 1")
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, chosen); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnnamed)
	}
}

func run(ctx context.Context, chosen options) error {
	folder, err := os.MkdirTemp("", "ferryspar-planted-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	soak := filepath.Join(folder, "soak")
	if err := build(ctx, "", soak, "./internal/test/soak"); err != nil {
		return err
	}
	unnamed := 0
	for _, planted := range faults {
		if !strings.Contains(planted.name, chosen.Fault) {
			continue
		}
		target := filepath.Join(folder, "target") + string(filepath.Separator)
		if err := plant(ctx, planted, folder, target); err != nil {
			return errors.Wrap(err, planted.name)
		}
		seeds, named, err := search(ctx, planted, chosen, soak, target)
		if err != nil {
			return errors.Wrap(err, planted.name)
		}
		if !named {
			unnamed++
		}
		fmt.Printf("%-40s %-13s named: %-5v after %d seeds\n", planted.name, planted.rule, named, seeds)
	}
	if unnamed > 0 {
		return errors.Errorf("%d faults were not named", unnamed)
	}
	return nil
}

// plant builds the programs with a fault.
func plant(ctx context.Context, planted fault, folder, target string) error {
	edited := map[string]string{}
	for _, change := range planted.edits {
		content, known := edited[change.file]
		if !known {
			read, err := os.ReadFile(change.file)
			if err != nil {
				return err
			}
			content = string(read)
		}
		if count := strings.Count(content, change.old); count != 1 {
			return errors.Errorf("%q stands %d times in %s", change.old, count, change.file)
		}
		edited[change.file] = strings.Replace(content, change.old, change.new, 1)
	}
	overlay := struct{ Replace map[string]string }{map[string]string{}}
	for file, content := range edited {
		replacement := filepath.Join(folder, strings.ReplaceAll(file, "/", "_"))
		if err := os.WriteFile(replacement, []byte(content), 0o600); err != nil {
			return err
		}
		absolute, err := filepath.Abs(file)
		if err != nil {
			return err
		}
		overlay.Replace[absolute] = replacement
	}
	content, err := json.Marshal(overlay)
	if err != nil {
		return err
	}
	path := filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return err
	}
	return build(ctx, path, target, programs...)
}

// build builds packages, with an overlay if one is named.
func build(ctx context.Context, overlay, target string, packages ...string) error {
	arguments := []string{"build", "-buildvcs=false", "-o", target}
	if overlay != "" {
		arguments = append(arguments, "-overlay", overlay)
	}
	output, err := exec.CommandContext(ctx, "go", append(arguments, packages...)...).CombinedOutput()
	return errors.Wrap(err, string(output))
}

// search runs the soak, seed by seed, until it names the rule of the fault.
func search(ctx context.Context, planted fault, chosen options, soak, target string) (seeds int, named bool, err error) {
	for seeds = 1; seeds <= chosen.Seeds; seeds++ {
		command := exec.CommandContext(ctx, soak, "--programs", target, "--seed", fmt.Sprint(chosen.First+seeds-1),
			"--for", chosen.Length.String(), "--network", chosen.Network)
		command.Cancel = func() error { return command.Process.Signal(os.Interrupt) }
		output, err := command.CombinedOutput()
		if ctx.Err() != nil {
			return seeds, false, errors.New("interrupted")
		}
		if strings.Contains("\n"+string(output), "\n"+planted.rule+": ") {
			return seeds, true, nil
		}
		if err != nil && !strings.Contains(string(output), "violations") {
			return seeds, false, errors.Wrapf(err, "the soak could not run: %s", output)
		}
	}
	return chosen.Seeds, false, nil
}

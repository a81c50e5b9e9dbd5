// Mixedbuilds checks that two builds of the programs understand each other: the second on data and settings that the first
// wrote, and both in one fleet.
//
//	go run ./internal/test/mixedbuilds --old FOLDER --new FOLDER
//
// Each folder holds the programs of one build. The demonstration of the old build provides the stand-in replicas and the
// platform's list; its daemons are ended and started again from either build, on the same settings files and data folders.
// It uses loopback addresses and real time, so it is not part of the tests. Exit status 1 means that a check failed.
//
// Start reading at run. The checks speak HTTP directly and import no package of this module, so that they compile with
// any version of it.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

type options struct {
	Old  string `long:"old" description:"folder of the old build's programs" required:"yes"`
	New  string `long:"new" description:"folder of the new build's programs" required:"yes"`
	Keep string `long:"keep" description:"folder for settings, logs and data; it must not exist (default: a temporary one)"`
}

func main() {
	var chosen options
	if _, err := flags.Parse(&chosen); err != nil {
		os.Exit(2)
	}
	if err := run(chosen); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println("all checks passed")
}

// phase is one composition of the fleet: which build each daemon runs. Daemons that are not named run the other build.
type phase struct {
	name  string
	build string
	nodes []string
}

// phases returns the compositions after the first, in which all daemons run the old build.
func phases(chosen options) []phase {
	return []phase{
		{"new build on the data of the old one", chosen.New, allNodes},
		{"one new control plane, one new data plane", chosen.New, []string{"control-3", "data-2"}},
		{"one old control plane, one old data plane", chosen.Old, []string{"control-3", "data-2"}},
		{"old control planes, new data planes", chosen.Old, controlNodes},
		{"new control planes, old data planes", chosen.New, controlNodes},
		{"old build on the data of the new one", chosen.Old, allNodes},
	}
}

func run(chosen options) error {
	folder, err := makeFolder(chosen.Keep)
	if err != nil {
		return err
	}
	fmt.Println("settings, logs and data:", folder)
	platform, err := startPlatform()
	if err != nil {
		return err
	}
	defer platform.close()
	fleet, err := startFleet(chosen.Old, folder, platform)
	if err != nil {
		return err
	}
	defer fleet.close()
	work := newWorkload(fleet)
	if err := fleet.startAll(func(string) string { return chosen.Old }); err != nil {
		return err
	}
	if err := work.prepare(); err != nil {
		return errors.Wrap(err, "old build")
	}
	if err := work.check("old build", platform); err != nil {
		return err
	}
	for _, next := range phases(chosen) {
		if err := runPhase(fleet, work, platform, next, chosen); err != nil {
			return errors.Wrap(err, next.name)
		}
	}
	return fleet.checkLogs()
}

// runPhase kills all daemons amid changes and starts them anew in the phase's composition.
func runPhase(fleet *fleet, work *workload, platform *platform, next phase, chosen options) error {
	other := chosen.Old
	if next.build == chosen.Old {
		other = chosen.New
	}
	stopWriting := work.startWriting()
	time.Sleep(writingTime)
	fleet.killAll()
	stopWriting()
	err := fleet.startAll(func(node string) string {
		if slices.Contains(next.nodes, node) {
			return next.build
		}
		return other
	})
	if err != nil {
		return err
	}
	if err := work.check(next.name, platform); err != nil {
		return err
	}
	return work.checkTakeover(next.name)
}

// makeFolder returns a new folder for the fleet.
func makeFolder(keep string) (string, error) {
	if keep == "" {
		folder, err := os.MkdirTemp("", "ferryspar-mixed-builds-")
		return folder, errors.Wrap(err, "temporary folder")
	}
	return keep, errors.Wrap(os.Mkdir(keep, 0o700), "--keep")
}

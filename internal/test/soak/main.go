// Soak runs the programs as real processes on loopback addresses while clients keep sending requests and processes are terminated,
// killed, frozen and restarted, and the configuration changes. It checks what clients, replicas and the operator have seen.
//
//	go run ./internal/test/soak --programs target --seed 1
//
// The same seed gives the same schedule. Exit status: 0 if all rules held, 1 if one was broken or the run failed, 2 for wrong
// arguments. Start reading at run; each rule has a judge in judges.go, a pure function over the history of the run.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

type options struct {
	Programs string        `long:"programs" default:"target" description:"folder of the programs"`
	Seed     uint64        `long:"seed" default:"0" description:"seed of the schedule (0: a drawn one, which is printed)"`
	Length   time.Duration `long:"for" default:"40s" description:"length of the run"`
	Controls int           `long:"control-planes" default:"3" description:"number of control planes, odd"`
	Edges    int           `long:"data-planes" default:"3" description:"number of data planes, at least 2"`
	Replicas int           `long:"replicas" default:"4" description:"number of stand-in replicas"`
	Clients  int           `long:"clients" default:"120" description:"number of clients"`
	Network  string        `long:"network" default:"127.0.79" description:"first three parts of the loopback addresses"`
	Keep     string        `long:"keep" description:"folder for settings, logs and the history (default: a temporary one)"`
}

const (
	exitBroken = 1
	exitUsage  = 2
	// maxEdges limits the data planes to the loopback addresses of the deployment.
	maxEdges = 200
	// maxDrawnSeed is the largest seed that is drawn.
	maxDrawnSeed = 1_000_000
)

func (o options) check() error {
	switch {
	case o.Controls < 1 || o.Controls%2 == 0:
		return errors.New("--control-planes must be odd")
	case o.Edges < 2 || o.Edges > maxEdges:
		return errors.Errorf("--data-planes must be 2 to %d", maxEdges)
	case o.Replicas < 1 || o.Clients < 1:
		return errors.New("--replicas and --clients must be at least 1")
	case o.Length < calmStart+calmEnd:
		return errors.Errorf("--for must be at least %s", calmStart+calmEnd)
	}
	if address := net.ParseIP(o.Network + ".1"); address == nil || !address.IsLoopback() {
		return errors.New("--network must be the first three parts of loopback addresses")
	}
	for _, program := range []string{dataPlaneProgram, controlPlaneProgram, emulatorProgram} {
		if _, err := os.Stat(filepath.Join(o.Programs, program)); err != nil {
			return errors.Wrap(err, "--programs")
		}
	}
	return nil
}

// description says what each judge checks.
func description() string {
	var text strings.Builder
	text.WriteString("Runs the programs as real processes on loopback, with faults, and judges what clients, replicas and operators saw:\n")
	for _, entry := range judges {
		fmt.Fprintf(&text, "\n%s: %s.", entry.rule, entry.checks)
	}
	return text.String()
}

func main() {
	var chosen options
	parser := flags.NewParser(&chosen, flags.Default)
	parser.LongDescription = description()
	if _, err := parser.Parse(); err != nil {
		var parsing *flags.Error
		if errors.As(err, &parsing) && parsing.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	if err := chosen.check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if chosen.Seed == 0 {
		chosen.Seed = 1 + rand.Uint64N(maxDrawnSeed)
		fmt.Println("drawn seed:", chosen.Seed)
	}
	if err := run(chosen); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if errors.Is(err, errPortTaken) {
			os.Exit(exitUsage)
		}
		os.Exit(exitBroken)
	}
}

// run plays one seed and reports the violations of the rules.
func run(chosen options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	folder := chosen.Keep
	if folder == "" {
		temporary, err := os.MkdirTemp("", "ferryspar-soak-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(temporary)
		folder = temporary
	} else if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	recorder := newRecorder()
	started, err := startFleet(chosen, folder, recorder)
	if started != nil {
		defer started.close()
	}
	if err != nil {
		return err
	}
	recorder.startedAt = time.Now()
	started.play(ctx, chosen)
	return started.report(ctx, chosen)
}

// play runs the clients and the schedule, and waits for the end of both.
func (f *fleet) play(ctx context.Context, chosen options) {
	schedule := newSchedule(chosen.Seed, chosen.Length, namesOf(f.controls), namesOf(f.edges), f.replicaIDs())
	clientContext, stopClients := context.WithTimeout(ctx, chosen.Length)
	defer stopClients()
	var clients sync.WaitGroup
	for number := range chosen.Clients {
		user := &client{
			fleet:        f,
			random:       rand.New(rand.NewPCG(chosen.Seed, uint64(number)+1)),
			ignoresClose: number%2 == 0,
		}
		clients.Go(func() { user.run(clientContext) })
	}
	clients.Go(func() { f.coordinate(ctx, chosen.Length) })
	clients.Go(func() { f.watchUsage(clientContext) })
	clients.Go(func() { f.readConfigurations(clientContext) })
	scheduled := make(chan struct{})
	go func() {
		defer close(scheduled)
		f.carryOut(schedule)
		f.faults.Wait()
	}()
	select {
	case <-scheduled:
		clients.Wait()
	case <-ctx.Done():
	}
}

func namesOf(nodes []*process) (names []string) {
	for _, node := range nodes {
		names = append(names, node.name)
	}
	return names
}

func (f *fleet) replicaIDs() (ids []string) {
	for _, replica := range f.replicas {
		ids = append(ids, replica.listed.ID)
	}
	return ids
}

// report judges the history, keeps it if a folder was named, and returns an error if a rule was broken.
func (f *fleet) report(ctx context.Context, chosen options) error {
	final, panics := 0, f.panics()
	if ctx.Err() == nil {
		final = f.finalRevision()
	}
	f.recorder.lock.Lock()
	recorded := f.recorder.history
	f.recorder.lock.Unlock()
	recorded.FinalRevision, recorded.Panics = final, panics
	if chosen.Keep != "" {
		content, err := json.Marshal(recorded)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(chosen.Keep, "history.json"), content, 0o600); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return errors.New("interrupted, not judged")
	}
	fmt.Printf("seed %d: %s\n", chosen.Seed, recorded.summary(chosen.Length))
	found := recorded.violations()
	for _, violation := range found {
		fmt.Println(violation)
	}
	if len(found) > 0 {
		return errors.Errorf("seed %d: %d violations", chosen.Seed, len(found))
	}
	return nil
}

// Package demo starts a small fleet on loopback addresses for new users to try: real control planes and data
// planes as child processes, and stand-in replicas and a platform list in this process. It sends streams
// through the fleet and prints which replicas served them. It does not affect a running fleet, listens only on
// loopback addresses and ends only its own child processes. The entry point is Run.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Options are the command-line options of the demo. ProgramDir is the folder of the daemons' programs. LogDir
// is the folder for settings, logs and data, or empty for a temporary one. KeepRunning leaves the fleet running
// until the context ends.
type Options struct {
	ProgramDir    string
	LogDir        string
	ControlPlanes int
	Streams       int
	JSON          bool
	KeepRunning   bool
	Out           io.Writer
	Progress      io.Writer
}

// Result holds the addresses of the demo's daemons and the results of its streams.
type Result struct {
	ControlPlanes []string       `json:"controlPlanes"`
	DataPlanes    []string       `json:"dataPlanes"`
	Streams       []StreamResult `json:"streams"`
}

// maxConcurrentStreams is the number of streams sent concurrently.
const maxConcurrentStreams = 3

// Run starts the fleet, sends the streams, prints the result and stops the fleet; with KeepRunning it waits
// for the end of the context before it stops the fleet. It returns an error if the fleet does not start or,
// without KeepRunning, if a stream was not served completely.
func Run(ctx context.Context, options Options) (Result, error) {
	var result Result
	planned, err := readPlan()
	if err != nil {
		return result, err
	}
	s := &deployment{plan: planned, programs: options.ProgramDir}
	defer s.close()
	steps := []struct {
		progress string
		act      func() error
	}{
		{"", func() error { return s.makeFolder(options.LogDir) }},
		{"starting stand-in replicas and a platform list", s.startReplicas},
		{
			"starting control planes and data planes, sending the configuration",
			func() error { return s.startAll(ctx, options.ControlPlanes) },
		},
	}
	for _, step := range steps {
		if step.progress != "" {
			fmt.Fprintln(options.Progress, step.progress)
		}
		if err := step.act(); err != nil {
			return result, err
		}
	}
	fmt.Fprintf(options.Progress, "sending %d streams\n", options.Streams)
	result = Result{ControlPlanes: s.controls, DataPlanes: s.edges, Streams: s.send(ctx, options.Streams)}
	if ctx.Err() != nil {
		return result, ctx.Err()
	}
	if err := result.write(options); err != nil {
		return result, err
	}
	if options.KeepRunning {
		s.printHints(options.Progress)
		<-ctx.Done()
		return result, nil
	}
	return result, result.incompleteError()
}

// send sends the streams to the data planes, round-robin.
func (d *deployment) send(ctx context.Context, count int) []StreamResult {
	served := make([]StreamResult, count)
	slots := make(chan struct{}, maxConcurrentStreams)
	var group sync.WaitGroup
	for number := range served {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			request := d.plan.Streams[number%len(d.plan.Streams)]
			served[number] = sendRequest(ctx, http.DefaultClient, number+1, d.edges[number%len(d.edges)], d.host(), request)
		})
	}
	group.Wait()
	return served
}

// host returns the hostname of the routes.
func (d *deployment) host() string { return d.plan.configuration.Routes[0].Hostname }

// incompleteError returns an error if a stream was not served completely.
func (r Result) incompleteError() error {
	incomplete := 0
	for _, served := range r.Streams {
		if !served.Complete {
			incomplete++
		}
	}
	if incomplete > 0 {
		return errors.Errorf("%d of %d streams were not served completely", incomplete, len(r.Streams))
	}
	return nil
}

// write prints the result as a table or as JSON.
func (r Result) write(options Options) error {
	if options.JSON {
		return json.NewEncoder(options.Out).Encode(r)
	}
	table := tabwriter.NewWriter(options.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "stream\tpath\tmodel\tdata plane\treplica\tstatus\tfirst event ms\tevents\ttook ms\t")
	for _, served := range r.Streams {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t", served.Number, served.Path, served.Model, served.DataPlane, served.Replica)
		fmt.Fprintf(table, "%d\t%.1f\t%d of %d\t", served.Status, served.FirstEventMs, served.Events, served.Expected)
		fmt.Fprintf(table, "%.1f\t%s\n", served.DurationMs, served.Error)
	}
	return table.Flush()
}

// printHints prints commands to try against the running fleet.
func (d *deployment) printHints(to io.Writer) {
	request := d.plan.Streams[0]
	fmt.Fprintf(to, "\nall of it stays up; Ctrl-C ends it. Try:\n\n")
	fmt.Fprintf(to, "  curl -N http://%s%s -H 'Host: %s'", d.edges[0], request.Path, d.host())
	own := headers(request, "mine-1")
	for _, name := range slices.Sorted(maps.Keys(own)) {
		fmt.Fprintf(to, " -H '%s: %s'", name, own[name])
	}
	fmt.Fprintf(to, " -d 'say something'\n")
	for _, command := range []string{"status", "layout", "drain east", "undrain east"} {
		fmt.Fprintf(to, "  %s/ferryspar-operator -c %s %s\n", d.programs, d.controls[0], command)
	}
	fmt.Fprintf(to, "  curl http://%s/replicas\n\n", d.platform)
}

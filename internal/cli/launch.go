// Package cli is what the programs have in common at their start and end: options, logging,
// settings, signals, exit statuses.
//
// It knows nothing of what the programs do. Start reading at RunDaemon.
package cli

import (
	"context"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/nodesettings"
)

// Version is the version that every program prints.
const Version = "0.1.0"

// ReportError statuses of every program.
const (
	ExitSuccess  = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
)

// Daemon describes a daemon. Serves is the service that its settings must allow ("edge" or
// "control"), Extra an optional struct of further go-flags options, Run its work until it is told
// to stop.
type Daemon struct {
	Name         string
	Summary      string
	Service      string
	ExtraOptions any
	Run          func(ctx context.Context, settings nodesettings.Settings, path string, signals nodesettings.Signals) error
}

// heapLimitFraction is the part of the memory limit that the garbage collector may fill.
const heapLimitFraction = 0.8

type options struct {
	Settings string `short:"s" long:"settings" description:"path of the settings file (default: FERRYSPAR_SETTINGS)"`
	Check    bool   `long:"check" description:"check the settings and end"`
	Level    string `long:"log-level" default:"info" description:"debug, info, warning or error"`
	Version  bool   `long:"version" description:"print the version and end"`
}

// RunDaemon parses the command line, reads and checks the settings, runs the program and returns its
// exit status.
func RunDaemon(daemon Daemon) int {
	parsed, err := parseOptions(daemon)
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return ExitSuccess
	}
	if err != nil {
		return daemon.reportFailure(err, ExitUsage)
	}
	if parsed.Version {
		fmt.Println(daemon.Name, Version)
		return ExitSuccess
	}
	if err := configureLogging(parsed.Level); err != nil {
		return daemon.reportFailure(err, ExitUsage)
	}
	settings, err := readSettings(parsed.Settings, daemon.Service)
	if err != nil {
		return daemon.reportFailure(err, ExitSettings)
	}
	if parsed.Check {
		fmt.Println("settings are sound")
		return ExitSuccess
	}
	applyLimits(settings.Limits)
	if err := daemon.Run(context.Background(), settings, parsed.Settings, notifySignals()); err != nil {
		logrus.WithError(err).Error("stopped")
		return ExitFailed
	}
	return ExitSuccess
}

func (d Daemon) reportFailure(err error, status int) int {
	fmt.Fprintf(os.Stderr, "%s: %s\n", d.Name, err)
	return status
}

func parseOptions(daemon Daemon) (options, error) {
	var parsed options
	parser := flags.NewNamedParser(daemon.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = daemon.Summary
	parser.LongDescription = daemon.Name + " " + daemon.Summary + "."
	if _, err := parser.AddGroup("Options", "", &parsed); err != nil {
		return parsed, err
	}
	if daemon.ExtraOptions != nil {
		if _, err := parser.AddGroup(daemon.Name, "", daemon.ExtraOptions); err != nil {
			return parsed, err
		}
	}
	rest, err := parser.Parse()
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	return parsed, err
}

func configureLogging(levelName string) error {
	level, err := logrus.ParseLevel(levelName)
	if err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	logrus.SetFormatter(&logrus.JSONFormatter{})
	logrus.SetOutput(os.Stdout)
	logrus.SetLevel(level)
	log.SetOutput(io.Discard)
	return nil
}

func readSettings(path, service string) (nodesettings.Settings, error) {
	settings, err := nodesettings.Load(path)
	if err != nil {
		return settings, err
	}
	return settings, settings.Check(service)
}

func notifySignals() nodesettings.Signals {
	stop, hangup := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangup, syscall.SIGHUP)
	return nodesettings.Signals{Stop: stop, Hangup: hangup}
}

func applyLimits(limits nodesettings.Limits) {
	runtime.GOMAXPROCS(max(limits.CPUCores, 1))
	if limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMb * heapLimitFraction * (1 << 20)))
	}
}

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

// Daemon describes a program that runs until it is stopped by a signal.
type Daemon struct {
	Name    string
	Summary string // description as a verb phrase
	// Service is the service for which the settings are validated.
	Service nodesettings.Service
	// ExtraOptions, if not nil, points to a struct of further go-flags options.
	ExtraOptions any
	// Run runs the daemon until a signal stops it. path is the path of the settings file as specified by the option.
	Run func(ctx context.Context, settings nodesettings.Settings, path string, signals nodesettings.Signals) error
}

// heapLimitFraction is the fraction of the memory limit that is set as the soft memory limit of the Go runtime.
const heapLimitFraction = 0.8

// The capacities of the signal channels.
const (
	stopBuffer   = 2
	hangupBuffer = 1
)

// options are the options of every daemon.
type options struct {
	Settings string `short:"s" long:"settings" description:"path of the settings file (default: FERRYSPAR_SETTINGS)"`
	Check    bool   `long:"check" description:"check the settings and end"`
	Level    string `long:"log-level" default:"info" description:"debug, info, warning or error"`
	Version  bool   `long:"version" description:"print the version and end"`
}

// RunDaemon parses the command line, loads and validates the settings, runs the daemon and returns its exit status.
func RunDaemon(daemon Daemon) int {
	parsed, err := daemon.parseOptions()
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return ExitSuccess
	}
	if err != nil {
		return daemon.fail(err, ExitUsage)
	}
	if parsed.Version {
		fmt.Println(daemon.Name, Version)
		return ExitSuccess
	}
	if err := configureLogging(parsed.Level); err != nil {
		return daemon.fail(err, ExitUsage)
	}
	settings, err := loadSettings(parsed.Settings, daemon.Service)
	if err != nil {
		return daemon.fail(err, ExitSettings)
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

// fail prints err and returns status.
func (d Daemon) fail(err error, status int) int {
	printError(d.Name, err)
	return status
}

func (d Daemon) parseOptions() (options, error) {
	var parsed options
	parser := flags.NewNamedParser(d.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = d.Summary
	parser.LongDescription = d.Name + " " + d.Summary + "."
	if _, err := parser.AddGroup("Options", "", &parsed); err != nil {
		return parsed, err
	}
	if d.ExtraOptions != nil {
		if _, err := parser.AddGroup(d.Name, "", d.ExtraOptions); err != nil {
			return parsed, err
		}
	}
	remaining, err := parser.Parse()
	if err == nil && len(remaining) > 0 {
		err = fmt.Errorf("unexpected argument %q", remaining[0])
	}
	return parsed, err
}

// configureLogging sets up JSON logging to standard output at the level. The standard library's log is discarded: net/http
// writes errors of clients' connections to it, which are irrelevant to operators.
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

func loadSettings(path string, service nodesettings.Service) (nodesettings.Settings, error) {
	settings, err := nodesettings.Load(path)
	if err != nil {
		return settings, err
	}
	return settings, settings.Validate(service)
}

func notifySignals() nodesettings.Signals {
	stop := make(chan os.Signal, stopBuffer)
	hangup := make(chan os.Signal, hangupBuffer)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangup, syscall.SIGHUP)
	return nodesettings.Signals{Stop: stop, Hangup: hangup}
}

// applyLimits configures the Go runtime for the resource limits of the process.
func applyLimits(limits nodesettings.Limits) {
	runtime.GOMAXPROCS(max(limits.CPUCores, 1))
	if limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMb * heapLimitFraction * (1 << 20)))
	}
}

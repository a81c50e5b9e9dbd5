// Ferryspar-data-plane accepts clients' requests and forwards them to model replicas.
//
// It stores nothing on disk, except a request log if --record is given. Start reading at main, then internal/dataplane
// and internal/proxy.
package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/cli"
	"ferryspar/internal/dataplane"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/requestlog"
)

// bytesPerMb is the unit of --record-mb.
const bytesPerMb = 1 << 20

// recordOptions are the options of this program in addition to those of every daemon.
type recordOptions struct {
	Path  string `long:"record" description:"write a request log (without bodies) to this file, for ferryspar-replay"`
	MaxMb int64  `long:"record-mb" default:"64" description:"maximum size of the request log in MB"`
}

func main() {
	var options recordOptions
	os.Exit(cli.RunDaemon(cli.Daemon{
		Name:         "ferryspar-data-plane",
		Summary:      "forwards clients' requests to model replicas",
		Service:      nodesettings.ServiceDataPlane,
		ExtraOptions: &options,
		Run: func(ctx context.Context, settings nodesettings.Settings, path string, signals nodesettings.Signals) error {
			return run(ctx, settings, path, signals, options)
		},
	}))
}

// run runs a data-plane node until a signal stops it. path is that of the settings file.
func run(
	ctx context.Context, settings nodesettings.Settings, path string, signals nodesettings.Signals, options recordOptions,
) error {
	node := dataplane.New(settings, path, peer.HostNetwork{})
	if options.Path != "" {
		file, err := os.Create(options.Path)
		if err != nil {
			return errors.Wrap(err, "create the request log")
		}
		defer file.Close()
		node.SetRequestLog(requestlog.NewWriter(file, options.MaxMb*bytesPerMb, time.Now))
	}
	return node.Run(ctx, signals)
}

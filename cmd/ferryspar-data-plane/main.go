// Ferryspar-data-plane accepts clients' requests and forwards them to model replicas.
//
// It keeps nothing on disk. Start reading at main, then internal/dataplane and internal/proxy.
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

// bytesPerMb converts the size limit of a record.
const bytesPerMb = 1 << 20

// recordOptions are the options of this program beside those of every daemon.
type recordOptions struct {
	Record   string `long:"record" description:"write what this daemon sees (no bodies) to this file, for ferryspar-replay"`
	RecordMb int64  `long:"record-mb" default:"64" description:"end the record at this size"`
}

func main() {
	var options recordOptions
	os.Exit(cli.RunDaemon(cli.Daemon{
		Name:         "ferryspar-data-plane",
		Summary:      "carries clients' requests to model replicas",
		Service:      nodesettings.ServiceDataPlane,
		ExtraOptions: &options,
		Run: func(ctx context.Context, settings nodesettings.Settings, path string, signals nodesettings.Signals) error {
			return run(ctx, settings, path, signals, options)
		},
	}))
}

// run runs a data-plane node until a signal stops it.
func run(
	ctx context.Context, settings nodesettings.Settings, path string, signals nodesettings.Signals, options recordOptions,
) error {
	node := dataplane.New(settings, path, peer.HostNetwork{})
	if options.Record != "" {
		file, err := os.Create(options.Record)
		if err != nil {
			return errors.Wrap(err, "record")
		}
		defer file.Close()
		node.SetRequestLog(requestlog.NewWriter(file, options.RecordMb*bytesPerMb, time.Now))
	}
	return node.Run(ctx, signals)
}

// Ferryspar-data-plane takes clients' requests and carries them to model replicas.
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

type recording struct {
	Record   string `long:"record" description:"write what this daemon sees (no bodies) to this file, for ferryspar-replay"`
	RecordMb int64  `long:"record-mb" default:"64" description:"end the record at this size"`
}

func main() {
	var chosen recording
	os.Exit(cli.RunDaemon(cli.Daemon{
		Name: "ferryspar-data-plane", Service: "edge", ExtraOptions: &chosen,
		Summary: "carries clients' requests to model replicas",
		Run: func(ctx context.Context, settings nodesettings.Settings, path string, signals nodesettings.Signals) error {
			daemon := dataplane.New(settings, path, peer.HostNetwork{})
			if chosen.Record != "" {
				file, err := os.Create(chosen.Record)
				if err != nil {
					return errors.Wrap(err, "record")
				}
				defer file.Close()
				daemon.RecordTo(requestlog.NewWriter(file, chosen.RecordMb<<20, time.Now))
			}
			return daemon.Run(ctx, signals)
		},
	}))
}

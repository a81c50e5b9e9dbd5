// Ferryspar-control-plane keeps the configuration on a majority of disks, follows replicas and daemons, and places models.
//
// It never carries clients' requests. Start reading at main, then internal/controlplane.
package main

import (
	"context"
	"os"

	"ferryspar/internal/cli"
	"ferryspar/internal/controlplane"
	"ferryspar/internal/keystore"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

func main() {
	os.Exit(cli.RunDaemon(cli.Daemon{
		Name: "ferryspar-control-plane", Service: "control",
		Summary: "knows the replicas and daemons, keeps the configuration and delivers it",
		Run: func(ctx context.Context, settings nodesettings.Settings, path string, signals nodesettings.Signals) error {
			folder, err := keystore.NewDirectory(settings.DataDir)
			if err != nil {
				return err
			}
			daemon, err := controlplane.New(settings, path, peer.HostNetwork{}, folder)
			if err != nil {
				return err
			}
			return daemon.Run(ctx, signals)
		},
	}))
}

// Ferryspar-control-plane stores the configuration on the disks of a majority, tracks replicas and nodes, and decides
// on the placement of models.
//
// It is not on the path of clients' requests. Start reading at main, then internal/controlplane.
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
		Name:    "ferryspar-control-plane",
		Summary: "stores and distributes the configuration, tracks replicas and nodes, and places models",
		Service: nodesettings.ServiceControlPlane,
		Run:     run,
	}))
}

// run runs a control-plane node until a signal stops it. path is that of the settings file.
func run(ctx context.Context, settings nodesettings.Settings, path string, signals nodesettings.Signals) error {
	directory, err := keystore.NewDirectory(settings.DataDir)
	if err != nil {
		return err
	}
	node, err := controlplane.New(settings, path, peer.HostNetwork{}, directory)
	if err != nil {
		return err
	}
	return node.Run(ctx, signals)
}

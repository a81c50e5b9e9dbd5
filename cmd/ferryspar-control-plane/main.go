package main

import (
	"context"
	"os"

	"ferryspar/internal/controlplane"
	"ferryspar/internal/env"
	"ferryspar/internal/launch"
)

func main() {
	os.Exit(launch.Main(launch.Program{
		Name: "ferryspar-control-plane", Serves: "control",
		Short: "knows the replicas and daemons, keeps the configuration and delivers it",
		Run: func(ctx context.Context, settings env.Settings, path string) error {
			daemon, err := controlplane.New(settings, path)
			if err != nil {
				return err
			}
			return daemon.Run(ctx)
		},
	}))
}

package main

import (
	"context"
	"os"

	"ferryspar/internal/dataplane"
	"ferryspar/internal/env"
	"ferryspar/internal/launch"
	"ferryspar/internal/partner"
)

func main() {
	os.Exit(launch.Main(launch.Program{
		Name: "ferryspar-data-plane", Serves: "edge",
		Short: "carries clients' requests to model replicas",
		Run: func(ctx context.Context, settings env.Settings, path string, signals env.Signals) error {
			return dataplane.New(settings, path, partner.Machine{}).Run(ctx, signals)
		},
	}))
}

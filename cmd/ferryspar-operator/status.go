package main

import (
	"fmt"

	"ferryspar/internal/adminapi"
)

// statusCommand prints the state of the fleet.
type statusCommand struct {
	app *application
	All bool `long:"all" description:"query each control plane given, and print whether it votes and how recent its state is"`
}

// Execute prints the status of one control plane, or a line for each.
func (s *statusCommand) Execute([]string) error {
	if s.All {
		return s.app.printAllStatuses()
	}
	content, err := s.app.get(pathStatus)
	if err != nil {
		return err
	}
	if s.app.options.JSON {
		s.app.printRaw(content)
		return nil
	}
	var fleet adminapi.FleetStatus
	if err := decode("the status", content, &fleet); err != nil {
		return err
	}
	s.app.printFleet(fleet)
	return nil
}

func (a *application) printFleet(fleet adminapi.FleetStatus) {
	a.printf("seen by %s (majority fresh: %t)\n", fleet.Address, fleet.Fresh)
	a.printf("revision %d, members %v %v, placement by %s\n",
		fleet.Revision, fleet.Members, fleet.NextMembers, fleet.PlacementLeaseHolder)
	a.printf("drained zones %v\n", fleet.DrainedZones)
	a.printf("edges %v\n", fleet.DataPlanes)
	for _, replica := range fleet.Replicas {
		models := []string{}
		for _, model := range replica.Models {
			models = append(models, fmt.Sprintf("%s+%d", model.Name, len(model.Adapters)))
		}
		a.printf("replica %s %s %s %s %v\n", replica.ID, replica.Backend, replica.Zone, replica.State, models)
	}
}

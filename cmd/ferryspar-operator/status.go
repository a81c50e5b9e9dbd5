package main

import (
	"encoding/json"
	"fmt"
	"net/http"

	"ferryspar/internal/adminapi"
)

// statusCommand prints the state of the fleet.
type statusCommand struct {
	All bool `long:"all" description:"ask each control daemon named, and tell how sure each is of its state"`
}

// Execute implements flags.Commander.
func (s *statusCommand) Execute([]string) error {
	if s.All {
		return printStatusOfAll()
	}
	content, err := call(http.MethodGet, adminapi.PathStatus, "", nil)
	if err != nil {
		return err
	}
	if options.JSON {
		fmt.Println(string(content))
		return nil
	}
	var fleet adminapi.FleetStatus
	if err := json.Unmarshal(content, &fleet); err != nil {
		return err
	}
	fmt.Printf("seen by %s (majority fresh: %t)\n", fleet.Member, fleet.Fresh)
	fmt.Printf("revision %d, members %v %v, placement by %s\n", fleet.Revision, fleet.Members, fleet.NextMembers, fleet.PlacementHolder)
	fmt.Printf("drained zones %v\nedges %v\n", fleet.DrainedZones, fleet.DataPlanes)
	for _, replica := range fleet.Replicas {
		names := []string{}
		for _, model := range replica.Models {
			names = append(names, fmt.Sprintf("%s+%d", model.Name, len(model.Adapters)))
		}
		fmt.Printf("replica %s %s %s %s %v\n", replica.ID, replica.Backend, replica.Zone, replica.State, names)
	}
	return nil
}

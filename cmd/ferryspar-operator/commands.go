package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/configuration"
	"ferryspar/internal/retention"
)

type subcommand struct {
	name    string
	short   string
	handler any
}

var subcommands = []subcommand{
	{"layout", "print the newest configuration", &configurationCommand{}},
	{"put", "replace the configuration by a file's", &putCommand{}},
	{"patch", "change named items of the configuration", &patchCommand{}},
	{"check", "check a configuration file here, asking nobody", &checkCommand{}},
	{"tenants", "list the tenants, their limits and the digests of their keys", &tenantsCommand{}},
	{"drain", "send nothing more to a zone's replicas", &drainCommand{method: http.MethodPost}},
	{"undrain", "take a zone's evacuation back", &drainCommand{method: http.MethodDelete}},
	{"retention", "print or set how long cached context may live", &retentionCommand{}},
	{"forget", "have cached context forgotten, and watch it go", &forgetCommand{}},
	{"rehearse", "rehearse the loss of a region or zone", &rehearseCommand{}},
	{"query", "ask questions in SQL about the fleet (see the operators' page)", &queryCommand{}},
	{"inspect", "read a stopped member's data folder, asking nobody and changing nothing", &inspectCommand{}},
	{"status", "print the fleet as one control daemon sees it", &statusCommand{}},
}

type configurationCommand struct {
	Keys bool `long:"keys" description:"print tenants' keys instead of their digests"`
}

func (r *configurationCommand) Execute(rest []string) error {
	content, err := call(http.MethodGet, "/ferryspar/config", "", nil)
	if err == nil && !r.Keys {
		content, err = configuration.RedactDocument(content)
	}
	if err == nil {
		fmt.Println(string(content))
	}
	return err
}

type fileArgument struct {
	Path string `positional-arg-name:"FILE" required:"yes"`
}

type putCommand struct {
	On   int64        `long:"on" required:"yes" description:"revision it builds on; 0 for the first"`
	Args fileArgument `positional-args:"yes"`
}

func (p *putCommand) Execute(rest []string) error {
	return sendConfiguration(http.MethodPut, p.On, p.Args.Path, func(content []byte) error {
		_, err := configuration.Parse(content)
		return err
	})
}

type patchCommand struct {
	On   int64        `long:"on" required:"yes" description:"revision it builds on"`
	Args fileArgument `positional-args:"yes"`
}

func (p *patchCommand) Execute(rest []string) error {
	return sendConfiguration(http.MethodPatch, p.On, p.Args.Path, func([]byte) error { return nil })
}

func sendConfiguration(method string, on int64, path string, check func([]byte) error) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := check(content); err != nil {
		return errors.Wrap(err, "not sent")
	}
	if _, err := call(method, "/ferryspar/config", strconv.FormatInt(on, 10), content); err != nil {
		return err
	}
	fmt.Println("acknowledged")
	return nil
}

type checkCommand struct {
	Args fileArgument `positional-args:"yes"`
}

func (c *checkCommand) Execute(rest []string) error {
	content, err := os.ReadFile(c.Args.Path)
	if err != nil {
		return err
	}
	read, err := configuration.Parse(content)
	if err == nil {
		fmt.Printf("sound: revision %d, %d routes, %d backends, %d tenants\n",
			read.Revision, len(read.Routes), len(read.Backends), len(read.Tenants))
	}
	return err
}

type drainCommand struct {
	method string
	Args   struct {
		Zone string `positional-arg-name:"ZONE" required:"yes"`
	} `positional-args:"yes"`
}

func (d *drainCommand) Execute(rest []string) error {
	_, err := call(d.method, "/ferryspar/drain-zone/"+d.Args.Zone, "", nil)
	if err == nil {
		fmt.Println("acknowledged")
	}
	return err
}

type retentionCommand struct {
	Life *time.Duration `long:"life" description:"set: how long context may live, 0 for no bound"`
}

func (r *retentionCommand) Execute(rest []string) error {
	method, body := http.MethodGet, []byte(nil)
	if r.Life != nil {
		method = http.MethodPut
		body, _ = json.Marshal(map[string]int64{"lifeMs": r.Life.Milliseconds()})
	}
	content, err := call(method, "/ferryspar/retention", "", body)
	if err != nil {
		return err
	}
	if options.JSON {
		fmt.Println(string(content))
		return nil
	}
	var policy retention.Policy
	if err := json.Unmarshal(content, &policy); err != nil {
		return err
	}
	if policy.LifetimeMs == 0 {
		fmt.Println("context may live without bound")
		return nil
	}
	fmt.Println("context may live", policy.Lifetime())
	return nil
}

type statusCommand struct {
	All bool `long:"all" description:"ask each control daemon named, and tell how sure each is of its state"`
}

func (s *statusCommand) Execute(rest []string) error {
	if s.All {
		return printStatusOfAll()
	}
	content, err := call(http.MethodGet, "/ferryspar/status", "", nil)
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
	fmt.Printf("seen by %s (majority fresh: %t)\nrevision %d, members %v %v, placement by %s\ndrained zones %v\nedges %v\n",
		fleet.Member, fleet.Fresh, fleet.Revision, fleet.Members, fleet.NextMembers, fleet.PlacementHolder, fleet.DrainedZones, fleet.DataPlanes)
	for _, replica := range fleet.Replicas {
		names := []string{}
		for _, model := range replica.Models {
			names = append(names, fmt.Sprintf("%s+%d", model.Name, len(model.Adapters)))
		}
		fmt.Printf("replica %s %s %s %s %v\n", replica.ID, replica.Backend, replica.Zone, replica.State, names)
	}
	return nil
}

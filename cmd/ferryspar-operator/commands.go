package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/configuration"
	"ferryspar/internal/operator"
	"ferryspar/internal/retention"
)

type command struct {
	name  string
	short string
	data  any
}

var commands = []command{
	{"layout", "print the newest configuration", &readConfiguration{}},
	{"put", "replace the configuration by a file's", &putConfiguration{}},
	{"patch", "change named items of the configuration", &patchConfiguration{}},
	{"check", "check a configuration file here, asking nobody", &checkConfiguration{}},
	{"tenants", "list the tenants, their limits and the digests of their keys", &listTenants{}},
	{"drain", "send nothing more to a zone's replicas", &drainZone{method: http.MethodPost}},
	{"undrain", "take a zone's evacuation back", &drainZone{method: http.MethodDelete}},
	{"retention", "print or set how long cached context may live", &retain{}},
	{"forget", "have cached context forgotten, and watch it go", &forgetContext{}},
	{"rehearse", "rehearse the loss of a region or zone", &rehearse{}},
	{"query", "ask questions in SQL about the fleet (see the operators' page)", &queryFleet{}},
	{"inspect", "read a stopped member's data folder, asking nobody and changing nothing", &inspectFolder{}},
	{"status", "print the fleet as one control daemon sees it", &showStatus{}},
}

type readConfiguration struct {
	Keys bool `long:"keys" description:"print tenants' keys instead of their digests"`
}

func (r *readConfiguration) Execute(rest []string) error {
	content, err := ask(http.MethodGet, "/ferryspar/config", "", nil)
	if err == nil && !r.Keys {
		content, err = configuration.RedactDocument(content)
	}
	if err == nil {
		fmt.Println(string(content))
	}
	return err
}

type file struct {
	Path string `positional-arg-name:"FILE" required:"yes"`
}

type putConfiguration struct {
	On   int64 `long:"on" required:"yes" description:"revision it builds on; 0 for the first"`
	Args file  `positional-args:"yes"`
}

func (p *putConfiguration) Execute(rest []string) error {
	return change(http.MethodPut, p.On, p.Args.Path, func(content []byte) error {
		_, err := configuration.Parse(content)
		return err
	})
}

type patchConfiguration struct {
	On   int64 `long:"on" required:"yes" description:"revision it builds on"`
	Args file  `positional-args:"yes"`
}

func (p *patchConfiguration) Execute(rest []string) error {
	return change(http.MethodPatch, p.On, p.Args.Path, func([]byte) error { return nil })
}

func change(method string, on int64, path string, check func([]byte) error) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := check(content); err != nil {
		return errors.Wrap(err, "not sent")
	}
	if _, err := ask(method, "/ferryspar/config", strconv.FormatInt(on, 10), content); err != nil {
		return err
	}
	fmt.Println("acknowledged")
	return nil
}

type checkConfiguration struct {
	Args file `positional-args:"yes"`
}

func (c *checkConfiguration) Execute(rest []string) error {
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

type drainZone struct {
	method string
	Args   struct {
		Zone string `positional-arg-name:"ZONE" required:"yes"`
	} `positional-args:"yes"`
}

func (d *drainZone) Execute(rest []string) error {
	_, err := ask(d.method, "/ferryspar/drain-zone/"+d.Args.Zone, "", nil)
	if err == nil {
		fmt.Println("acknowledged")
	}
	return err
}

type retain struct {
	Life *time.Duration `long:"life" description:"set: how long context may live, 0 for no bound"`
}

func (r *retain) Execute(rest []string) error {
	method, body := http.MethodGet, []byte(nil)
	if r.Life != nil {
		method = http.MethodPut
		body, _ = json.Marshal(map[string]int64{"lifeMs": r.Life.Milliseconds()})
	}
	content, err := ask(method, "/ferryspar/retention", "", body)
	if err != nil {
		return err
	}
	if shared.JSON {
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

type showStatus struct {
	All bool `long:"all" description:"ask each control daemon named, and tell how sure each is of its state"`
}

func (s *showStatus) Execute(rest []string) error {
	if s.All {
		return showEach()
	}
	content, err := ask(http.MethodGet, "/ferryspar/status", "", nil)
	if err != nil {
		return err
	}
	if shared.JSON {
		fmt.Println(string(content))
		return nil
	}
	var fleet operator.Fleet
	if err := json.Unmarshal(content, &fleet); err != nil {
		return err
	}
	fmt.Printf("seen by %s (majority fresh: %t)\nrevision %d, members %v %v, placement by %s\ndrained zones %v\nedges %v\n",
		fleet.Member, fleet.Fresh, fleet.Revision, fleet.Members, fleet.Next, fleet.Holder, fleet.Drained, fleet.Edges)
	for _, replica := range fleet.Replicas {
		names := []string{}
		for _, held := range replica.Models {
			names = append(names, fmt.Sprintf("%s+%d", held.Name, len(held.Adapters)))
		}
		fmt.Printf("replica %s %s %s %s %v\n", replica.ID, replica.Backend, replica.Zone, replica.State, names)
	}
	return nil
}

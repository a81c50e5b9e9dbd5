package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/discovery"
	"ferryspar/internal/sim/emulator/standin"
)

// deployment is the running demo: its addresses, its children and what must be undone at the end.
type deployment struct {
	plan     plan
	programs string
	folder   string
	// internal is the port of the daemons' connections among themselves.
	internal int
	controls []string
	edges    []string
	// ready are the readiness addresses of the data planes.
	ready    []string
	platform string
	children []*child
	cleanup  []func()
}

// onClose adds something to undo at the end, last first.
func (s *deployment) onClose(act func()) { s.cleanup = append(s.cleanup, act) }

// close ends the children and everything else that was started.
func (s *deployment) close() {
	for position := len(s.cleanup) - 1; position >= 0; position-- {
		s.cleanup[position]()
	}
	s.cleanup = nil
}

// serve answers HTTP on a free loopback address until the end.
func (s *deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "loopback")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	s.onClose(func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// startReplicas starts the stand-in replicas and the list.
func (s *deployment) startReplicas() error {
	backend := s.plan.configuration.Backends[0]
	list := &standin.List{PageSize: 3}
	for _, planned := range s.plan.Replicas {
		listed := discovery.Replica{ID: planned.ID, Zone: planned.Zone, Revision: "v1"}
		replica := standin.NewReplica(listed, backend, standin.DefaultPace(), planned.Models...)
		address, err := s.serve(replica.Routes(backend.HealthPath))
		if err != nil {
			return err
		}
		replica.SetAddress(address)
		list.Replicas = append(list.Replicas, replica)
	}
	address, err := s.serve(list)
	s.platform = address
	return err
}

// startTries is how often the daemons are started if one ends at once, as when a free port was
// taken meanwhile.
const startTries = 3

// startAll starts the daemons, sends the configuration and waits until all data planes are ready.
func (s *deployment) startAll(ctx context.Context, controls int) error {
	folder := s.folder
	defer func() { s.folder = folder }()
	for attempt := 1; ; attempt++ {
		own, err := os.MkdirTemp(folder, "start-")
		s.folder = own
		if err == nil {
			err = s.startDaemons(controls)
		}
		if err == nil {
			err = s.configure(ctx)
		}
		if err == nil {
			err = s.awaitReady(ctx)
		}
		if err == nil || attempt == startTries || !s.lostChild() {
			return err
		}
		for _, process := range s.children {
			process.end()
		}
		s.children = nil
		s.controls = nil
		s.edges = nil
		s.ready = nil
	}
}

// lostChild reports whether a child has ended.
func (s *deployment) lostChild() bool {
	return slices.ContainsFunc(s.children, func(process *child) bool { return !process.alive() })
}

// startDaemons starts the control planes and then the data planes.
func (s *deployment) startDaemons(controls int) error {
	hosts := make([]string, controls)
	for number := range hosts {
		hosts[number] = loopbackAddress(number + 1)
	}
	port, err := freePorts(1+len(s.plan.DataPlanes), hosts...)
	if err != nil {
		return err
	}
	s.internal = port
	for _, host := range hosts {
		address, err := freeAddress(host)
		if err != nil {
			return err
		}
		s.controls = append(s.controls, address)
	}
	for number, host := range hosts {
		name := fmt.Sprintf("control-%d", number+1)
		zone := s.plan.DataPlanes[number%len(s.plan.DataPlanes)]
		node := daemon{
			name:     name,
			host:     host,
			zone:     zone,
			bind:     map[string]any{"controlPlane": s.controls[number]},
			dataPath: name,
		}
		if err := s.start(controlProgram, node); err != nil {
			return err
		}
	}
	return s.startDataPlanes()
}

// startDataPlanes starts a data plane for each zone that the plan names.
func (s *deployment) startDataPlanes() error {
	for number, zone := range s.plan.DataPlanes {
		edge, err := freeAddress(loopbackAddress(1))
		if err != nil {
			return err
		}
		ready, err := freeAddress(loopbackAddress(1))
		if err != nil {
			return err
		}
		s.edges = append(s.edges, edge)
		s.ready = append(s.ready, ready)
		node := daemon{
			name: fmt.Sprintf("data-%d", number+1),
			host: loopbackAddress(1),
			zone: zone,
			bind: map[string]any{"dataPlane": edge, "readiness": ready},
		}
		if err := s.start(dataProgram, node); err != nil {
			return err
		}
	}
	return nil
}

// start starts one daemon.
func (s *deployment) start(program string, node daemon) error {
	settings, err := s.settings(node)
	if err != nil {
		return errors.Wrap(err, "settings of "+node.name)
	}
	process, err := startChild(s.programs, s.folder, program, node.name, settings)
	if err != nil {
		return err
	}
	s.children = append(s.children, process)
	s.onClose(process.end)
	return nil
}

// configure sends the embedded configuration as an operator does.
func (s *deployment) configure(ctx context.Context) error {
	caller := &adminapi.Client{
		Addresses:         s.controls,
		HTTPClient:        adminapi.NewHTTPClient(),
		PerAddressTimeout: 2 * time.Second,
		Timeout:           15 * time.Second,
	}
	outcome, err := caller.Call(ctx, http.MethodPut, "/ferryspar/config", "0", embeddedConfiguration)
	if err != nil {
		return s.addChildLogs(errors.Wrap(err, "configuration"))
	}
	if outcome.Status != http.StatusOK {
		return s.addChildLogs(errors.Errorf("configuration answered with %d: %s", outcome.Status, outcome.Body))
	}
	return nil
}

// addChildLogs adds to an error the end of the log of every child that has ended.
func (s *deployment) addChildLogs(err error) error {
	for _, process := range s.children {
		if !process.alive() {
			err = errors.Wrapf(err, "%s has ended: %s", process.name, process.tail())
		}
	}
	return err
}

// makeFolder makes the folder for settings, logs and data; a temporary one is removed at the end.
func (s *deployment) makeFolder(keep string) error {
	if keep != "" {
		s.folder = keep
		return errors.Wrap(os.MkdirAll(keep, 0o700), "folder")
	}
	folder, err := os.MkdirTemp("", "ferryspar-demo-")
	s.folder = folder
	s.onClose(func() { os.RemoveAll(folder) })
	return errors.Wrap(err, "temporary folder")
}

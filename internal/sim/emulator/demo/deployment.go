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
	"ferryspar/internal/httpframing"
	"ferryspar/internal/sim/emulator/standin"
)

// deployment is the running demo: its addresses, its child processes and the cleanup functions.
type deployment struct {
	plan     plan
	programs string
	folder   string
	// internalPort is the first of the ports of the connections between the daemons.
	internalPort int
	controls     []string
	edges        []string
	// ready are the readiness addresses of the data planes.
	ready    []string
	platform string
	children []*child
	cleanup  []func()
}

// onClose adds a function to be called by close. Functions are called in reverse order.
func (d *deployment) onClose(act func()) { d.cleanup = append(d.cleanup, act) }

// close ends the child processes and stops everything else that was started.
func (d *deployment) close() {
	for position := len(d.cleanup) - 1; position >= 0; position-- {
		d.cleanup[position]()
	}
	d.cleanup = nil
}

// serve serves HTTP on a free loopback address until the deployment is closed.
func (d *deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "loopback")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	d.onClose(func() { server.Close() })
	go func() { _ = httpframing.Serve(server, listener, httpframing.Options{}) }()
	return listener.Addr().String(), nil
}

// startReplicas starts the stand-in replicas and the platform list.
func (d *deployment) startReplicas() error {
	backend := d.plan.configuration.Backends[0]
	list := &standin.List{PageSize: 3}
	for _, planned := range d.plan.Replicas {
		listed := discovery.Replica{ID: planned.ID, Zone: planned.Zone, Revision: "v1"}
		replica := standin.NewReplica(listed, backend, standin.DefaultTiming(), planned.Models...)
		address, err := d.serve(replica.Routes(backend.HealthPath))
		if err != nil {
			return err
		}
		replica.SetAddress(address)
		list.Replicas = append(list.Replicas, replica)
	}
	address, err := d.serve(list)
	d.platform = address
	return err
}

// maxStartAttempts is how often the daemons are started if one of them exits during the start, for example
// because another process has taken its port in the meantime.
const maxStartAttempts = 3

// startAll starts the daemons, sends the configuration and waits until all data planes are ready. Each attempt
// uses its own subfolder.
func (d *deployment) startAll(ctx context.Context, controls int) error {
	folder := d.folder
	defer func() { d.folder = folder }()
	for attempt := 1; ; attempt++ {
		own, err := os.MkdirTemp(folder, "start-")
		d.folder = own
		if err == nil {
			err = d.startDaemons(controls)
		}
		if err == nil {
			err = d.configure(ctx)
		}
		if err == nil {
			err = d.awaitReady(ctx)
		}
		if err == nil || attempt == maxStartAttempts || !d.hasExitedChild() {
			return err
		}
		for _, process := range d.children {
			process.end()
		}
		d.children = nil
		d.controls = nil
		d.edges = nil
		d.ready = nil
	}
}

// hasExitedChild reports whether a child process has exited.
func (d *deployment) hasExitedChild() bool {
	return slices.ContainsFunc(d.children, func(process *child) bool { return !process.alive() })
}

// startDaemons starts the control planes and then the data planes.
func (d *deployment) startDaemons(controls int) error {
	hosts := make([]string, controls)
	for number := range hosts {
		hosts[number] = loopbackAddress(number + 1)
	}
	port, err := freePorts(1+len(d.plan.DataPlanes), hosts...)
	if err != nil {
		return err
	}
	d.internalPort = port
	for _, host := range hosts {
		address, err := freeAddress(host)
		if err != nil {
			return err
		}
		d.controls = append(d.controls, address)
	}
	for number, host := range hosts {
		name := fmt.Sprintf("control-%d", number+1)
		zone := d.plan.DataPlanes[number%len(d.plan.DataPlanes)]
		node := daemon{
			name:     name,
			host:     host,
			zone:     zone,
			bind:     map[string]any{"controlPlane": d.controls[number]},
			dataPath: name,
		}
		if err := d.start(controlProgram, node); err != nil {
			return err
		}
	}
	return d.startDataPlanes()
}

// startDataPlanes starts a data plane for each entry of the plan's list of zones.
func (d *deployment) startDataPlanes() error {
	for number, zone := range d.plan.DataPlanes {
		edge, err := freeAddress(loopbackAddress(1))
		if err != nil {
			return err
		}
		ready, err := freeAddress(loopbackAddress(1))
		if err != nil {
			return err
		}
		d.edges = append(d.edges, edge)
		d.ready = append(d.ready, ready)
		node := daemon{
			name: fmt.Sprintf("data-%d", number+1),
			host: loopbackAddress(1),
			zone: zone,
			bind: map[string]any{"dataPlane": edge, "readiness": ready},
		}
		if err := d.start(dataProgram, node); err != nil {
			return err
		}
	}
	return nil
}

// start starts one daemon.
func (d *deployment) start(program string, node daemon) error {
	settings, err := d.settings(node)
	if err != nil {
		return errors.Wrap(err, "settings of "+node.name)
	}
	process, err := startChild(d.programs, d.folder, program, node.name, settings)
	if err != nil {
		return err
	}
	d.children = append(d.children, process)
	d.onClose(process.end)
	return nil
}

// configure sends the embedded configuration through the operators' API.
func (d *deployment) configure(ctx context.Context) error {
	caller := &adminapi.Client{
		Addresses:         d.controls,
		HTTPClient:        adminapi.NewHTTPClient(),
		PerAddressTimeout: 2 * time.Second,
		Timeout:           15 * time.Second,
	}
	outcome, err := caller.Call(ctx, http.MethodPut, "/ferryspar/config", "0", embeddedConfiguration)
	if err != nil {
		return d.addChildLogs(errors.Wrap(err, "configuration"))
	}
	if outcome.Status != http.StatusOK {
		return d.addChildLogs(errors.Errorf("configuration answered with %d: %s", outcome.Status, outcome.Body))
	}
	return nil
}

// addChildLogs adds the end of the log of every exited child process to an error.
func (d *deployment) addChildLogs(err error) error {
	for _, process := range d.children {
		if !process.alive() {
			err = errors.Wrapf(err, "%s has exited: %s", process.name, process.tail())
		}
	}
	return err
}

// makeFolder creates the folder for settings, logs and data. A temporary one is removed by close.
func (d *deployment) makeFolder(keep string) error {
	if keep != "" {
		d.folder = keep
		return errors.Wrap(os.MkdirAll(keep, 0o700), "folder")
	}
	folder, err := os.MkdirTemp("", "ferryspar-demo-")
	d.folder = folder
	d.onClose(func() { os.RemoveAll(folder) })
	return errors.Wrap(err, "temporary folder")
}

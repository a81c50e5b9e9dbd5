package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/pkg/errors"
)

// controlKind and edgeKind are the first parts of the names of control planes and data planes.
const (
	controlKind = "control"
	edgeKind    = "edge"
)

// The programs that a run needs.
const (
	dataPlaneProgram    = "ferryspar-data-plane"
	controlPlaneProgram = "ferryspar-control-plane"
	emulatorProgram     = "ferryspar-emulator"
)

func nodeName(kind string, number int) string { return fmt.Sprintf("%s-%d", kind, number+1) }

func isControl(name string) bool { return strings.HasPrefix(name, controlKind+"-") }

// prepare names the addresses of all processes and writes their settings.
func (f *fleet) prepare(chosen options, list string) error {
	add := func(kind, program string, number, host int) (*process, error) {
		port, err := freePorts(f.hostOf(host))
		if err != nil {
			return nil, err
		}
		name := nodeName(kind, number)
		return &process{
			name: name, program: filepath.Join(f.programs, program), settings: filepath.Join(f.folder, name+".toml"),
			log: filepath.Join(f.folder, name+".log"), address: fmt.Sprintf("%s:%d", f.hostOf(host), port+internalPorts),
			ready: fmt.Sprintf("%s:%d", f.hostOf(host), port+internalPorts+1),
		}, nil
	}
	for number := range chosen.Controls {
		node, err := add(controlKind, controlPlaneProgram, number, number)
		if err != nil {
			return err
		}
		f.controls = append(f.controls, node)
	}
	for number := range chosen.Edges {
		node, err := add(edgeKind, dataPlaneProgram, number, chosen.Controls+number)
		if err != nil {
			return err
		}
		f.edges = append(f.edges, node)
	}
	for number, node := range f.controls {
		if err := f.writeSettings(node, number, list, "control"); err != nil {
			return err
		}
	}
	for number, node := range f.edges {
		if err := f.writeSettings(node, number, list, "edge"); err != nil {
			return err
		}
	}
	return nil
}

// hostOf returns the address of the numbered node; the stand-ins have that of number -1.
func (f *fleet) hostOf(number int) string { return fmt.Sprintf("%s.%d", f.network, number+2) }

// firstPort is the first port of every node; all nodes of a deployment use the same ports.
const firstPort = 27720

// errPortTaken is returned if a port of the deployment is not free; another --network avoids it.
var errPortTaken = errors.New("a port of the deployment is taken")

// freePorts returns firstPort if the node's ports are free on the host.
func freePorts(host string) (int, error) {
	for offset := range nodePorts {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, firstPort+offset))
		if err != nil {
			return 0, errors.Wrap(errPortTaken, err.Error())
		}
		listener.Close()
	}
	return firstPort, nil
}

func (f *fleet) writeSettings(node *process, number int, list, serves string) error {
	host, _, _ := net.SplitHostPort(node.address)
	var seeds []string
	for _, control := range f.controls[:min(len(f.controls), 3)] {
		seeds = append(seeds, control.address)
	}
	bind := map[string]any{"dataPlane": node.address, "readiness": node.ready}
	if serves == "control" {
		bind = map[string]any{"controlPlane": node.address}
	}
	content, err := toml.Parser().Marshal(map[string]any{
		"nodeName": node.name, "role": node.name, "serves": []string{serves}, "ipAddress": host, "zone": zoneOf(number), "region": "here",
		"internalPorts": []int{firstPort, firstPort + internalPorts - 1}, "seedNodes": seeds, "bootstrap": true, "heartbeatMs": 1200,
		"dataDir":        filepath.Join(f.folder, node.name),
		"zones":          map[string]any{zoneOf(0): "here", zoneOf(1): "here", zoneOf(2): "here"},
		"bindAddresses":  bind,
		"limits":         map[string]any{"cpuCores": 1, "memoryMb": memoryMb, "maxFds": maxFds, "diskMb": 128},
		"faultTolerance": map[string]any{"machineLoss": (len(f.controls) - 1) / 2},
		"timingBounds": map[string]any{
			"contactMs": contactTime.Milliseconds(), "ackTimeoutMs": 4000, "evacuateMs": evacuateTime.Milliseconds(),
			"syncTimeS": syncTime.Seconds(), "drainMs": 3000, "graceS": graceTime.Seconds(),
			"configApplyMs": configurationApplyTime.Milliseconds(), "retryBudgetRatio": 0.2, "budgetPeriodS": 10,
			"retryBudgetSlack": 54, "leaseMs": 3000,
			"coldOverage": 1.5, "coldSlack": 5, "originPeriodS": 5, "originOverage": 1.1, "fencing": true,
		},
		"cloudApi": map[string]any{"address": list, "ratePerS": 42.0, "maxLagMs": 800},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(node.settings, content, 0o600)
}

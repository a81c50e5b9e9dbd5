package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/pkg/errors"

	"ferryspar/internal/discovery"
)

const (
	graceTime    = 8 * time.Second
	syncTime     = 4 * time.Second
	contactTime  = 3 * time.Second
	evacuateTime = 5 * time.Second
	// configurationApplyTime is how long after its acknowledgement every node has a configuration.
	configurationApplyTime = 2 * time.Second
	restartDelay           = 300 * time.Millisecond
	startTimeout           = 30 * time.Second
	pollInterval           = 100 * time.Millisecond
	callTimeout            = 2 * time.Second
	// internalPorts is the number of ports of a node for traffic between nodes; those for operators, clients and readiness follow.
	internalPorts = 4
	nodePorts     = internalPorts + 3
	maxFds        = 4100
	memoryMb      = 284
)

// process is one of the programs on an address of its own. Its fields from command on belong to lock.
type process struct {
	name, program, settings, log string
	// address is where it serves operators or clients, ready where it answers readiness checks.
	address, ready string

	// faultLock is held while a fault is carried out, to its restart: on a busy machine that may take longer than the schedule allows for.
	faultLock sync.Mutex

	lock    sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// closed is set at the end of the run: the program is not started any more.
	closed bool
}

var errClosed = errors.New("the run has ended")

// fleet is a deployment on loopback addresses.
type fleet struct {
	folder, programs, network string
	recorder                  *recorder
	controls, edges           []*process
	replicas                  []*standIn
	seed                      uint64
	revision                  int
	faults                    sync.WaitGroup
}

// zoneCount is the number of zones.
const zoneCount = 3

func zoneOf(number int) string { return fmt.Sprintf("zone-%d", number%zoneCount+1) }

// startFleet starts replicas, the platform and all processes, and sends the first configuration.
func startFleet(chosen options, folder string, recorder *recorder) (*fleet, error) {
	started := &fleet{folder: folder, programs: chosen.Programs, network: chosen.Network, seed: chosen.Seed, recorder: recorder}
	list, err := started.startPlatform(chosen.Replicas)
	if err != nil {
		return nil, err
	}
	if err := started.prepare(chosen, list); err != nil {
		return nil, err
	}
	for _, node := range started.all() {
		if err := node.start(); err != nil {
			return started, errors.Wrap(err, node.name)
		}
	}
	if err := started.configure(); err != nil {
		return started, err
	}
	return started, started.awaitReady()
}

func (f *fleet) all() []*process { return append(append([]*process{}, f.controls...), f.edges...) }

func (f *fleet) startPlatform(replicas int) (string, error) {
	for number := range replicas {
		pace := &pacer{random: rand.New(rand.NewPCG(f.seed, uint64(number)))}
		entry := &standIn{recorder: f.recorder, pacer: pace, listed: discovery.Replica{
			ID: fmt.Sprintf("i-%d", number+1), Backend: backendName, Zone: zoneOf(number), Revision: "v1", Slots: replicaSlots,
			State: "ready", Phase: discovery.PhaseUnified, Models: []discovery.LoadedModel{{Name: modelName, Revision: 1}},
		}}
		address, err := serve(f.hostOf(-1), entry)
		if err != nil {
			return "", err
		}
		entry.listed.Address = address
		f.replicas = append(f.replicas, entry)
	}
	return serve(f.hostOf(-1), &platform{replicas: f.replicas})
}

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

// start starts the program with the command of the deploy file.
func (p *process) start() error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.closed {
		return errClosed
	}
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(p.program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FERRYSPAR_SETTINGS=" + p.settings}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	p.command, p.ended = command, ended
	return nil
}

// restart starts the program again, with settings that say that the system does not start for the first time.
func (p *process) restart() error {
	if err := p.rewriteSettings(); err != nil {
		return err
	}
	return p.start()
}

// rewriteSettings writes settings that say that the system does not start for the first time.
func (p *process) rewriteSettings() error {
	content, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	later := bytes.Replace(content, []byte("bootstrap = true"), []byte("bootstrap = false"), 1)
	return os.WriteFile(p.settings, later, 0o600)
}

// pid returns the id of the process.
func (p *process) pid() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.command.Process.Pid
}

// signal sends a signal to the process and returns a channel that is closed at its end.
func (p *process) signal(signal syscall.Signal) <-chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	_ = p.command.Process.Signal(signal)
	return p.ended
}

// configurationPath and drainPath are paths of the operators' API; the latter is followed by a zone.
const (
	configurationPath = "/ferryspar/config"
	drainPath         = "/ferryspar/drain-zone/"
)

// call sends one call on the configuration to a control plane and decodes the answer into target, which may be nil.
func (f *fleet) call(method, address, ifMatch string, body string, target any) (status int, err error) {
	return f.callPath(method, address, configurationPath, ifMatch, body, target)
}

// callPath sends one call of an operator to a control plane and decodes the answer into target, which may be nil.
func (f *fleet) callPath(method, address, path, ifMatch string, body string, target any) (status int, err error) {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("If-Match", ifMatch)
	response, err := (&http.Client{Timeout: callTimeout}).Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if target != nil && response.StatusCode == http.StatusOK {
		err = json.NewDecoder(response.Body).Decode(target)
	}
	return response.StatusCode, err
}

const firstConfiguration = `{"revision":1,"routeTable":[
{"name":"once","hostname":"soak.example","pathPrefix":"/once/","routeType":"streaming","timeoutMs":20000,"targetLatencyMs":600,
"priority":1,"backend":"scribes","retryCount":1,"sticky":true,"resumable":false,"tokenGapMs":300},
{"name":"resumed","hostname":"soak.example","pathPrefix":"/resumed/","routeType":"streaming","timeoutMs":20000,"targetLatencyMs":8000,
"priority":0,"backend":"scribes","retryCount":3,"sticky":true,"resumable":true,"tokenGapMs":300},
{"name":"idempotent","hostname":"soak.example","pathPrefix":"/idempotent/","routeType":"idempotent","timeoutMs":20000,"targetLatencyMs":600,
"priority":2,"backend":"scribes","retryCount":2,"sticky":true}],
"backends":[{"name":"scribes","healthPath":"/healthz","maxConns":1900,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":200.0,
"runtime":{"slots":64,"kvCacheTokens":5000000,"kvTokenBytes":1000,"linkMbps":180000.0,"stepSize":3,"modelList":[{"name":"swift",
"weightSizeMb":100,"loadTimeS":1,"adapterList":0,"adapterSizeMb":1}],"weightSizeMb":1000,"adapterCapacity":8,"loadsPerS":1.0}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// configure sends the first configuration until it is acknowledged.
func (f *fleet) configure() error {
	return f.repeat(func(number int) error {
		status, err := f.call(http.MethodPut, f.controls[number%len(f.controls)].address, "0", firstConfiguration, nil)
		if err == nil && status != http.StatusOK {
			err = errors.Errorf("first configuration answered with %d", status)
		}
		f.revision = 1
		return err
	})
}

// repeat calls a function until it succeeds, for startTimeout at most.
func (f *fleet) repeat(attempt func(number int) error) error {
	deadline := time.Now().Add(startTimeout)
	for number := 0; ; number++ {
		err := attempt(number)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

func (f *fleet) awaitReady() error {
	for _, node := range f.edges {
		err := f.repeat(func(int) error {
			response, err := (&http.Client{Timeout: callTimeout}).Get("http://" + node.ready + "/ferryspar/readyz")
			if err != nil {
				return err
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return errors.Errorf("%s is not ready: %d", node.name, response.StatusCode)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// close kills all processes, and keeps faults that are still carried out from starting any.
func (f *fleet) close() {
	for _, node := range f.all() {
		node.lock.Lock()
		node.closed = true
		started := node.command != nil
		node.lock.Unlock()
		if started {
			<-node.signal(syscall.SIGKILL)
		}
	}
}

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	service       = "huvo11a"
	host          = "nony24.example"
	slots         = 64
	kvCacheTokens = 114820
	maxBodyBytes  = 4194304
	// memoryMb and maxFds are those of an edge machine of the small deployments.
	memoryMb     = 284
	maxFds       = 4100
	controlCount = 3
	dataCount    = 2
	replicaCount = 4
	// internalPortCount is the number of ports for traffic between nodes.
	internalPortCount = 4
	startTimeout      = 20 * time.Second
)

// process is one of the project's programs.
type process struct {
	name, program, settings string
	lock                    sync.Mutex
	command                 *exec.Cmd
	ended                   chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	log      *record
	folder   string
	port     int
	platform string
	controls []*process
	dataPlanes,
	all []*process
	// control holds the addresses for operators, data those for clients, ready those for readiness checks.
	control, data, ready []string
	runs                 executions
	listeners            []net.Listener
}

// newFleet prepares addresses, stand-in replicas and the platform; start starts the programs.
func newFleet(log *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "ferryspar-review-")
	if err != nil {
		return nil, err
	}
	return &fleet{log: log, folder: folder}, nil
}

// nodeAddress returns the loopback address of a node: control planes first, then data planes.
func nodeAddress(number int) string { return fmt.Sprintf("127.0.77.%d", number+1) }

// freePort returns a port that is free on the address, followed by count-1 free ones on all nodes.
func freePort(address string, count int) (int, error) {
	for range 200 {
		listener, err := net.Listen("tcp", address+":0")
		if err != nil {
			return 0, err
		}
		port := listener.Addr().(*net.TCPAddr).Port
		listener.Close()
		if isFree(port, count) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", address)
}

func isFree(port, count int) bool {
	for node := range controlCount + dataCount {
		for offset := range count {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", nodeAddress(node), port+offset))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

// serve serves HTTP on a free loopback address.
func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.77.100:0")
	if err != nil {
		return "", err
	}
	f.listeners = append(f.listeners, listener)
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// start starts replicas whose streams have that many events, the platform, all programs, and sends the configuration.
func (f *fleet) start(events int) error {
	list := &platform{}
	for number := range replicaCount {
		replica := &standIn{
			id: fmt.Sprintf("i-%d", number+1), zone: zoneOf(number % dataCount), events: events, runs: &f.runs, log: f.log,
		}
		address, err := f.serve(replica)
		if err != nil {
			return err
		}
		replica.address = address
		list.replicas = append(list.replicas, replica)
	}
	address, err := f.serve(list)
	if err != nil {
		return err
	}
	f.platform = address
	if err := f.startPrograms(); err != nil {
		return err
	}
	if err := f.configure(); err != nil {
		return err
	}
	return f.awaitReady()
}

func zoneOf(number int) string { return fmt.Sprintf("hall-%d", number+1) }

func (f *fleet) startPrograms() error {
	port, err := freePort(nodeAddress(0), internalPortCount+3)
	if err != nil {
		return err
	}
	f.port = port
	for number := range controlCount {
		f.control = append(f.control, fmt.Sprintf("%s:%d", nodeAddress(number), port+internalPortCount))
	}
	for number := range controlCount {
		bind := fmt.Sprintf("controlPlane = %q\n", f.control[number])
		added, err := f.add(fmt.Sprintf("core-%d", number+1), "control-plane", number, bind)
		if err != nil {
			return err
		}
		f.controls = append(f.controls, added)
	}
	for number := range dataCount {
		node := controlCount + number
		f.data = append(f.data, fmt.Sprintf("%s:%d", nodeAddress(node), port+internalPortCount+1))
		f.ready = append(f.ready, fmt.Sprintf("%s:%d", nodeAddress(node), port+internalPortCount+2))
		bind := fmt.Sprintf("dataPlane = %q\nreadiness = %q\n", f.data[number], f.ready[number])
		added, err := f.add(fmt.Sprintf("edge-%d", number+1), "data-plane", node, bind)
		if err != nil {
			return err
		}
		f.dataPlanes = append(f.dataPlanes, added)
	}
	return nil
}

// add writes the settings of a node and starts its program.
func (f *fleet) add(name, role string, node int, bind string) (*process, error) {
	zone := node
	if node >= controlCount {
		zone = node - controlCount
	}
	dataDir, serves := "", `["edge"]`
	if role == "control-plane" {
		dataDir, serves = fmt.Sprintf("dataDir = %q\n", filepath.Join(f.folder, name)), `["control"]`
	}
	settings := fmt.Sprintf(settingsForm, name, role, serves, nodeAddress(node), zoneOf(zone), f.port, f.port+internalPortCount-1,
		`"`+strings.Join(f.control, `","`)+`"`, dataDir, bind, memoryMb, maxFds, f.platform)
	path := filepath.Join(f.folder, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	added := &process{name: name, program: "target/ferryspar-" + role, settings: path}
	f.all = append(f.all, added)
	return added, f.launch(added)
}

// restart starts a process again. The settings say that the system does not start for the first time.
func (f *fleet) restart(p *process) error {
	content, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	later := bytes.Replace(content, []byte("bootstrap = true"), []byte("bootstrap = false"), 1)
	if err := os.WriteFile(p.settings, later, 0o600); err != nil {
		return err
	}
	return f.launch(p)
}

// launch starts the program of a process with the command of the deploy file.
func (f *fleet) launch(p *process) error {
	output, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	p.lock.Lock()
	defer p.lock.Unlock()
	p.command, p.ended = command, ended
	f.log.write("%s started", p.name)
	return nil
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.lock.Lock()
	command, ended := p.command, p.ended
	p.lock.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

// pid returns the id of the process.
func (p *process) pid() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.command.Process.Pid
}

func (f *fleet) configure() error {
	deadline := time.Now().Add(startTimeout)
	var last error
	for number := 0; time.Now().Before(deadline); number++ {
		request, err := http.NewRequest(http.MethodPut, "http://"+f.control[number%controlCount]+"/ferryspar/config",
			bytes.NewReader([]byte(configuration)))
		if err != nil {
			return err
		}
		request.Header.Set("If-Match", "0")
		response, err := (&http.Client{Timeout: 2 * time.Second}).Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				f.log.write("configuration acknowledged")
				return nil
			}
			err = fmt.Errorf("configuration answered with %d", response.StatusCode)
		}
		last = err
		time.Sleep(300 * time.Millisecond)
	}
	return last
}

func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, address := range f.ready {
		for !isReady(address) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not become ready", address)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// The list of replicas reaches the data planes with their next poll.
	time.Sleep(2 * time.Second)
	return nil
}

func isReady(address string) bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + address + "/ferryspar/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, p := range f.all {
		p.kill()
	}
	for _, listener := range f.listeners {
		listener.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

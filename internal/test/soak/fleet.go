package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

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

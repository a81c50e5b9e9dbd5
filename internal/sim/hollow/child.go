package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlplane"
	"ferryspar/internal/dataplane"
	"ferryspar/internal/keystore"
	"ferryspar/internal/nodesettings"
)

// ChildEnvVar is the environment variable that marks a process as a child of a fleet.
const ChildEnvVar = "FERRYSPAR_HOLLOW_CHILD"

// IsChild reports whether this process was started as a child of a fleet. If so, its main function must call ServeChild.
func IsChild() bool { return os.Getenv(ChildEnvVar) != "" }

const (
	// commandPlan and the constants below are the commands to a child.
	commandPlan      = "plan"
	commandStart     = "start"
	commandStop      = "stop"
	commandPartition = "cut"
	commandSnapshot  = "snapshot"
)

// command is a command to a child, sent as a line of JSON.
type command struct {
	Do          string   `json:"do"`
	Plan        *Plan    `json:"plan,omitempty"`
	Directory   string   `json:"folder,omitempty"`
	Role        string   `json:"role,omitempty"`
	Hosts       []string `json:"hosts,omitempty"`
	Partitioned bool     `json:"cut,omitempty"`
}

// reply is the response to a command, sent as a line of JSON.
type reply struct {
	Error    string    `json:"problem,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

const (
	// roleData is the role of the data planes that share processes.
	roleData = "data plane"
	// roleAlone is the role of the one data plane that has its own process, so that it is measured separately.
	roleAlone = "data plane alone"
	// roleMember is the role of a control plane; each has its own process.
	roleMember = "control plane"
	// roleHolder is the role of the control plane that holds the placement lease.
	roleHolder = "control plane, holder"
	// childTimeout is the time after which a child exits, in case its parent does not end it.
	childTimeout = 10 * time.Minute
	// maxLineBytes is the maximum length of a command in bytes.
	maxLineBytes = 1 << 20
	// stopSettleTime is how long after the end of a node the connections opened meanwhile are closed.
	stopSettleTime = 50 * time.Millisecond
)

// runningNode is a node running in a child.
type runningNode struct {
	cancel  context.CancelFunc
	network *Network
	ended   chan error
}

// child is the state of a child process. Its commands are served by one goroutine.
type child struct {
	plan        Plan
	directory   string
	role        string
	counter     *Counter
	partitioned atomic.Bool
	nodes       map[string]*runningNode
}

// ServeChild serves commands, one per line, until the input ends. It discards the logs of the nodes.
func ServeChild(input io.Reader, output io.Writer) error {
	logrus.SetFormatter(&logrus.JSONFormatter{})
	logrus.SetOutput(io.Discard)
	time.AfterFunc(childTimeout, func() { os.Exit(1) })
	served := &child{counter: NewCounter(), nodes: map[string]*runningNode{}}
	handlers := map[string]func(command) (reply, error){
		commandPlan:      served.setPlan,
		commandStart:     served.start,
		commandStop:      served.stop,
		commandPartition: served.setPartitioned,
		commandSnapshot:  served.snapshot,
	}
	lines := bufio.NewScanner(input)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var received command
		var response reply
		err := json.Unmarshal(lines.Bytes(), &received)
		if err == nil && handlers[received.Do] == nil {
			err = errors.Errorf("unknown command %q", received.Do)
		}
		if err == nil {
			response, err = handlers[received.Do](received)
		}
		if err != nil {
			response.Error = err.Error()
		}
		if err := json.NewEncoder(output).Encode(response); err != nil {
			return err
		}
	}
	return lines.Err()
}

// setPlan sets the plan and the role, and limits the number of processors accordingly.
func (c *child) setPlan(received command) (reply, error) {
	if received.Plan == nil {
		return reply{}, errors.New("command has no plan")
	}
	c.plan = *received.Plan
	c.directory = received.Directory
	c.role = received.Role
	runtime.GOMAXPROCS(c.plan.processors(c.role))
	return reply{}, nil
}

// start starts the nodes of the hosts.
func (c *child) start(received command) (reply, error) {
	for _, host := range received.Hosts {
		if err := c.launch(host); err != nil {
			return reply{}, err
		}
	}
	return reply{}, nil
}

// launch starts the node of one host: a control plane or a data plane, depending on the role.
func (c *child) launch(host string) error {
	settings, err := c.plan.settings(host)
	if err != nil {
		return err
	}
	network := NewNetwork(c.plan, host, c.counter, &c.partitioned)
	run := func(_ context.Context, _ nodesettings.Signals) error { return nil }
	if c.role == roleMember {
		directory, err := keystore.NewDirectory(filepath.Join(c.directory, host))
		if err != nil {
			return err
		}
		node, err := controlplane.New(settings, "", network, &countedDirectory{directory, c.counter})
		if err != nil {
			return err
		}
		run = node.Run
	} else {
		run = dataplane.New(settings, "", network).Run
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &runningNode{cancel: cancel, network: network, ended: make(chan error, 1)}
	c.nodes[host] = node
	go func() { node.ended <- run(ctx, nodesettings.Signals{}) }()
	return nil
}

// stop stops the nodes of the hosts immediately and closes all their connections.
func (c *child) stop(received command) (reply, error) {
	for _, host := range received.Hosts {
		node := c.nodes[host]
		if node == nil {
			continue
		}
		delete(c.nodes, host)
		node.cancel()
		node.network.CloseAll()
		if err := <-node.ended; err != nil {
			return reply{}, errors.Wrap(err, host)
		}
		time.AfterFunc(stopSettleTime, node.network.CloseAll)
	}
	return reply{}, nil
}

// setPartitioned starts or ends a network partition between the regions.
func (c *child) setPartitioned(received command) (reply, error) {
	c.partitioned.Store(received.Partitioned)
	return reply{}, nil
}

// snapshot returns a snapshot of the process. It returns an error if a node has ended by itself.
func (c *child) snapshot(command) (reply, error) {
	for host, node := range c.nodes {
		select {
		case err := <-node.ended:
			return reply{}, errors.Wrapf(err, "node %s ended unexpectedly", host)
		default:
		}
	}
	snapshot, err := TakeSnapshot(c.counter)
	snapshot.Nodes = len(c.nodes)
	return reply{Snapshot: &snapshot}, err
}

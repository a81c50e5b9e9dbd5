package hollow

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Fleet is a running fleet: the child processes that run the nodes, and the stand-ins in this process. It is not safe for
// concurrent use.
type Fleet struct {
	plan     Plan
	standIns *StandIns
	operator *Operator
	clients  *Clients
	members  []*process
	data     []*process
	// networkLock is a listener that reserves the loopback network for this run.
	networkLock   net.Listener
	progress      io.Writer
	memoryLimitMb float64
	peakMemoryMb  float64
}

const (
	// firstOctet and lastOctet are the bounds of the second octet of the loopback networks that a run may use.
	firstOctet = 16
	lastOctet  = 250
	lockPort   = 6999
)

// reserveNetwork reserves a loopback network that no other run on this machine uses.
func (f *Fleet) reserveNetwork() error {
	for octet := firstOctet; octet <= lastOctet; octet++ {
		f.plan.Octet = octet
		listener, err := net.Listen("tcp", f.plan.address(f.plan.host(0, 1), lockPort))
		if err == nil {
			f.networkLock = listener
			return nil
		}
	}
	return errors.New("no free loopback network from 127.16.0.0 to 127.250.0.0")
}

// HalfOfMemory returns half of the memory of this machine in MB, or 0 if it is unknown.
func HalfOfMemory() float64 {
	var machine unix.Sysinfo_t
	if unix.Sysinfo(&machine) != nil {
		return 0
	}
	return float64(machine.Totalram) * float64(machine.Unit) / megabyte / 2
}

// StartFleet starts the stand-ins and the child processes, but no nodes yet. If it succeeds, the caller must call End.
func StartFleet(plan Plan, memoryLimitMb float64, progress io.Writer) (*Fleet, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	fleet := &Fleet{plan: plan, progress: progress, memoryLimitMb: memoryLimitMb}
	if err := fleet.reserveNetwork(); err != nil {
		return nil, err
	}
	err := fleet.open()
	if err != nil {
		_ = fleet.End()
	}
	return fleet, err
}

// open starts the stand-ins and the child processes: one per member, one for a single data plane, and Plan.Processes for the
// other data planes.
func (f *Fleet) open() error {
	var err error
	if f.plan.Directory, err = os.MkdirTemp("", "ferryspar-hollow-"); err != nil {
		return err
	}
	f.standIns = NewStandIns(f.plan)
	f.operator = NewOperator(f.plan)
	f.clients = NewClients(f.plan)
	if err := f.standIns.Open(); err != nil {
		return err
	}
	for index := range f.plan.Members {
		childProcess, err := spawn(f.plan, roleMember, f.plan.Directory, []string{f.plan.memberHost(index)})
		if err != nil {
			return err
		}
		f.members = append(f.members, childProcess)
	}
	hosts := make([][]string, f.plan.Processes)
	for index := 1; index < f.plan.DataPlanes; index++ {
		hosts[index%f.plan.Processes] = append(hosts[index%f.plan.Processes], f.plan.dataHost(index))
	}
	for position, list := range append([][]string{{f.plan.dataHost(0)}}, hosts...) {
		role := roleData
		if position == 0 {
			role = roleAlone
		}
		if len(list) == 0 {
			continue
		}
		childProcess, err := spawn(f.plan, role, "", list)
		if err != nil {
			return err
		}
		f.data = append(f.data, childProcess)
	}
	return nil
}

// End ends the child processes and the stand-ins and removes the temporary directory. It returns the first error of a child.
func (f *Fleet) End() error {
	var first error
	for _, childProcess := range append(append([]*process{}, f.data...), f.members...) {
		if err := childProcess.end(); err != nil && first == nil {
			first = err
		}
	}
	if f.standIns != nil {
		f.standIns.Close()
	}
	if f.networkLock != nil {
		f.networkLock.Close()
	}
	if f.plan.Directory != "" {
		_ = os.RemoveAll(f.plan.Directory)
	}
	return first
}

// progressf prints a progress message.
func (f *Fleet) progressf(format string, arguments ...any) {
	fmt.Fprintf(f.progress, "ferryspar-hollow: "+format+"\n", arguments...)
}

// commandHosts sends a command to the processes, for those of their hosts that are selected.
func (f *Fleet) commandHosts(list []*process, do string, chosen func(host string) bool) error {
	for _, childProcess := range list {
		sent := command{Do: do}
		for _, host := range childProcess.hosts {
			if chosen(host) {
				sent.Hosts = append(sent.Hosts, host)
			}
		}
		if len(sent.Hosts) == 0 {
			continue
		}
		if _, err := childProcess.call(sent); err != nil {
			return err
		}
	}
	return nil
}

// processes returns all child processes, members first.
func (f *Fleet) processes() []*process {
	return append(append([]*process{}, f.members...), f.data...)
}

// partition starts or ends the network partition between the regions.
func (f *Fleet) partition(partitioned bool) error {
	for _, childProcess := range f.processes() {
		if _, err := childProcess.call(command{Do: commandPartition, Partitioned: partitioned}); err != nil {
			return err
		}
	}
	return nil
}

// observation holds snapshots of all processes, in the order of Fleet.processes.
type observation struct {
	at           time.Time
	instructions int64
	snapshots    []Snapshot
}

// observe takes snapshots of all processes. It returns an error if their memory exceeds the limit.
func (f *Fleet) observe() (observation, error) {
	seen := observation{at: time.Now(), instructions: f.standIns.instructions.Load()}
	total := 0.0
	for _, childProcess := range f.processes() {
		response, err := childProcess.call(command{Do: commandSnapshot})
		if err != nil {
			return seen, err
		}
		seen.snapshots = append(seen.snapshots, *response.Snapshot)
		total += response.Snapshot.RuntimeMb
	}
	f.peakMemoryMb = max(f.peakMemoryMb, total)
	if total > f.memoryLimitMb {
		return seen, errors.Errorf("hollow nodes hold %.0f MB, more than the %.0f MB allowed", total, f.memoryLimitMb)
	}
	return seen, nil
}

// anyHost selects every host.
func anyHost(string) bool { return true }

// dataIndices returns the indices of the data planes whose hosts are selected.
func (f *Fleet) dataIndices(chosen func(host string) bool) []int {
	var indices []int
	for index := range f.plan.DataPlanes {
		if chosen(f.plan.dataHost(index)) {
			indices = append(indices, index)
		}
	}
	return indices
}

const (
	// membersTimeout is the timeout for the control planes to acknowledge the first configuration.
	membersTimeout = 15 * time.Second
	// readyTimeout is the timeout for the data planes to become ready.
	readyTimeout = 40 * time.Second
)

// Start starts the control planes, sends the first configuration, starts the data planes and returns how long they took to
// become ready.
func (f *Fleet) Start(ctx context.Context) (*Latencies, error) {
	if err := f.commandHosts(f.members, commandStart, anyHost); err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	if err := f.operator.PutInitial(bounded); err != nil {
		return nil, err
	}
	if err := f.commandHosts(f.data, commandStart, anyHost); err != nil {
		return nil, err
	}
	return f.operator.AwaitReady(ctx, f.dataIndices(anyHost), readyTimeout)
}

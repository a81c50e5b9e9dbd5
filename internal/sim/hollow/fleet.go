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

// Fleet is a running fleet: the child processes with the nodes, and the stand-ins in this
// process. One goroutine alone may use it.
type Fleet struct {
	plan     Plan
	standIns *StandIns
	operator *Operator
	clients  *Clients
	members  []*process
	data     []*process
	// lock is a listener that keeps the loopback network for this run.
	lock      net.Listener
	progress  io.Writer
	memoryMb  float64
	highestMb float64
}

const (
	// firstOctet is the second octet of the first loopback network that a run may take.
	firstOctet = 16
	lastOctet  = 250
	lockPort   = 6999
)

// reserveNetwork takes a loopback network that no other run on this machine uses.
func (f *Fleet) reserveNetwork() error {
	for octet := firstOctet; octet <= lastOctet; octet++ {
		f.plan.Octet = octet
		listener, err := net.Listen("tcp", f.plan.at(f.plan.host(0, 1), lockPort))
		if err == nil {
			f.lock = listener
			return nil
		}
	}
	return errors.New("no free loopback network from 127.16.0.0 to 127.250.0.0")
}

// HalfOfMemory is half of this machine's memory in MB, or 0 if the system does not tell.
func HalfOfMemory() float64 {
	var machine unix.Sysinfo_t
	if unix.Sysinfo(&machine) != nil {
		return 0
	}
	return float64(machine.Totalram) * float64(machine.Unit) / megabyte / 2
}

// StartFleet starts the stand-ins and the child processes, with no node running yet. End must be
// called if it succeeds.
func StartFleet(plan Plan, memoryMb float64, progress io.Writer) (*Fleet, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	fleet := &Fleet{plan: plan, progress: progress, memoryMb: memoryMb}
	if err := fleet.reserveNetwork(); err != nil {
		return nil, err
	}
	err := fleet.open()
	if err != nil {
		_ = fleet.End()
	}
	return fleet, err
}

// open starts the stand-ins and the children: one a member, one for a single data plane, the others
// for the rest.
func (f *Fleet) open() error {
	var err error
	if f.plan.Folder, err = os.MkdirTemp("", "ferryspar-hollow-"); err != nil {
		return err
	}
	f.standIns = NewStandIns(f.plan)
	f.operator = NewOperator(f.plan)
	f.clients = NewClients(f.plan)
	if err := f.standIns.Open(); err != nil {
		return err
	}
	for index := range f.plan.Members {
		childProcess, err := spawn(f.plan, roleMember, f.plan.Folder, []string{f.plan.memberHost(index)})
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

// End ends the children and the stand-ins and removes the folder; its error is the first child's
// that failed.
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
	if f.lock != nil {
		f.lock.Close()
	}
	if f.plan.Folder != "" {
		_ = os.RemoveAll(f.plan.Folder)
	}
	return first
}

// progressf prints a line of progress.
func (f *Fleet) progressf(format string, arguments ...any) {
	fmt.Fprintf(f.progress, "ferryspar-hollow: "+format+"\n", arguments...)
}

// commandHosts sends a command to the processes, for those of their hosts that are chosen.
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

// processes are all children, members first.
func (f *Fleet) processes() []*process {
	return append(append([]*process{}, f.members...), f.data...)
}

// partition begins or ends the partition between the regions.
func (f *Fleet) partition(cut bool) error {
	for _, childProcess := range f.processes() {
		if _, err := childProcess.call(command{Do: commandPartition, Cut: cut}); err != nil {
			return err
		}
	}
	return nil
}

// observation is a reading of all processes, in the sequence of Fleet.processes.
type observation struct {
	at        time.Time
	placed    int64
	snapshots []Snapshot
}

// observe reads all processes; it fails if together they hold more memory than allowed.
func (f *Fleet) observe() (observation, error) {
	seen := observation{at: time.Now(), placed: f.standIns.instructions.Load()}
	total := 0.0
	for _, childProcess := range f.processes() {
		answer, err := childProcess.call(command{Do: commandSnapshot})
		if err != nil {
			return seen, err
		}
		seen.snapshots = append(seen.snapshots, *answer.Snapshot)
		total += answer.Snapshot.RuntimeMb
	}
	f.highestMb = max(f.highestMb, total)
	if total > f.memoryMb {
		return seen, errors.Errorf("hollow nodes hold %.0f MB, more than the %.0f MB allowed", total, f.memoryMb)
	}
	return seen, nil
}

// anyHost chooses every host.
func anyHost(string) bool { return true }

// dataIndices are the indices of the data planes whose hosts are chosen.
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
	// membersTimeout is how long the control planes may take to acknowledge the first configuration.
	membersTimeout = 15 * time.Second
	// readyTimeout is how long data planes may take to be ready.
	readyTimeout = 40 * time.Second
)

// Start starts the control planes, sends the first configuration, starts the data planes and
// returns how long each took to be ready.
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

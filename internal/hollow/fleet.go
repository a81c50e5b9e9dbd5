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

type Fleet struct {
	plan      Plan
	world     *World
	operator  *Operator
	clients   *Clients
	members   []*process
	data      []*process
	lock      net.Listener
	progress  io.Writer
	memoryMb  float64
	highestMb float64
}

const (
	firstOctet = 16
	lastOctet  = 250
	lockPort   = 6999
)

func (f *Fleet) reserve() error {
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

func HalfOfMemory() float64 {
	var machine unix.Sysinfo_t
	if unix.Sysinfo(&machine) != nil {
		return 0
	}
	return float64(machine.Totalram) * float64(machine.Unit) / megabyte / 2
}

func StartFleet(plan Plan, memoryMb float64, progress io.Writer) (*Fleet, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	fleet := &Fleet{plan: plan, progress: progress, memoryMb: memoryMb}
	if err := fleet.reserve(); err != nil {
		return nil, err
	}
	err := fleet.open()
	if err != nil {
		_ = fleet.End()
	}
	return fleet, err
}

func (f *Fleet) open() error {
	var err error
	if f.plan.Folder, err = os.MkdirTemp("", "ferryspar-hollow-"); err != nil {
		return err
	}
	f.world, f.operator, f.clients = NewWorld(f.plan), NewOperator(f.plan), NewClients(f.plan)
	if err := f.world.Open(); err != nil {
		return err
	}
	for index := range f.plan.Members {
		one, err := spawn(f.plan, roleMember, f.plan.Folder, []string{f.plan.memberHost(index)})
		if err != nil {
			return err
		}
		f.members = append(f.members, one)
	}
	hosts := make([][]string, f.plan.Processes)
	for index := 1; index < f.plan.Data; index++ {
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
		one, err := spawn(f.plan, role, "", list)
		if err != nil {
			return err
		}
		f.data = append(f.data, one)
	}
	return nil
}

func (f *Fleet) End() error {
	var first error
	for _, one := range append(append([]*process{}, f.data...), f.members...) {
		if err := one.end(); err != nil && first == nil {
			first = err
		}
	}
	if f.world != nil {
		f.world.Close()
	}
	if f.lock != nil {
		f.lock.Close()
	}
	if f.plan.Folder != "" {
		_ = os.RemoveAll(f.plan.Folder)
	}
	return first
}

func (f *Fleet) say(format string, arguments ...any) {
	fmt.Fprintf(f.progress, "ferryspar-hollow: "+format+"\n", arguments...)
}

func (f *Fleet) tellAll(list []*process, do string, chosen func(host string) bool) error {
	for _, one := range list {
		told := command{Do: do}
		for _, host := range one.hosts {
			if chosen(host) {
				told.Hosts = append(told.Hosts, host)
			}
		}
		if len(told.Hosts) == 0 {
			continue
		}
		if _, err := one.tell(told); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) every() []*process {
	return append(append([]*process{}, f.members...), f.data...)
}

func (f *Fleet) sever(cut bool) error {
	for _, one := range f.every() {
		if _, err := one.tell(command{Do: doCut, Cut: cut}); err != nil {
			return err
		}
	}
	return nil
}

type sight struct {
	at        time.Time
	placed    int64
	snapshots []Snapshot
}

func (f *Fleet) look() (sight, error) {
	seen := sight{at: time.Now(), placed: f.world.orders.Load()}
	total := 0.0
	for _, one := range f.every() {
		answer, err := one.tell(command{Do: doSnapshot})
		if err != nil {
			return seen, err
		}
		seen.snapshots = append(seen.snapshots, *answer.Snapshot)
		total += answer.Snapshot.HeldMb
	}
	f.highestMb = max(f.highestMb, total)
	if total > f.memoryMb {
		return seen, errors.Errorf("hollow daemons hold %.0f MB, more than the %.0f MB allowed", total, f.memoryMb)
	}
	return seen, nil
}

func anyHost(string) bool { return true }

func (f *Fleet) dataIndices(chosen func(host string) bool) []int {
	var indices []int
	for index := range f.plan.Data {
		if chosen(f.plan.dataHost(index)) {
			indices = append(indices, index)
		}
	}
	return indices
}

const (
	membersBound = 15 * time.Second
	readyBound   = 40 * time.Second
)

func (f *Fleet) Begin(ctx context.Context) (*Spread, error) {
	if err := f.tellAll(f.members, doStart, anyHost); err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, membersBound)
	defer cancel()
	if err := f.operator.First(bounded); err != nil {
		return nil, err
	}
	if err := f.tellAll(f.data, doStart, anyHost); err != nil {
		return nil, err
	}
	return f.operator.AwaitReady(ctx, f.dataIndices(anyHost), readyBound)
}

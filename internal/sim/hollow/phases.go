package hollow

import (
	"sort"
	"time"
)

// CallRate holds the rate of the messages of a path sent by a node, and their mean size in bytes.
type CallRate struct {
	PerS          float64 `json:"perS"`
	SentBytes     float64 `json:"sentBytes"`
	ReceivedBytes float64 `json:"receivedBytes"`
}

// RoleUsage is the mean resource usage of the nodes of a role in a phase.
type RoleUsage struct {
	Nodes int `json:"daemons"`
	// CPUPercent is the CPU usage in percent of one processor.
	CPUPercent  float64 `json:"processorPercent"`
	MessagesIn  float64 `json:"messagesInPerS"`
	MessagesOut float64 `json:"messagesOutPerS"`
	InKbPerS    float64 `json:"inKbPerS"`
	OutKbPerS   float64 `json:"outKbPerS"`
	HeapMb      float64 `json:"heapMb"`
	// RuntimeMb is the memory that the Go runtime holds, PeakMb the peak of the resident memory.
	RuntimeMb   float64 `json:"heldMb"`
	PeakMb      float64 `json:"peakMb"`
	Goroutines  float64 `json:"goroutines"`
	Descriptors float64 `json:"descriptors"`
	// OutboundConnections counts the open connections dialed, InboundConnections those accepted.
	OutboundConnections float64             `json:"connectionsOut"`
	InboundConnections  float64             `json:"connectionsIn"`
	DialedPerS          float64             `json:"dialedPerS"`
	DiskSyncsPerS       float64             `json:"diskSyncsPerS"`
	DiskKbPerS          float64             `json:"diskKbPerS"`
	Calls               map[string]CallRate `json:"calls"`
}

// Phase holds the measurements between two observations.
type Phase struct {
	Name        string  `json:"name"`
	Seconds     float64 `json:"seconds"`
	LeaseHolder string  `json:"holder,omitempty"`
	// Saturated lists the roles of the processes that saturated their processors.
	Saturated    []string `json:"processorsFull,omitempty"`
	Instructions int64    `json:"placementOrders"`
	// Messages and Bytes count the control traffic of all nodes.
	Messages int64                 `json:"controlMessages"`
	Bytes    int64                 `json:"controlBytes"`
	Roles    map[string]*RoleUsage `json:"roles"`
}

// saturationShare is the utilization of its processors above which a process counts as saturated.
const saturationShare = 0.85

// processors returns how many processors a process of the role may use.
func (p Plan) processors(role string) int {
	if role == roleData {
		return p.Processors
	}
	return 1
}

// isControlPath reports whether a path is that of control traffic, as opposed to requests of clients.
func isControlPath(path string) bool { return path != servingPath }

// flowBetween returns the increase of a flow between two snapshots.
func flowBetween(before, after Snapshot, path, target string) Flow {
	late := after.Flows[path][target]
	early := before.Flows[path][target]
	return Flow{late.Messages - early.Messages, late.Sent - early.Sent, late.Received - early.Received}
}

// measure computes a phase from the observations at its start and end.
func (f *Fleet) measure(name string, from, to observation) Phase {
	span := to.at.Sub(from.at).Seconds()
	phase := Phase{Name: name, Seconds: span, Instructions: to.instructions - from.instructions, Roles: map[string]*RoleUsage{}}
	received := map[string]Flow{}
	for index := range to.snapshots {
		for path, targets := range to.snapshots[index].Flows {
			for target := range targets {
				growth := flowBetween(from.snapshots[index], to.snapshots[index], path, target)
				sum := received[target]
				sum.Messages += growth.Messages
				sum.Sent += growth.Sent
				sum.Received += growth.Received
				received[target] = sum
				if isControlPath(path) {
					phase.Messages += growth.Messages
					phase.Bytes += growth.Sent + growth.Received
				}
			}
		}
	}
	phase.LeaseHolder = f.holder(from, to)
	for index, childProcess := range f.processes() {
		role := childProcess.role
		if role == roleMember && childProcess.hosts[0] == phase.LeaseHolder {
			role = roleHolder
		}
		if phase.Roles[role] == nil {
			phase.Roles[role] = &RoleUsage{Calls: map[string]CallRate{}}
		}
		utilization := (to.snapshots[index].CPUSeconds - from.snapshots[index].CPUSeconds) / span
		if utilization > saturationShare*float64(f.plan.processors(childProcess.role)) {
			phase.Saturated = append(phase.Saturated, role)
		}
		phase.Roles[role].add(from.snapshots[index], to.snapshots[index], span, childProcess, received)
	}
	for _, role := range phase.Roles {
		role.mean()
	}
	return phase
}

// holder returns the host of the member that sent the most rosters, reports and instructions, which is the holder of the
// placement lease, or "" if none sent any.
func (f *Fleet) holder(from, to observation) string {
	most, holder := int64(0), ""
	for index, childProcess := range f.members {
		sent := int64(0)
		for _, path := range []string{"/partner/roster", "/ferryspar/report", "/ferryspar/order"} {
			for target := range to.snapshots[index].Flows[path] {
				sent += flowBetween(from.snapshots[index], to.snapshots[index], path, target).Messages
			}
		}
		if sent > most {
			most, holder = sent, childProcess.hosts[0]
		}
	}
	return holder
}

// add adds the usage of a process between two snapshots. received holds the traffic sent to each host.
func (r *RoleUsage) add(before, after Snapshot, span float64, childProcess *process, received map[string]Flow) {
	r.Nodes += len(childProcess.hosts)
	r.CPUPercent += 100 * (after.CPUSeconds - before.CPUSeconds) / span
	r.HeapMb += after.HeapMb
	r.RuntimeMb += after.RuntimeMb
	r.PeakMb += after.PeakMb
	r.Goroutines += float64(after.Goroutines)
	r.Descriptors += float64(after.Descriptors)
	r.OutboundConnections = r.OutboundConnections + float64(after.OutboundConnections)
	r.InboundConnections = r.InboundConnections + float64(after.InboundConnections)
	r.DialedPerS += float64(after.Dialed-before.Dialed) / span
	r.DiskSyncsPerS += float64(after.DiskSyncs-before.DiskSyncs) / span
	r.DiskKbPerS += float64(after.DiskBytes-before.DiskBytes) / span / kilobyte
	for path, targets := range after.Flows {
		call := r.Calls[path]
		for target := range targets {
			growth := flowBetween(before, after, path, target)
			call.PerS += float64(growth.Messages) / span
			call.SentBytes += float64(growth.Sent) / span
			call.ReceivedBytes += float64(growth.Received) / span
		}
		r.Calls[path] = call
	}
	if childProcess.role != roleMember {
		return
	}
	for _, host := range childProcess.hosts {
		in := received[host]
		r.MessagesIn += float64(in.Messages) / span
		r.InKbPerS += float64(in.Sent) / span / kilobyte
		r.OutKbPerS += float64(in.Received) / span / kilobyte
	}
}

// mean divides the sums by the number of nodes of the role.
func (r *RoleUsage) mean() {
	nodes := float64(max(r.Nodes, 1))
	sums := []*float64{
		&r.CPUPercent,
		&r.HeapMb, &r.RuntimeMb, &r.PeakMb,
		&r.Goroutines, &r.Descriptors,
		&r.OutboundConnections, &r.InboundConnections, &r.DialedPerS,
		&r.DiskSyncsPerS, &r.DiskKbPerS,
		&r.MessagesIn, &r.InKbPerS, &r.OutKbPerS,
	}
	for _, value := range sums {
		*value /= nodes
	}
	for path, call := range r.Calls {
		if isControlPath(path) {
			r.MessagesOut += call.PerS / nodes
			r.OutKbPerS += call.SentBytes / nodes / kilobyte
			r.InKbPerS += call.ReceivedBytes / nodes / kilobyte
		}
		messages := max(call.PerS, 1e-9)
		r.Calls[path] = CallRate{call.PerS / nodes, call.SentBytes / messages, call.ReceivedBytes / messages}
		if call.PerS == 0 {
			delete(r.Calls, path)
		}
	}
}

// names returns the sorted keys of a map.
func names[Value any](table map[string]Value) []string {
	var list []string
	for name := range table {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

func sleep(wait time.Duration) { time.Sleep(wait) }

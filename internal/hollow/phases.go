package hollow

import (
	"sort"
	"time"
)

type Call struct {
	PerS          float64 `json:"perS"`
	SentBytes     float64 `json:"sentBytes"`
	ReceivedBytes float64 `json:"receivedBytes"`
}

type Role struct {
	Daemons       int             `json:"daemons"`
	ProcessorPart float64         `json:"processorPercent"`
	MessagesIn    float64         `json:"messagesInPerS"`
	MessagesOut   float64         `json:"messagesOutPerS"`
	InKbPerS      float64         `json:"inKbPerS"`
	OutKbPerS     float64         `json:"outKbPerS"`
	HeapMb        float64         `json:"heapMb"`
	HeldMb        float64         `json:"heldMb"`
	PeakMb        float64         `json:"peakMb"`
	Goroutines    float64         `json:"goroutines"`
	Descriptors   float64         `json:"descriptors"`
	Outside       float64         `json:"connectionsOut"`
	Inside        float64         `json:"connectionsIn"`
	DialedPerS    float64         `json:"dialedPerS"`
	DiskPerS      float64         `json:"diskSyncsPerS"`
	DiskKbPerS    float64         `json:"diskKbPerS"`
	Calls         map[string]Call `json:"calls"`
}

type Phase struct {
	Name     string           `json:"name"`
	Seconds  float64          `json:"seconds"`
	Holder   string           `json:"holder,omitempty"`
	Full     []string         `json:"processorsFull,omitempty"`
	Placed   int64            `json:"placementOrders"`
	Messages int64            `json:"controlMessages"`
	Bytes    int64            `json:"controlBytes"`
	Roles    map[string]*Role `json:"roles"`
}

const fullPart = 0.85

func (p Plan) processors(role string) int {
	if role == roleData {
		return p.Processors
	}
	return 1
}

func control(path string) bool { return path != servingPath }

func between(before, after Snapshot, path, target string) Flow {
	late, early := after.Flows[path][target], before.Flows[path][target]
	return Flow{late.Messages - early.Messages, late.Sent - early.Sent, late.Received - early.Received}
}

func (f *Fleet) measure(name string, from, to sight) Phase {
	span := to.at.Sub(from.at).Seconds()
	phase := Phase{Name: name, Seconds: span, Placed: to.placed - from.placed, Roles: map[string]*Role{}}
	heard := map[string]Flow{}
	for index := range to.snapshots {
		for path, targets := range to.snapshots[index].Flows {
			for target := range targets {
				moved := between(from.snapshots[index], to.snapshots[index], path, target)
				sum := heard[target]
				sum.Messages, sum.Sent, sum.Received = sum.Messages+moved.Messages, sum.Sent+moved.Sent, sum.Received+moved.Received
				heard[target] = sum
				if control(path) {
					phase.Messages += moved.Messages
					phase.Bytes += moved.Sent + moved.Received
				}
			}
		}
	}
	phase.Holder = f.holder(from, to)
	for index, one := range f.every() {
		role := one.role
		if role == roleMember && one.hosts[0] == phase.Holder {
			role = roleHolder
		}
		if phase.Roles[role] == nil {
			phase.Roles[role] = &Role{Calls: map[string]Call{}}
		}
		if worked := (to.snapshots[index].ProcessorS - from.snapshots[index].ProcessorS) / span; worked > fullPart*float64(f.plan.processors(one.role)) {
			phase.Full = append(phase.Full, role)
		}
		phase.Roles[role].add(from.snapshots[index], to.snapshots[index], span, one, heard)
	}
	for _, role := range phase.Roles {
		role.mean()
	}
	return phase
}

func (f *Fleet) holder(from, to sight) string {
	most, holder := int64(0), ""
	for index, one := range f.members {
		ordered := int64(0)
		for _, path := range []string{"/partner/roster", "/ferryspar/report", "/ferryspar/order"} {
			for target := range to.snapshots[index].Flows[path] {
				ordered += between(from.snapshots[index], to.snapshots[index], path, target).Messages
			}
		}
		if ordered > most {
			most, holder = ordered, one.hosts[0]
		}
	}
	return holder
}

func (r *Role) add(before, after Snapshot, span float64, one *process, heard map[string]Flow) {
	r.Daemons += len(one.hosts)
	r.ProcessorPart += 100 * (after.ProcessorS - before.ProcessorS) / span
	r.HeapMb, r.HeldMb, r.PeakMb = r.HeapMb+after.HeapMb, r.HeldMb+after.HeldMb, r.PeakMb+after.PeakMb
	r.Goroutines += float64(after.Goroutines)
	r.Descriptors += float64(after.Descriptors)
	r.Outside, r.Inside = r.Outside+float64(after.Outside), r.Inside+float64(after.Inside)
	r.DialedPerS += float64(after.Dialed-before.Dialed) / span
	r.DiskPerS += float64(after.DiskSyncs-before.DiskSyncs) / span
	r.DiskKbPerS += float64(after.DiskBytes-before.DiskBytes) / span / kilobytes
	for path, targets := range after.Flows {
		call := r.Calls[path]
		for target := range targets {
			moved := between(before, after, path, target)
			call.PerS += float64(moved.Messages) / span
			call.SentBytes += float64(moved.Sent) / span
			call.ReceivedBytes += float64(moved.Received) / span
		}
		r.Calls[path] = call
	}
	if one.role != roleMember {
		return
	}
	for _, host := range one.hosts {
		in := heard[host]
		r.MessagesIn += float64(in.Messages) / span
		r.InKbPerS += float64(in.Sent) / span / kilobytes
		r.OutKbPerS += float64(in.Received) / span / kilobytes
	}
}

func (r *Role) mean() {
	daemons := float64(max(r.Daemons, 1))
	for _, value := range []*float64{
		&r.ProcessorPart, &r.HeapMb, &r.HeldMb, &r.PeakMb, &r.Goroutines, &r.Descriptors, &r.Outside, &r.Inside, &r.DialedPerS, &r.DiskPerS,
		&r.DiskKbPerS, &r.MessagesIn, &r.InKbPerS, &r.OutKbPerS,
	} {
		*value /= daemons
	}
	for path, call := range r.Calls {
		if control(path) {
			r.MessagesOut += call.PerS / daemons
			r.OutKbPerS += call.SentBytes / daemons / kilobytes
			r.InKbPerS += call.ReceivedBytes / daemons / kilobytes
		}
		messages := max(call.PerS, 1e-9)
		r.Calls[path] = Call{call.PerS / daemons, call.SentBytes / messages, call.ReceivedBytes / messages}
		if call.PerS == 0 {
			delete(r.Calls, path)
		}
	}
}

func names[Value any](table map[string]Value) []string {
	var list []string
	for name := range table {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

func settle(pause time.Duration) { time.Sleep(pause) }

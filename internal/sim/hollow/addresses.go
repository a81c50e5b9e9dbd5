package hollow

import (
	"fmt"
	"net"
)

const (
	// peerPort and the constants below are the ports of nodes, replicas and the platform list. Each host has its own address.
	peerPort    = 7000
	dataPort    = 8161
	controlPort = 8166
	readyPort   = 8167
	replicaPort = 8080
	listPort    = 8100
	// hostsPerNetwork is the number of host addresses used per /24 network.
	hostsPerNetwork     = 200
	firstMember         = 10
	firstDataNetwork    = 1
	firstReplicaNetwork = 100
	backendName         = "writers"
	routeHostname       = "shop.example"
)

var (
	// zones lists the zones of every fleet, in two regions.
	zones   = []string{"a1", "a2", "a3", "b1", "b2", "b3"}
	regions = map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b"}
	// memberZones lists the zones to which control planes are assigned in turn.
	memberZones = []string{"a1", "b1", "a2", "b2", "a3"}
)

// host returns the loopback address of a host in the network of the run.
func (p Plan) host(network, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", p.Octet, network, number)
}

// listAddress returns the address of the platform list.
func (p Plan) listAddress() string { return p.address(p.host(0, 1), listPort) }

// memberHost returns the host of a control plane.
func (p Plan) memberHost(index int) string { return p.host(0, firstMember+index) }

// dataHost returns the host of a data plane.
func (p Plan) dataHost(index int) string {
	return p.host(firstDataNetwork+index/hostsPerNetwork, 1+index%hostsPerNetwork)
}

// replicaHost returns the host of a replica.
func (p Plan) replicaHost(index int) string {
	return p.host(firstReplicaNetwork+index/hostsPerNetwork, 1+index%hostsPerNetwork)
}

// address returns the address of a port on a host.
func (p Plan) address(host string, port int) string { return net.JoinHostPort(host, fmt.Sprint(port)) }

// zoneOf returns the zone of a host, or "" if it has none.
func (p Plan) zoneOf(host string) string {
	var octet, network, number int
	if count, _ := fmt.Sscanf(host, "127.%d.%d.%d", &octet, &network, &number); count != 3 {
		return ""
	}
	switch {
	case network == 0 && number < firstMember:
		return ""
	case network == 0:
		return memberZones[(number-firstMember)%len(memberZones)]
	case network >= firstReplicaNetwork:
		return zones[((network-firstReplicaNetwork)*hostsPerNetwork+number-1)%len(zones)]
	}
	return zones[((network-firstDataNetwork)*hostsPerNetwork+number-1)%len(zones)]
}

// regionOf returns the region of a host, or "" if it has none.
func (p Plan) regionOf(host string) string { return regions[p.zoneOf(host)] }

package dataplane

import (
	"net"
	"net/http"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/proxy"
)

// newServer is the HTTP server for clients.
func (n *Node) newServer() *http.Server {
	return &http.Server{
		DisableGeneralOptionsHandler: true,
		Handler:                      n.handler,
		ReadHeaderTimeout:            10 * time.Second,
		IdleTimeout:                  60 * time.Second,
		ErrorLog:                     discardLog(),
		ConnState:                    proxy.ConnState,
		ConnContext:                  proxy.ConnContext,
	}
}

const (
	// reservedDescriptors are the file descriptors kept for everything but clients.
	reservedDescriptors = 200
	// clientDescriptorShare is the share of the other descriptors that clients' connections may take.
	clientDescriptorShare = 0.6
	// unboundedConnections is the bound where the settings tell no number of descriptors.
	unboundedConnections = 1 << 16
)

// maxClientConnections is how many clients' connections are accepted at once.
func (n *Node) maxClientConnections() int {
	if n.settings.Limits.MaxFds <= reservedDescriptors {
		return unboundedConnections
	}
	return int(clientDescriptorShare * float64(n.settings.Limits.MaxFds-reservedDescriptors))
}

// clientLimits are the configuration's bounds on a request's head and on idle connections; 0 before
// there is one.
func (n *Node) clientLimits() (head, idle time.Duration) {
	table := n.fleet.Load().Table
	if table == nil {
		return 0, 0
	}
	limits := table.Configuration.Limits
	return nodesettings.Milliseconds(limits.HeaderTimeoutMs), nodesettings.Milliseconds(limits.IdleTimeoutMs)
}

// listenForPeers listens for other data planes on the first of the internal ports that is free, and notes it for the polls.
// Several data planes may run on one machine.
func (n *Node) listenForPeers() (net.Listener, error) {
	var listener net.Listener
	var err error
	for _, address := range n.settings.PeerAddresses() {
		if listener, err = n.network.Listen(address); err == nil {
			n.quotas.setAddress(address)
			return listener, nil
		}
	}
	return nil, err
}

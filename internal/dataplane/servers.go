package dataplane

import (
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/proxy"
)

const (
	// headerTimeout is how long a request's head may take where the configuration states no limit.
	headerTimeout = 10 * time.Second
	// idleTimeout closes a connection between two requests where the configuration states no limit.
	idleTimeout = time.Minute
	// reservedDescriptors are the file descriptors kept for everything but clients.
	reservedDescriptors = 200
	// clientDescriptorShare is the share of the other descriptors that clients' connections may take.
	clientDescriptorShare = 0.6
	// unlimitedConnections is the limit where the settings state no number of descriptors.
	unlimitedConnections = 1 << 16
)

// newClientServer is the HTTP server for clients.
func (n *Node) newClientServer() *http.Server {
	return &http.Server{
		DisableGeneralOptionsHandler: true,
		Handler:                      n.proxy,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		ErrorLog:                     discardLog(),
		ConnState:                    proxy.ConnState,
		ConnContext:                  proxy.ConnContext,
	}
}

// newPeerServer is the HTTP server for other data planes, which lend and borrow quota.
func (n *Node) newPeerServer() *http.Server {
	return &http.Server{
		Handler:     n.quotas.routes(),
		IdleTimeout: idleTimeout,
		ErrorLog:    discardLog(),
	}
}

// discardLog is a logger that drops what the HTTP server says of clients' broken connections.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

func (n *Node) limitConnections(listener net.Listener) net.Listener {
	return proxy.NewLimitedListener(listener, n.maxClientConnections(), n.clientTimeouts)
}

// maxClientConnections is how many clients' connections are accepted at once.
func (n *Node) maxClientConnections() int {
	if n.settings.Limits.MaxFds <= reservedDescriptors {
		return unlimitedConnections
	}
	return int(clientDescriptorShare * float64(n.settings.Limits.MaxFds-reservedDescriptors))
}

// clientTimeouts are the configuration's timeouts for clients' connections; 0 before there is a configuration.
func (n *Node) clientTimeouts() proxy.ConnectionTimeouts {
	table := n.snapshot.Load().Table
	if table == nil {
		return proxy.ConnectionTimeouts{}
	}
	limits := table.Configuration.Limits
	return proxy.ConnectionTimeouts{
		Head: nodesettings.Milliseconds(limits.HeaderTimeoutMs),
		Idle: nodesettings.Milliseconds(limits.IdleTimeoutMs),
	}
}

// listenForPeers listens for other data planes on the first of the internal ports that is free, since several data
// planes may run on one machine, and has the address stated in polls.
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

package dataplane

import (
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"ferryspar/internal/httpframing"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/proxy"
)

const (
	// headerTimeout is the default timeout for reading request headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is the default timeout for idle connections.
	idleTimeout = time.Minute
	// reservedDescriptors is the number of file descriptors reserved for purposes other than client connections.
	reservedDescriptors = 200
	// clientDescriptorShare is the fraction of the remaining descriptors available to client connections.
	clientDescriptorShare = 0.6
	// unlimitedConnections is the connection limit if the settings state no descriptor limit above reservedDescriptors.
	unlimitedConnections = 1 << 16
)

// ownListenerOptions are the options of the listeners that serve no clients.
var ownListenerOptions = httpframing.Options{HeadTimeout: headerTimeout}

// newClientServer returns the HTTP server for clients.
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

// serveClients serves clients on the listener until it fails or the server is shut down.
func (n *Node) serveClients(server *http.Server, listener net.Listener) error {
	limited := proxy.NewLimitedListener(listener, n.maxClientConnections(), n.clientTimeouts)
	return httpframing.Serve(server, limited, httpframing.Options{MaxHeadBytes: n.maxHeaderBytes, Reject: n.proxy.Reject})
}

// maxHeaderBytes returns the configured limit of request headers, or 0 before a configuration has been adopted.
func (n *Node) maxHeaderBytes() int {
	table := n.snapshot.Load().Table
	if table == nil {
		return 0
	}
	return table.Configuration.Limits.MaxHeaderBytes
}

// newStatusServer returns the HTTP server for readiness probes, metrics and operators' queries.
func (n *Node) newStatusServer() *http.Server {
	return &http.Server{
		Handler:           n.statusRoutes(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          discardLog(),
	}
}

// newPeerServer returns the HTTP server for other data planes, which lend and borrow quota.
func (n *Node) newPeerServer() *http.Server {
	return &http.Server{
		Handler:     n.quotas.routes(),
		IdleTimeout: idleTimeout,
		ErrorLog:    discardLog(),
	}
}

// discardLog returns a logger that discards the HTTP server's messages on broken connections.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// maxClientConnections returns the maximum number of concurrent client connections.
func (n *Node) maxClientConnections() int {
	if n.settings.Limits.MaxFds <= reservedDescriptors {
		return unlimitedConnections
	}
	return int(clientDescriptorShare * float64(n.settings.Limits.MaxFds-reservedDescriptors))
}

// clientTimeouts returns the configured timeouts for client connections, or 0 before a configuration has been adopted.
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

// listenForPeers listens for other data planes on the first free internal port, since several data planes may run on one machine,
// and makes polls state the address.
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

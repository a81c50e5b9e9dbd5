package dataplane

import (
	"net"
	"net/http"
	"time"

	"ferryspar/internal/client"
	"ferryspar/internal/nodesettings"
)

// newServer is the HTTP server for clients.
func (d *Daemon) newServer() *http.Server {
	return &http.Server{
		DisableGeneralOptionsHandler: true,
		Handler:                      d.handler,
		ReadHeaderTimeout:            10 * time.Second,
		IdleTimeout:                  60 * time.Second,
		ErrorLog:                     discardLog(),
		ConnState:                    client.FollowState,
		ConnContext:                  client.Remember,
	}
}

const (
	// reservedDescriptors are the file descriptors kept for everything but clients.
	reservedDescriptors = 200
	// connectionShare is the share of the other descriptors that clients' connections may take.
	connectionShare = 0.6
	// unboundedConnections is the bound where the settings tell no number of descriptors.
	unboundedConnections = 1 << 16
)

// maxConnections is how many clients' connections are accepted at once.
func (d *Daemon) maxConnections() int {
	if d.settings.Limits.MaxFds <= reservedDescriptors {
		return unboundedConnections
	}
	return int(connectionShare * float64(d.settings.Limits.MaxFds-reservedDescriptors))
}

// clientLimits are the configuration's bounds on a request's head and on idle connections; 0 before
// there is one.
func (d *Daemon) clientLimits() (head, idle time.Duration) {
	table := d.fleet.Load().Table
	if table == nil {
		return 0, 0
	}
	limits := table.Configuration.Limits
	return nodesettings.Milliseconds(limits.HeaderTimeoutMs), nodesettings.Milliseconds(limits.IdleTimeoutMs)
}

// listenInside listens for other data planes on the first of the internal ports that is free, and notes it for the polls.
// Several data planes may run on one machine.
func (d *Daemon) listenInside() (net.Listener, error) {
	var listener net.Listener
	var err error
	for _, address := range d.settings.PeerAddresses() {
		if listener, err = d.network.Listen(address); err == nil {
			d.quotas.setAddress(address)
			return listener, nil
		}
	}
	return nil, err
}

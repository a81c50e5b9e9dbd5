package demo

import (
	"fmt"
	"net"
	"strconv"

	"github.com/pkg/errors"
)

// maxPortAttempts is how many ports are tried to find one that is free on all addresses.
const maxPortAttempts = 50

// loopbackAddress returns the loopback address with the given last octet.
func loopbackAddress(number int) string { return fmt.Sprintf("127.0.0.%d", number) }

// freePorts returns the first of count consecutive TCP ports that are currently free on all hosts. Another
// process may take them before they are used.
func freePorts(count int, hosts ...string) (int, error) {
	for range maxPortAttempts {
		first, err := net.Listen("tcp", net.JoinHostPort(hosts[0], "0"))
		if err != nil {
			return 0, errors.Wrap(err, "no free port on loopback")
		}
		port := first.Addr().(*net.TCPAddr).Port
		first.Close()
		if allFree(port, count, hosts) {
			return port, nil
		}
	}
	return 0, errors.New("no port is free on all loopback addresses; try --control-planes 1")
}

// freeAddress returns an address of the host with a free port.
func freeAddress(host string) (string, error) {
	port, err := freePorts(1, host)
	return net.JoinHostPort(host, strconv.Itoa(port)), err
}

// allFree reports whether count consecutive ports are free on all hosts.
func allFree(port, count int, hosts []string) bool {
	for _, host := range hosts {
		for offset := range count {
			listener, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port+offset)))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

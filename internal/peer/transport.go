package peer

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveProbes let an idle connection to a dead host end after about four
	// seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3

	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 20 * time.Second
	// bufferSize is the size, in bytes, of a connection's read and write buffers: messages are small and connections many.
	bufferSize = 4 << 10
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Network is what connections are opened and accepted on: the host's own network, or one in memory for tests.
type Network interface {
	// DialFunc returns the function that opens connections with these timeouts, see NewDialer.
	DialFunc(connectTimeout, ackTimeout time.Duration) DialFunc
	// Listen accepts connections at the address.
	Listen(address string) (net.Listener, error)
}

// HostNetwork is the TCP network of the host.
type HostNetwork struct{}

// DialFunc returns the function that opens TCP connections with these timeouts, see NewDialer.
func (HostNetwork) DialFunc(connectTimeout, ackTimeout time.Duration) DialFunc {
	return NewDialer(connectTimeout, ackTimeout).DialContext
}

// Listen accepts TCP connections at the address.
func (HostNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// NewDialer returns a dialer that gives up a connection that isn't established within connectTimeout. An established
// one is closed by the kernel once sent bytes have been unacknowledged for ackTimeout (TCP_USER_TIMEOUT), or keep-alive
// probes on an idle one were not answered.
func NewDialer(connectTimeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: func(_, _ string, connection syscall.RawConn) error {
			return connection.Control(func(descriptor uintptr) {
				_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
		},
	}
}

// NewTransport returns a transport without compression and proxies that keeps up to idle connections to each host. As
// every http.Transport, it resends a request that it takes for idempotent and whose body it can read again when a reused
// connection breaks; docs/design/answers.md says what keeps it from that.
func NewTransport(network Network, connectTimeout, ackTimeout time.Duration, idle int) *http.Transport {
	return &http.Transport{
		DialContext:         network.DialFunc(connectTimeout, ackTimeout),
		DisableCompression:  true,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleTimeout,
		WriteBufferSize:     bufferSize,
		ReadBufferSize:      bufferSize,
	}
}

// NewHTTPClient returns a client that follows no redirects: a call goes to the node or replica that it was meant for.
func NewHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// ResetOnClose wraps dial so that its TCP connections are reset when they are closed, which drops what this host has
// not sent yet of a call that was given up. It can't take back what the receiver's kernel has accepted: a process that
// was suspended reads it when it resumes, however late.
func ResetOnClose(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, isTCP := connection.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		return connection, nil
	}
}

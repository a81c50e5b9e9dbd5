package peer

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ferryspar/internal/httpframing"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveProbes close an idle connection to a dead host after about four seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3

	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 20 * time.Second
	// bufferSize is the size, in bytes, of a connection's read and write buffers. It is small because there are many
	// connections with small messages.
	bufferSize = 4 << 10
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Network opens and accepts connections: HostNetwork, or an in-memory network in tests.
type Network interface {
	// DialFunc returns a function that opens connections with the timeouts; see NewDialer.
	DialFunc(connectTimeout, ackTimeout time.Duration) DialFunc
	// Listen accepts connections at the address.
	Listen(address string) (net.Listener, error)
}

// HostNetwork is the TCP network of the host.
type HostNetwork struct{}

// DialFunc returns a function that opens TCP connections with the timeouts; see NewDialer.
func (HostNetwork) DialFunc(connectTimeout, ackTimeout time.Duration) DialFunc {
	return NewDialer(connectTimeout, ackTimeout).DialContext
}

// Listen accepts TCP connections at the address.
func (HostNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// NewDialer returns a dialer that establishes a connection within connectTimeout or fails. The kernel closes an established
// connection when sent bytes have been unacknowledged for ackTimeout (TCP_USER_TIMEOUT), or when keep-alive probes on an
// idle one are not answered.
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

// NewTransport returns a transport without compression and proxies that keeps at most idle unused connections per host. It fails
// at responses that are ambiguous, and never reuses their connections. Like
// every http.Transport, it resends a request that it considers idempotent and whose body it can reread when a reused
// connection breaks; docs/design/answers.md describes how callers prevent that.
func NewTransport(network Network, connectTimeout, ackTimeout time.Duration, idle int) *http.Transport {
	return &http.Transport{
		DialContext:         httpframing.CheckResponses(network.DialFunc(connectTimeout, ackTimeout)),
		DisableCompression:  true,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleTimeout,
		WriteBufferSize:     bufferSize,
		ReadBufferSize:      bufferSize,
	}
}

// NewHTTPClient returns a client that follows no redirects, because a call must only reach the node or replica addressed.
func NewHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// ResetOnClose wraps dial so that closing a TCP connection resets it and discards the unsent bytes of an abandoned call. It
// can't recall bytes that the receiver's kernel has accepted: a suspended process reads them when it resumes, however late.
func ResetOnClose(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, known := connection.(interface{ SetLinger(seconds int) error }); known {
			_ = tcp.SetLinger(0)
		}
		return connection, nil
	}
}

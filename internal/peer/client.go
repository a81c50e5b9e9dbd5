package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"ferryspar/internal/keystore"
)

// Method is a call between own daemons: its path and how long it may take.
type Method struct {
	Path    string
	Timeout time.Duration
}

// Methods holds the calls between own daemons by name.
var Methods = map[string]Method{
	"keystore": {"/partner/keystore", 900 * time.Millisecond},
	"learn":    {"/partner/learn", 600 * time.Millisecond},
	"news":     {"/partner/news", 3 * time.Second},
	"follow":   {"/partner/follow", 600 * time.Millisecond},
	"pressure": {"/partner/pressure", 600 * time.Millisecond},
	"sums":     {"/partner/sums", 600 * time.Millisecond},
	"roster":   {"/partner/roster", 600 * time.Millisecond},
	"greet":    {"/partner/greet", 600 * time.Millisecond},
	"forecast": {"/partner/forecast", 900 * time.Millisecond},
	"plan":     {"/partner/plan", 900 * time.Millisecond},
	"lend":     {"/partner/lend", 500 * time.Millisecond},
	"borrow":   {"/partner/borrow", 250 * time.Millisecond},
}

// NewDialer returns a dialer that gives up a connection that doesn't come up within connectBound, and one whose other end
// acknowledges nothing for the time of silence.
func NewDialer(connectTimeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		Control: func(network, address string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
		},
	}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Network is what connections are opened and accepted on: the machine's own, or one in memory for tests.
type Network interface {
	DialFunc(connectTimeout, ackTimeout time.Duration) DialFunc
	Listen(address string) (net.Listener, error)
}

// HostNetwork is the network of the machine.
type HostNetwork struct{}

// Dial returns the function that opens connections with the given bounds.
func (HostNetwork) DialFunc(connectTimeout, ackTimeout time.Duration) DialFunc {
	return NewDialer(connectTimeout, ackTimeout).DialContext
}

// Listen accepts connections at the address.
func (HostNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// NewTransport returns a transport without compression and proxies that keeps up to idle connections to each host.
// It still resends a request that it thinks repeatable; see docs/answers.md for what keeps it from that.
func NewTransport(network Network, connectTimeout, ackTimeout time.Duration, idle int) *http.Transport {
	return &http.Transport{
		DialContext:         network.DialFunc(connectTimeout, ackTimeout),
		DisableCompression:  true,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     20 * time.Second,
		WriteBufferSize:     4 << 10,
		ReadBufferSize:      4 << 10,
	}
}

// NewHTTPClient returns a client that follows no redirects: a call goes to the daemon or replica it was meant for.
func NewHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Client asks other own daemons. It may be used by any number of goroutines.
type Client struct {
	http *http.Client
}

// NewClient returns a client over the network.
func NewClient(network Network) *Client {
	transport := NewTransport(network, 500*time.Millisecond, 1500*time.Millisecond, 4)
	transport.DialContext = ResetOnClose(transport.DialContext)
	return &Client{http: NewHTTPClient(transport)}
}

// ResetOnClose makes connections that are reset when they are closed. What the network still
// holds of a call that was given up is lost with that. What the receiver's kernel has got is not: a
// process that stood still reads it when it goes on, however late.
func ResetOnClose(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if direct, known := connection.(*net.TCPConn); known && err == nil {
			_ = direct.SetLinger(0)
		}
		return connection, err
	}
}

// Ask sends the question of a named call and reads its answer, if that is wanted. The body can't be read twice by the
// library, so a question is sent once; after an error it may or may not have been heard.
func (c *Client) Call(ctx context.Context, name, address string, question, answer any) error {
	method, known := Methods[name]
	if !known {
		return errors.Errorf("no such call %q", name)
	}
	callContext, cancel := context.WithTimeout(ctx, method.Timeout)
	defer cancel()
	content, err := json.Marshal(question)
	if err != nil {
		return err
	}
	httpRequest, err := http.NewRequestWithContext(callContext, http.MethodPost, "http://"+address+method.Path, bytes.NewReader(content))
	if err != nil {
		return err
	}
	httpRequest.GetBody = nil
	httpRequest.Header.Set("Content-Type", "application/json")
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()
	content, err = io.ReadAll(httpResponse.Body)
	if err != nil {
		return err
	}
	if httpResponse.StatusCode != http.StatusOK {
		return errors.Errorf("%s at %s: status %d", name, address, httpResponse.StatusCode)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(content, answer)
}

// KeystoreTransport carries the messages of the keystore to other members, and to the own acceptor without the network.
type KeystoreTransport struct {
	Self     string
	Client   *Client
	Acceptor *keystore.Acceptor
}

// Send gives the message to the member at the address. Messages are told apart by ballot, so they may be repeated.
func (t *KeystoreTransport) Send(ctx context.Context, address string, message keystore.Message) (keystore.Reply, error) {
	if address == t.Self {
		return t.Acceptor.Call(ctx, message)
	}
	var reply keystore.Reply
	err := t.Client.Call(ctx, "keystore", address, message, &reply)
	return reply, err
}

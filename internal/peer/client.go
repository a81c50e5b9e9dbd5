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

// Call is a call between own daemons: its path and how long it may take.
type Call struct {
	Path  string
	Bound time.Duration
}

// Calls holds the calls between own daemons by name.
var Calls = map[string]Call{
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

// Dialer returns a dialer that gives up a connection that doesn't come up within connectBound, and one whose other end
// acknowledges nothing for the time of silence.
func Dialer(connectBound, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectBound,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		Control: func(network, address string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
		},
	}
}

// DialFunction opens a connection, as net.Dialer.DialContext does.
type DialFunction func(ctx context.Context, network, address string) (net.Conn, error)

// Network is what connections are opened and accepted on: the machine's own, or one in memory for tests.
type Network interface {
	Dial(connectBound, silence time.Duration) DialFunction
	Listen(address string) (net.Listener, error)
}

// Machine is the network of the machine.
type Machine struct{}

// Dial returns the function that opens connections with the given bounds.
func (Machine) Dial(connectBound, silence time.Duration) DialFunction {
	return Dialer(connectBound, silence).DialContext
}

// Listen accepts connections at the address.
func (Machine) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// NewTransport returns a transport without compression and proxies that keeps up to idle connections to each host.
// It still resends a request that it thinks repeatable; see docs/answers.md for what keeps it from that.
func NewTransport(network Network, connectBound, silence time.Duration, idle int) *http.Transport {
	return &http.Transport{
		DialContext:         network.Dial(connectBound, silence),
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
	client *http.Client
}

// NewClient returns a client over the network.
func NewClient(network Network) *Client {
	transport := NewTransport(network, 500*time.Millisecond, 1500*time.Millisecond, 4)
	transport.DialContext = ResetOnClose(transport.DialContext)
	return &Client{client: NewHTTPClient(transport)}
}

// ResetOnClose makes connections that are reset when they are closed. What the network still
// holds of a call that was given up is lost with that. What the receiver's kernel has got is not: a
// process that stood still reads it when it goes on, however late.
func ResetOnClose(dial DialFunction) DialFunction {
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
func (s *Client) Ask(ctx context.Context, name, address string, question, answer any) error {
	call, known := Calls[name]
	if !known {
		return errors.Errorf("no such call %q", name)
	}
	bounded, cancel := context.WithTimeout(ctx, call.Bound)
	defer cancel()
	content, err := json.Marshal(question)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(bounded, http.MethodPost, "http://"+address+call.Path, bytes.NewReader(content))
	if err != nil {
		return err
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	reply, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	content, err = io.ReadAll(reply.Body)
	if err != nil {
		return err
	}
	if reply.StatusCode != http.StatusOK {
		return errors.Errorf("%s at %s: status %d", name, address, reply.StatusCode)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(content, answer)
}

// Wire carries the messages of the keystore to other members, and to the own acceptor without the network.
type Wire struct {
	Self     string
	Client   *Client
	Acceptor *keystore.Acceptor
}

// Send gives the message to the member at the address. Messages are told apart by ballot, so they may be repeated.
func (w *Wire) Send(ctx context.Context, address string, message keystore.Message) (keystore.Reply, error) {
	if address == w.Self {
		return w.Acceptor.Call(ctx, message)
	}
	var reply keystore.Reply
	err := w.Client.Ask(ctx, "keystore", address, message, &reply)
	return reply, err
}

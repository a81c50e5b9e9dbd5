package httpframing

import (
	"context"
	"net"
	"net/http"
	"time"

	"ferryspar/internal/apierror"
)

// defaultMaxHeadBytes limits request headers if no limit is configured.
const defaultMaxHeadBytes = 64 << 10

// Options are the options of Serve.
type Options struct {
	// MaxHeadBytes returns the largest size of a request header with its request line, in bytes, or 0 for the default of
	// defaultMaxHeadBytes. It may be nil and must be safe for concurrent use.
	MaxHeadBytes func() int
	// HeadTimeout is how long a request header may take from its first byte; 0 leaves that to the server.
	HeadTimeout time.Duration
	// Reject answers a rejected request. If nil, apierror.Write does.
	Reject func(writer http.ResponseWriter, err error)
}

func (o Options) maxHeadBytes() int {
	if o.MaxHeadBytes != nil {
		if limit := o.MaxHeadBytes(); limit > 0 {
			return limit
		}
	}
	return defaultMaxHeadBytes
}

// Serve serves as server.Serve does, but passes on only requests whose end is unambiguous. Any other request is answered with an
// error of package apierror, after all requests before it, and ends the connection. Serve sets the server's Handler and
// ConnContext.
func Serve(server *http.Server, listener net.Listener, options Options) error {
	server.Handler = &rejectingHandler{next: server.Handler, reject: options.Reject}
	server.ConnContext = chainConnContext(server.ConnContext)
	return server.Serve(&checkedListener{Listener: listener, options: options})
}

// checkedListener accepts connections as serverConn.
type checkedListener struct {
	net.Listener
	options Options
}

// Accept implements net.Listener.
func (l *checkedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: accepted, options: l.options}, nil
}

type connectionKey struct{}

// chainConnContext returns a hook that makes the connection available in contexts, after the given hook, which may be nil. That
// one gets the connection below.
func chainConnContext(hook func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, connection net.Conn) context.Context {
		ctx = context.WithValue(ctx, connectionKey{}, connection)
		if hook == nil {
			return ctx
		}
		return hook(ctx, Unwrap(connection))
	}
}

// Unwrap returns the connection below a connection that Serve has accepted, or any other connection itself.
func Unwrap(connection net.Conn) net.Conn {
	if checked, known := connection.(*serverConn); known {
		return checked.Conn
	}
	return connection
}

// rejectingHandler answers the substitutes of rejected requests and passes on all others.
type rejectingHandler struct {
	next   http.Handler
	reject func(http.ResponseWriter, error)
}

// ServeHTTP implements http.Handler.
func (h *rejectingHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method != substituteMethod {
		h.next.ServeHTTP(writer, request)
		return
	}
	err := malformed("method")
	if connection, known := request.Context().Value(connectionKey{}).(*serverConn); known {
		if rejection := connection.rejection.Load(); rejection != nil {
			err = rejection
		}
	}
	if h.reject == nil {
		apierror.Write(writer, err)
		return
	}
	h.reject(writer, err)
}

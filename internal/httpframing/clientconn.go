package httpframing

import (
	"bytes"
	"context"
	"math"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// maxResponseHead is the largest size of a response header, in bytes.
const maxResponseHead = 256 << 10

var (
	// ErrUnsolicitedBytes is returned for bytes that came while no request was waiting for a response.
	ErrUnsolicitedBytes = errors.New("bytes received that belong to no response")
	// ErrAmbiguousResponse is the cause of errors of responses that break the syntax of HTTP/1.1 or can be read in two ways.
	ErrAmbiguousResponse = errors.New("response malformed or ambiguous")
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// CheckResponses wraps the connections of dial for an http.Transport. At the first byte that does not belong to an unambiguous
// response, reads and writes fail from then on, so that the transport never uses the connection again.
func CheckResponses(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &clientConn{Conn: connection, head: headParser{response: true}}, nil
	}
}

// responsePart is the part of a response that comes next on a connection.
type responsePart int

const (
	// noResponse means that no request waits for one.
	noResponse responsePart = iota
	responseHead
	responseBody
)

// clientConn is a connection as an http.Transport uses it: without pipelining, a request is written after the response to the
// previous one has been read.
type clientConn struct {
	net.Conn

	// lock guards the fields below: the transport reads and writes on different goroutines.
	lock sync.Mutex
	part responsePart
	// toHEAD is set if the present request is a HEAD request, whose response has no body.
	toHEAD bool
	head   headParser
	// line holds the incomplete line of the header that was received last, headSize the size of the header so far.
	line     []byte
	headSize int
	body     bodyScanner
	failure  error
}

// SetLinger sets the behavior of Close as net.TCPConn does; other connections ignore it.
func (c *clientConn) SetLinger(seconds int) error {
	if tcp, known := c.Conn.(interface{ SetLinger(seconds int) error }); known {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Write implements net.Conn. The first bytes that are written while no response is due begin a request.
func (c *clientConn) Write(content []byte) (int, error) {
	if err := c.startRequest(content); err != nil {
		return 0, err
	}
	return c.Conn.Write(content)
}

func (c *clientConn) startRequest(content []byte) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.failure != nil {
		return c.failure
	}
	isHEAD := bytes.HasPrefix(content, []byte("HEAD "))
	switch c.part {
	case noResponse:
		c.part, c.toHEAD = responseHead, isHEAD
	case responseHead:
		c.toHEAD = c.toHEAD || isHEAD && c.headSize == 0
	}
	return nil
}

// Read implements net.Conn. It returns the bytes before the first wrong one, then an error.
func (c *clientConn) Read(target []byte) (int, error) {
	if err := c.failed(); err != nil {
		return 0, err
	}
	count, err := c.Conn.Read(target)
	if count == 0 {
		return count, err
	}
	valid, malformedResponse := c.scan(target[:count])
	if malformedResponse == nil {
		return count, err
	}
	if valid > 0 {
		return valid, nil
	}
	return 0, malformedResponse
}

func (c *clientConn) failed() error {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.failure
}

// scan checks received bytes and returns how many of them belong to an unambiguous response.
func (c *clientConn) scan(content []byte) (valid int, err error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for valid < len(content) && err == nil {
		var count int
		count, err = c.scanPart(content[valid:])
		valid += count
	}
	c.failure = err
	return valid, err
}

func (c *clientConn) scanPart(content []byte) (int, error) {
	switch c.part {
	case responseHead:
		return c.scanHeadLine(content)
	case responseBody:
		count, err := c.body.scan(content)
		if err != nil {
			return count, errors.WithMessage(ErrAmbiguousResponse, err.Error())
		}
		if c.body.complete() {
			c.part = noResponse
		}
		return count, nil
	default:
		return 0, ErrUnsolicitedBytes
	}
}

// scanHeadLine scans up to the end of a line of the header.
func (c *clientConn) scanHeadLine(content []byte) (int, error) {
	end := bytes.IndexByte(content, '\n')
	length := end + 1
	if end < 0 {
		length = len(content)
	}
	c.headSize += length
	if c.headSize > maxResponseHead {
		return 0, errors.WithMessage(ErrAmbiguousResponse, "header too large")
	}
	c.line = append(c.line, content[:length]...)
	if end < 0 {
		return length, nil
	}
	line, err := cutLineBreak(c.line)
	var complete bool
	if err == nil {
		complete, err = c.head.parseLine(line)
	}
	c.line = c.line[:0]
	if err == nil && complete {
		err = c.finishHead()
	}
	if err != nil {
		return end, errors.WithMessage(ErrAmbiguousResponse, err.Error())
	}
	return length, nil
}

// finishHead begins the body of a final response, or the next header after an interim one.
func (c *clientConn) finishHead() error {
	const switchingProtocols, firstFinal = 101, 200
	finished := c.head
	c.head, c.headSize, c.line = headParser{response: true}, 0, nil
	switch {
	case finished.status == switchingProtocols:
		return malformed("switching protocols was not requested")
	case finished.status < firstFinal:
		return nil
	}
	c.body, c.part = finished.responseBody(c.toHEAD), responseBody
	if c.body.complete() {
		c.part = noResponse
	}
	return nil
}

// responseBody returns the framing of the body of a final response with this header. toHEAD is set if it answers a HEAD request.
func (h *headParser) responseBody(toHEAD bool) bodyScanner {
	const noContent, notModified = 204, 304
	switch {
	case toHEAD, h.status == noContent, h.status == notModified:
		return bodyScanner{}
	case h.chunked:
		return bodyScanner{chunked: true}
	case h.hasLength:
		return bodyScanner{remaining: h.contentLength}
	default:
		return bodyScanner{remaining: math.MaxInt64}
	}
}

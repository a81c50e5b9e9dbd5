package httpframing

import (
	"bytes"
	"net"
	"sync/atomic"
	"time"

	"ferryspar/internal/apierror"
)

const (
	// substituteMethod is the method of the request that a server reads in place of a rejected one.
	substituteMethod = "REJECTED"
	// substituteHeader takes the place of a rejected header. The stated body is whatever follows on the connection: the server
	// reads no further request from it, and closes it once it has answered.
	substituteHeader = substituteMethod + " / HTTP/1.1\r\nHost: -\r\nContent-Length: 4611686018427387904\r\nConnection: close\r\n\r\n"
	// headGrowth is by how much the buffer of an incomplete header grows at least, in bytes.
	headGrowth = 512
	// uncountedEnd may follow the last field of a header that is not complete yet; it does not count toward the limit.
	uncountedEnd = "\r\n\r"
	// maxEmptyLines is how many empty lines may precede a request.
	maxEmptyLines = 8
)

var errHeadTooLarge = apierror.New(apierror.HeaderTooLarge, "")

// serverConn is a client's connection as a server reads it. Read returns a request header only once it is complete and
// unambiguous, and never bytes of two requests at once. Reads come from one goroutine at a time, as those of http.Server do;
// the other methods may be called at any time.
type serverConn struct {
	net.Conn
	options Options

	// input holds bytes that were received and not returned yet; the first ready of them may be returned.
	input []byte
	ready int
	// head parses the header at the start of input, of which the lines before lineStart were parsed.
	head       headParser
	lineStart  int
	emptyLines int
	// body is the part of the present request that was not received yet.
	body bodyScanner

	// rejection is why the last header was rejected, nil if none was. It is set before the substitute is returned.
	rejection atomic.Pointer[apierror.Error]
	// failure is returned once input is used up: the connection has ended, or a body breaks the syntax of chunks.
	failure error
	// waiting is set while the server waits for a request with a deadline.
	waiting atomic.Bool
}

// CloseWrite shuts down the writing side. The server looks for this method.
func (c *serverConn) CloseWrite() error {
	if half, known := c.Conn.(interface{ CloseWrite() error }); known {
		return half.CloseWrite()
	}
	return nil
}

// SetReadDeadline also records whether the server waits for a request, if the time of its header is limited here.
func (c *serverConn) SetReadDeadline(deadline time.Time) error {
	if c.options.HeadTimeout > 0 {
		c.waiting.Store(deadline.After(time.Now()))
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read implements net.Conn.
func (c *serverConn) Read(target []byte) (int, error) {
	for {
		switch {
		case c.ready > 0:
			return c.take(target), nil
		case c.failure != nil:
			return 0, c.failure
		case c.rejection.Load() != nil:
			return c.Conn.Read(target)
		}
		if len(c.input) == 0 && !c.body.complete() {
			return c.readBody(target)
		}
		if err := c.receive(target); err != nil {
			return 0, err
		}
	}
}

// take returns bytes that are ready.
func (c *serverConn) take(target []byte) int {
	count := copy(target, c.input[:c.ready])
	c.ready -= count
	c.input = c.input[count:]
	if len(c.input) == 0 {
		c.input = nil
	} else if c.ready == 0 {
		c.check()
	}
	return count
}

// readBody reads bytes of a body without a buffer of its own. Bytes of the next request are kept.
func (c *serverConn) readBody(target []byte) (int, error) {
	count, err := c.Conn.Read(target)
	valid, malformedBody := c.body.scan(target[:count])
	if malformedBody != nil {
		c.failure = malformedBody
		if valid == 0 {
			err = malformedBody
		}
		return valid, err
	}
	if valid < count {
		c.input = bytes.Clone(target[valid:count])
		c.check()
	}
	return valid, err
}

// receive adds bytes to the input and checks them. target serves as a buffer, so that an idle connection holds none of its own.
func (c *serverConn) receive(target []byte) error {
	isFirst := len(c.input) == 0
	var count int
	var err error
	if isFirst || len(target) >= headGrowth {
		count, err = c.Conn.Read(target)
		c.input = append(c.input, target[:count]...)
	} else {
		c.input = append(c.input, make([]byte, headGrowth)...)
		free := c.input[len(c.input)-headGrowth:]
		count, err = c.Conn.Read(free)
		c.input = c.input[:len(c.input)-headGrowth+count]
	}
	if count > 0 && isFirst {
		c.startHeadTimeout()
	}
	c.check()
	if err == nil || c.ready > 0 {
		return nil
	}
	if isTimeout(err) {
		return err
	}
	// The server finds out by itself that the header is incomplete.
	c.failure, c.ready = err, len(c.input)
	return nil
}

// startHeadTimeout limits the time for the rest of a header, unless the server has a request in progress.
func (c *serverConn) startHeadTimeout() {
	if c.waiting.Load() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.options.HeadTimeout))
	}
}

// check parses the input and sets ready: to the bytes of the present body, or to the whole next header once it is complete.
func (c *serverConn) check() {
	if !c.body.complete() {
		valid, err := c.body.scan(c.input)
		c.ready, c.failure = valid, err
		if valid > 0 || err != nil {
			return
		}
	}
	if err := c.checkHead(); err != nil {
		c.reject(err)
	}
}

// checkHead parses the lines of the header that have not been parsed yet. Empty lines before it are dropped (RFC 9112, 2.2).
func (c *serverConn) checkHead() error {
	for {
		end := bytes.IndexByte(c.input[c.lineStart:], '\n')
		if end < 0 {
			if c.exceedsLimit(len(c.input) - len(uncountedEnd)) {
				return errHeadTooLarge
			}
			return nil
		}
		next := c.lineStart + end + 1
		line, err := cutLineBreak(c.input[c.lineStart:next])
		if err != nil {
			return err
		}
		if len(line) == 0 && !c.head.started && c.emptyLines < maxEmptyLines {
			c.input = c.input[next:]
			c.emptyLines++
			continue
		}
		if len(line) > 0 && c.exceedsLimit(c.lineStart+len(line)) {
			return errHeadTooLarge
		}
		complete, err := c.head.parseLine(line)
		if err != nil {
			return err
		}
		c.lineStart = next
		if complete {
			c.finishHead(next)
			return nil
		}
	}
}

// finishHead makes a complete header of that size ready, with as much of the body as was received.
func (c *serverConn) finishHead(size int) {
	c.body = c.head.requestBody()
	c.head, c.lineStart, c.emptyLines = headParser{}, 0, 0
	valid, err := c.body.scan(c.input[size:])
	c.ready, c.failure = size+valid, err
}

func (c *serverConn) exceedsLimit(size int) bool { return size > c.options.maxHeadBytes() }

// reject replaces the header at the start of the input, and all that follows.
func (c *serverConn) reject(err error) {
	c.rejection.Store(apierror.From(err))
	c.input = []byte(substituteHeader)
	c.ready = len(c.input)
}

// isTimeout reports whether a read has reached its deadline. Connections return such errors unwrapped, as the server expects them.
func isTimeout(err error) bool {
	timeout, known := err.(net.Error)
	return known && timeout.Timeout()
}

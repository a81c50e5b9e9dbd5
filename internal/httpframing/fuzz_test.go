package httpframing

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"ferryspar/internal/test/httpforms"
)

// bytesConn is a connection that returns the given parts, each with one Read, then io.EOF.
type bytesConn struct {
	net.Conn
	parts [][]byte
}

func (c *bytesConn) Read(target []byte) (int, error) {
	for len(c.parts) > 0 && len(c.parts[0]) == 0 {
		c.parts = c.parts[1:]
	}
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	count := copy(target, c.parts[0])
	c.parts[0] = c.parts[0][count:]
	return count, nil
}

func (*bytesConn) Write(content []byte) (int, error) { return len(content), nil }

func (*bytesConn) SetReadDeadline(time.Time) error { return nil }

// parts divides bytes in two.
func parts(raw []byte, split uint16) [][]byte {
	first := min(int(split), len(raw))
	return [][]byte{raw[:first], raw[first:]}
}

// recordingReader keeps the bytes that were read.
type recordingReader struct {
	io.Reader
	read []byte
}

func (r *recordingReader) Read(target []byte) (int, error) {
	count, err := r.Reader.Read(target)
	r.read = append(r.read, target[:count]...)
	return count, err
}

// framingOf parses the header at the start of the bytes.
func framingOf(t *testing.T, raw []byte) headParser {
	var head headParser
	for line := range bytes.Lines(raw) {
		complete, err := head.parseLine(bytes.TrimSuffix(line, []byte("\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		if complete {
			return head
		}
	}
	t.Fatalf("incomplete header %q", raw)
	return head
}

// checkedRequests returns the requests that net/http finds in the checked bytes. It demands that both agree on their framing.
func checkedRequests(t *testing.T, raw []byte, split uint16) (requests []string) {
	recorded := &recordingReader{Reader: &serverConn{Conn: &bytesConn{parts: parts(raw, split)}}}
	reader := bufio.NewReader(recorded)
	for {
		recorded.read = nil
		request, err := http.ReadRequest(reader)
		if err != nil {
			return requests
		}
		if request.Method == substituteMethod {
			return append(requests, substituteMethod)
		}
		head := framingOf(t, recorded.read)
		isChunked := len(request.TransferEncoding) > 0
		if isChunked != head.chunked || !isChunked && request.ContentLength != head.contentLength {
			t.Fatalf("net/http reads %d bytes, chunks %v, of %q", request.ContentLength, isChunked, recorded.read)
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return append(requests, "incomplete")
		}
		if reader.Buffered() > 0 {
			t.Fatalf("%d bytes stand behind %q", reader.Buffered(), recorded.read)
		}
		requests = append(requests, request.Method+" "+request.RequestURI+" "+string(body))
	}
}

// FuzzServerConn compares the ends of messages with those that net/http finds in the checked bytes, and demands the same requests
// however the bytes arrive.
func FuzzServerConn(f *testing.F) {
	for _, form := range httpforms.Requests() {
		f.Add([]byte(form.Raw(message("a"), plainMessage("b"))), uint16(40))
	}
	f.Fuzz(func(t *testing.T, raw []byte, split uint16) {
		whole, divided := checkedRequests(t, raw, 0), checkedRequests(t, raw, split)
		if !slices.Equal(whole, divided) {
			t.Fatalf("%q at once, %q in parts", whole, divided)
		}
	})
}

// checkedResponse returns the bytes that a client reads before an error, and whether a response was complete at their end.
func checkedResponse(connection *clientConn) (content []byte, complete bool) {
	_, _ = connection.Write([]byte("POST / HTTP/1.1\r\n"))
	content, err := io.ReadAll(connection)
	return content, connection.part == noResponse && err == nil
}

// FuzzClientConn demands the same bytes however they arrive, and that net/http finds a complete response where the check has.
func FuzzClientConn(f *testing.F) {
	for _, form := range append(httpforms.AmbiguousResponses(), httpforms.CompleteResponses()...) {
		f.Add([]byte(form.Raw+httpforms.Stray), uint16(20))
		f.Add([]byte(form.Raw), uint16(20))
	}
	f.Fuzz(func(t *testing.T, raw []byte, split uint16) {
		newConn := func(split uint16) *clientConn {
			return &clientConn{Conn: &bytesConn{parts: parts(raw, split)}, head: headParser{response: true}}
		}
		whole, complete := checkedResponse(newConn(0))
		divided, _ := checkedResponse(newConn(split))
		if !bytes.Equal(whole, divided) {
			t.Fatalf("%q at once, %q in parts", whole, divided)
		}
		if !complete {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(whole))
		response, err := http.ReadResponse(reader, nil)
		for err == nil && response.StatusCode < http.StatusOK {
			response, err = http.ReadResponse(reader, nil)
		}
		if err != nil {
			return // net/http is stricter in places, and fails as well.
		}
		if _, err := io.Copy(io.Discard, response.Body); err == nil && reader.Buffered() > 0 {
			t.Fatalf("%d bytes stand behind the response that net/http reads of %q", reader.Buffered(), whole)
		}
	})
}

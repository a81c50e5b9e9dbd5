package httpframing

import (
	"bytes"
	"strconv"
	"strings"

	"ferryspar/internal/apierror"
)

const (
	versionPrefix = "HTTP/1."
	// versionLength is the length of a version, such as HTTP/1.1, and statusLength that of a status code.
	versionLength = len(versionPrefix) + 1
	statusLength  = 3
	chunkedCoding = "chunked"
)

// headParser parses the lines of a message header as far as they decide where the message ends. The zero value parses a request
// header.
type headParser struct {
	// response is set for the header of a response.
	response bool

	// started is set once the start line was parsed. minorVersion and status (of a response) are read from it.
	started      bool
	minorVersion byte
	status       int

	// contentLength is set if hasLength is; chunked is set if Transfer-Encoding states chunks.
	hasLength     bool
	contentLength int64
	chunked       bool
	hosts         int
	// authority is the host of a target in absolute form, empty for other targets.
	authority string
}

// parseLine parses the next line, without its line break, and reports whether it ends the header.
func (h *headParser) parseLine(line []byte) (complete bool, err error) {
	if h.started && len(line) == 0 {
		return true, h.checkFraming()
	}
	if h.started {
		return false, h.parseField(line)
	}
	h.started = true
	if h.response {
		return false, h.parseStatusLine(line)
	}
	return false, h.parseRequestLine(line)
}

// parseRequestLine accepts a method, a target and a version with exactly one space between them: other separators are read
// differently by different servers.
func (h *headParser) parseRequestLine(line []byte) error {
	method, rest, found := bytes.Cut(line, []byte(" "))
	target, version, foundVersion := bytes.Cut(rest, []byte(" "))
	if !found || !foundVersion || !isToken(method) || !isTarget(target) {
		return malformed("request line")
	}
	h.authority = authorityOf(target)
	return h.parseVersion(version)
}

func (h *headParser) parseStatusLine(line []byte) error {
	version, rest, found := bytes.Cut(line, []byte(" "))
	if !found || len(rest) < statusLength || len(rest) > statusLength && rest[statusLength] != ' ' || !isFieldValue(rest) {
		return malformed("status line")
	}
	status, err := strconv.ParseUint(string(rest[:statusLength]), 10, 16)
	if err != nil || status < 100 {
		return malformed("status code")
	}
	h.status = int(status)
	return h.parseVersion(version)
}

func (h *headParser) parseVersion(version []byte) error {
	if len(version) != versionLength || string(version[:len(versionPrefix)]) != versionPrefix {
		return malformed("HTTP version")
	}
	minor := version[len(versionPrefix)]
	if minor < '0' || minor > '9' {
		return malformed("HTTP version")
	}
	h.minorVersion = minor - '0'
	return nil
}

// parseField parses a field line. A line that begins with a space would continue the previous one for some readers and begin a
// field for others.
func (h *headParser) parseField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return malformed("field name")
	}
	value = bytes.Trim(value, " \t")
	if !isFieldValue(value) {
		return malformed("field value")
	}
	switch len(name) {
	case len("Host"):
		if strings.EqualFold(string(name), "Host") {
			return h.parseHost(value)
		}
	case len("Content-Length"):
		if strings.EqualFold(string(name), "Content-Length") {
			return h.parseContentLength(value)
		}
	case len("Transfer-Encoding"):
		if strings.EqualFold(string(name), "Transfer-Encoding") {
			return h.parseTransferEncoding(value)
		}
	}
	return nil
}

// parseHost accepts only the host of the target beside a target in absolute form (RFC 9112, 3.2): some readers route by the one, some
// by the other.
func (h *headParser) parseHost(value []byte) error {
	h.hosts++
	if h.authority != "" && !strings.EqualFold(h.authority, string(value)) {
		return malformed("Host differs from the host of the target")
	}
	return nil
}

// parseContentLength accepts a further Content-Length only if it states the same length.
func (h *headParser) parseContentLength(value []byte) error {
	length, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil || !isDigits(value) {
		return malformed("Content-Length")
	}
	if h.hasLength && h.contentLength != int64(length) {
		return malformed("two values of Content-Length")
	}
	h.hasLength, h.contentLength = true, int64(length)
	return nil
}

func (h *headParser) parseTransferEncoding(value []byte) error {
	if h.chunked {
		return malformed("two transfer codings")
	}
	if !strings.EqualFold(string(value), chunkedCoding) {
		return apierror.New(apierror.UnsupportedCoding, "")
	}
	h.chunked = true
	return nil
}

// checkFraming checks the fields against each other (RFC 9112, 3.2, 6.1 and 6.3).
func (h *headParser) checkFraming() error {
	switch {
	case h.chunked && h.hasLength:
		return malformed("both Content-Length and Transfer-Encoding")
	case h.chunked && h.minorVersion == 0:
		return malformed("Transfer-Encoding in HTTP/1.0")
	case h.response:
		return nil
	case h.hosts > 1, h.hosts == 0 && h.minorVersion > 0:
		return malformed("exactly one Host is required")
	}
	return nil
}

// requestBody returns the framing of the body of a request with this header.
func (h *headParser) requestBody() bodyScanner {
	if h.chunked {
		return bodyScanner{chunked: true}
	}
	return bodyScanner{remaining: h.contentLength}
}

// malformed returns the error of a message that breaks the syntax of HTTP/1.1 or can be read in two ways.
func malformed(detail string) error { return apierror.New(apierror.MalformedRequest, "%s", detail) }

// cutLineBreak returns a line without its line break, which must be CR and LF: a lone LF ends a line for some readers only.
func cutLineBreak(line []byte) ([]byte, error) {
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return nil, malformed("line break without CR")
	}
	return line[:len(line)-2], nil
}

// tokenPunctuation holds the characters of a token besides letters and digits (RFC 9110, 5.6.2).
const tokenPunctuation = "!#$%&'*+-.^_`|~"

// isTokenByte and isValueByte tell which bytes may stand in a token and in a field value, where control characters other than tabs
// may not, a lone CR included.
var isTokenByte, isValueByte = tokenBytes(), valueBytes()

func tokenBytes() (allowed [256]bool) {
	for letter := range allowed {
		isLetter := letter >= 'a' && letter <= 'z' || letter >= 'A' && letter <= 'Z'
		isDigit := letter >= '0' && letter <= '9'
		allowed[letter] = isLetter || isDigit || letter < 0x80 && strings.ContainsRune(tokenPunctuation, rune(letter))
	}
	return allowed
}

func valueBytes() (allowed [256]bool) {
	for letter := range allowed {
		allowed[letter] = letter >= ' ' && letter != 0x7f || letter == '\t'
	}
	return allowed
}

func isToken(content []byte) bool { return len(content) > 0 && consistsOf(content, &isTokenByte) }

func isFieldValue(content []byte) bool { return consistsOf(content, &isValueByte) }

func consistsOf(content []byte, allowed *[256]bool) bool {
	for _, letter := range content {
		if !allowed[letter] {
			return false
		}
	}
	return true
}

func isTarget(content []byte) bool {
	for _, letter := range content {
		if letter <= ' ' || letter == 0x7f {
			return false
		}
	}
	return len(content) > 0
}

// authorityOf returns the host, with its port if it has one, of a target in absolute form, or nothing of any other target.
func authorityOf(target []byte) string {
	scheme, rest, found := bytes.Cut(target, []byte("://"))
	if !found || !isToken(scheme) {
		return ""
	}
	if end := bytes.IndexAny(rest, "/?"); end >= 0 {
		rest = rest[:end]
	}
	return string(rest)
}

func isDigits(content []byte) bool {
	for _, letter := range content {
		if letter < '0' || letter > '9' {
			return false
		}
	}
	return len(content) > 0
}

package httpframing

import (
	"bytes"
	"math"
	"strconv"
)

const (
	// maxChunkLine is the longest line with a chunk's size and extensions, and maxTrailer the longest trailer section, in bytes.
	maxChunkLine = 4 << 10
	maxTrailer   = 4 << 10
	// maxChunkDigits is the largest number of hexadecimal digits of a chunk's size.
	maxChunkDigits = 16
)

// chunkPart is the part of a chunked body that comes next.
type chunkPart int

const (
	chunkSizeLine chunkPart = iota
	chunkData
	chunkDataEnd
	trailerLine
)

// bodyScanner finds the end of a message body. The zero value stands for an empty body.
type bodyScanner struct {
	chunked bool
	// remaining is the number of bytes left of the body, or of the present chunk; math.MaxInt64 stands for a body that ends with
	// the connection.
	remaining int64

	part chunkPart
	// line holds the incomplete line that was scanned last, trailer the number of bytes of the trailer section so far.
	line    []byte
	trailer int
	ended   bool
}

// complete reports whether the whole body was scanned.
func (b *bodyScanner) complete() bool {
	if b.chunked {
		return b.ended
	}
	return b.remaining == 0
}

// endsWithConnection reports whether only the end of the connection ends the body.
func (b *bodyScanner) endsWithConnection() bool { return !b.chunked && b.remaining == math.MaxInt64 }

// scan scans the next bytes of the connection and returns how many of them belong to the body. If the body breaks the syntax of
// chunks, valid counts the bytes before the end of the first wrong line.
func (b *bodyScanner) scan(content []byte) (valid int, err error) {
	for valid < len(content) && !b.complete() {
		count, err := b.scanPart(content[valid:])
		valid += count
		if err != nil {
			return valid, err
		}
	}
	return valid, nil
}

// scanPart scans up to the end of the present part.
func (b *bodyScanner) scanPart(content []byte) (int, error) {
	if b.endsWithConnection() {
		return len(content), nil
	}
	if !b.chunked || b.part == chunkData {
		return b.skip(content), nil
	}
	end := bytes.IndexByte(content, '\n')
	if end < 0 {
		b.line = append(b.line, content...)
		if len(b.line) > max(maxChunkLine, maxTrailer) {
			return 0, malformed("line of a chunked body too long")
		}
		return len(content), nil
	}
	b.line = append(b.line, content[:end+1]...)
	line, err := cutLineBreak(b.line)
	if err == nil {
		err = b.parseLine(line)
	}
	b.line = b.line[:0]
	if err != nil {
		return end, err
	}
	return end + 1, nil
}

// skip passes over bytes of the body or of a chunk.
func (b *bodyScanner) skip(content []byte) int {
	count := min(int64(len(content)), b.remaining)
	b.remaining -= count
	if b.chunked && b.remaining == 0 {
		b.part = chunkDataEnd
	}
	return int(count)
}

// parseLine parses a line of a chunked body.
func (b *bodyScanner) parseLine(line []byte) error {
	switch b.part {
	case chunkSizeLine:
		return b.parseChunkSize(line)
	case trailerLine:
		return b.parseTrailer(line)
	default:
		if len(line) > 0 {
			return malformed("chunk longer than its size")
		}
		b.part = chunkSizeLine
		return nil
	}
}

// parseChunkSize parses a chunk's size and passes over its extensions.
func (b *bodyScanner) parseChunkSize(line []byte) error {
	digits, extensions, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	if len(line) > maxChunkLine || len(digits) == 0 || len(digits) > maxChunkDigits || !isFieldValue(extensions) || !isHex(digits) {
		return malformed("chunk size")
	}
	size, err := strconv.ParseUint(string(digits), 16, 63)
	if err != nil {
		return malformed("chunk size")
	}
	b.remaining, b.part = int64(size), chunkData
	if size == 0 {
		b.part = trailerLine
	}
	return nil
}

// parseTrailer parses a line of the trailer section, which must not state framing or routing (RFC 9110, 6.5.1).
func (b *bodyScanner) parseTrailer(line []byte) error {
	if len(line) == 0 {
		b.ended = true
		return nil
	}
	b.trailer += len(line)
	if b.trailer > maxTrailer {
		return malformed("trailer section too long")
	}
	var field headParser
	if err := field.parseField(line); err != nil {
		return err
	}
	if field.hasLength || field.chunked || field.hosts > 0 {
		return malformed("framing field in the trailer section")
	}
	return nil
}

func isHex(content []byte) bool {
	for _, letter := range content {
		if !(letter >= '0' && letter <= '9' || letter >= 'a' && letter <= 'f' || letter >= 'A' && letter <= 'F') {
			return false
		}
	}
	return true
}

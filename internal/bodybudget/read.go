package bodybudget

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

// firstBuffer is the size of a body's first buffer, in bytes, which doubles as the body grows.
const firstBuffer = 4 << 10

// ErrTooLarge is returned for a body that exceeds its own limit.
var ErrTooLarge = errors.New("body too large")

// Options describe a body that is to be read.
type Options struct {
	// StatedLength is the length that the message states, in bytes, or -1 if it states none.
	StatedLength int64
	// Limit is the largest body, in bytes.
	Limit int64
	// Deadline is when the body must be complete.
	Deadline time.Time
	// Connection is the one that the body is read from.
	Connection Connection
}

// Connection sets the deadline of the reads of a connection, or none for the zero time. A deadline in the past makes a read in progress
// fail. It must not block.
type Connection interface {
	SetReadDeadline(deadline time.Time) error
}

// interrupt makes the reads of a connection fail.
func interrupt(connection Connection) { _ = connection.SetReadDeadline(time.Unix(1, 0)) }

// Read reads a body to its end. The bytes count toward the budget until release is called, which must be done once if err is nil. The
// error is ErrExhausted, ErrTooLarge or that of the source. After an error the connection can't be read any more, so that the server
// does not wait for the rest of the body before it sends the response.
func (b *Budget) Read(source io.Reader, options Options) (content []byte, release func(), err error) {
	_ = options.Connection.SetReadDeadline(options.Deadline)
	content, release, err = b.read(source, options)
	if err != nil {
		interrupt(options.Connection)
		return nil, nil, err
	}
	_ = options.Connection.SetReadDeadline(time.Time{})
	return content, release, nil
}

func (b *Budget) read(source io.Reader, options Options) (content []byte, release func(), err error) {
	if options.StatedLength > options.Limit {
		return nil, nil, ErrTooLarge
	}
	reader := b.open(time.Now(), func() { interrupt(options.Connection) })
	content, err = reader.readAll(source, options)
	release, rejection := reader.close(err == nil)
	if rejection != nil {
		return nil, nil, rejection
	}
	return content, release, err
}

// readAll reads a body into a buffer that grows as bytes arrive, whatever length was stated.
func (r *reading) readAll(source io.Reader, options Options) ([]byte, error) {
	largest := options.Limit + 1
	if options.StatedLength >= 0 {
		largest = options.StatedLength + 1
	}
	var content []byte
	for {
		if len(content) == cap(content) {
			size := min(max(2*int64(cap(content)), firstBuffer), largest)
			if err := r.reserve(size-int64(cap(content)), time.Now()); err != nil {
				return nil, err
			}
			content = append(make([]byte, 0, size), content...)
		}
		count, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		switch {
		case int64(len(content)) > options.Limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			return content, nil
		case err != nil:
			return nil, err
		}
	}
}

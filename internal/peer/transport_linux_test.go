package peer

import (
	"context"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// The kernel accepts connections and data for a suspended process, and delivers the data before it reports a reset. An
// abandoned call can therefore still be executed much later.
func TestResetOnClose_ReceiverStillReadsBufferedBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dial := ResetOnClose(func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	sent, err := dial(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	_, err = sent.Write([]byte("order"))
	assert.NilError(t, err)
	assert.NilError(t, sent.Close())
	late, err := listener.Accept()
	assert.NilError(t, err)
	defer late.Close()
	read, err := io.ReadAll(late)
	assert.Equal(t, string(read), "order")
	assert.ErrorContains(t, err, "reset")
}

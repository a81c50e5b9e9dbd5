package apierror

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestWrite_RemovesReplicaSeal(t *testing.T) {
	writer := httptest.NewRecorder()
	writer.Header().Set("Ferryspar-Server-Seal", "seal-1")
	Write(writer, NewRetryable(Overloaded, 1500*time.Millisecond))
	assert.Equal(t, writer.Code, http.StatusServiceUnavailable)
	assert.Equal(t, writer.Header().Get("Ferryspar-Server-Seal"), "")
	assert.Equal(t, writer.Header().Get("Retry-After"), "1.500")
}

func TestKind_HasStatusAndReason(t *testing.T) {
	for kind := Internal; kind < kindCount; kind++ {
		assert.Assert(t, kind.Status() >= http.StatusBadRequest, "kind %d", kind)
		assert.Assert(t, kind.Reason() != "", "kind %d", kind)
	}
}

func TestFrom_UnwrapsOrReturnsInternal(t *testing.T) {
	assert.Equal(t, From(errors.Wrap(New(BodyTooLarge, ""), "around")).Kind, BodyTooLarge)
	assert.Equal(t, From(errors.New("other")).Kind, Internal)
}

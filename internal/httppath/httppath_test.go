package httppath

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-chi/chi/v5"
	"gotest.tools/v3/assert"
)

func TestParameter_IsUnescapedOnce(t *testing.T) {
	for path, expected := range map[string]string{
		"/zones/north":         "north",
		"/zones/a%2Fb":         "a/b",
		"/zones/a%20b":         "a b",
		"/zones/a%2520b":       "a%20b",
		"/zones/a%2Fb%2520c":   "a/b%20c",
		"/zones/n%C3%B6rd%2F1": "nörd/1",
	} {
		router := chi.NewRouter()
		seen := ""
		router.Get("/zones/{zone}", func(_ http.ResponseWriter, request *http.Request) {
			var err error
			seen, err = Parameter(request, "zone")
			assert.Check(t, err)
		})
		router.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
		assert.Equal(t, seen, expected, path)
	}
}

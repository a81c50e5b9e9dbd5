// Package httppath reads parameters from request paths.
package httppath

import (
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/apierror"
)

// Parameter returns the unescaped value of a path parameter, by its name in the route. chi leaves the value escaped if the path
// was sent in a non-default encoding, as for a name with a slash. The error is of package apierror.
func Parameter(request *http.Request, name string) (string, error) {
	value := chi.URLParam(request, name)
	if request.URL.RawPath == "" {
		return value, nil
	}
	unescaped, err := url.PathUnescape(value)
	if err != nil {
		return "", apierror.New(apierror.MalformedRequest, "path: %s", err.Error())
	}
	return unescaped, nil
}

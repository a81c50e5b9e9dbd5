// Package httppath reads the names that stand in the paths of calls.
package httppath

import (
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/apierror"
)

// Parameter is a part of the path by its name in the route, unescaped. chi leaves it as it was sent where the path has an encoding
// of its own, as that of a name with a slash. The error is of package apierror.
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

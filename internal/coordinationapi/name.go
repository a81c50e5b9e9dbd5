package coordinationapi

import (
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/apierror"
)

// pathName is the name at the end of the path, unescaped: chi leaves it as it was sent where the path has an encoding of its own.
func pathName(request *http.Request) (string, error) {
	name := chi.URLParam(request, "name")
	if request.URL.RawPath == "" {
		return name, nil
	}
	unescaped, err := url.PathUnescape(name)
	if err != nil {
		return "", apierror.New(apierror.MalformedRequest, "name: %s", err.Error())
	}
	return unescaped, nil
}

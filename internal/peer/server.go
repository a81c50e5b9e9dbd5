package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"ferryspar/internal/apierror"
)

// Handler returns the HTTP handler of a call. It decodes the request, passes it to handle and encodes the reply. A request
// that does not decode as JSON of type Request is rejected with apierror.MalformedRequest.
func Handler[Request, Reply any](handle func(ctx context.Context, request Request) Reply) http.HandlerFunc {
	return func(writer http.ResponseWriter, httpRequest *http.Request) {
		var request Request
		if err := json.NewDecoder(httpRequest.Body).Decode(&request); err != nil {
			apierror.Write(writer, apierror.New(apierror.MalformedRequest, "%s", err.Error()))
			return
		}
		content, err := json.Marshal(handle(httpRequest.Context(), request))
		if err != nil {
			apierror.Write(writer, err)
			return
		}
		writer.Header()["Date"] = nil // omits the header
		writer.Header().Set("Content-Type", contentType)
		writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = writer.Write(content)
	}
}

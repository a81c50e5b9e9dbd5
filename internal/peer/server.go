package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"ferryspar/internal/apierror"
)

// Handler returns the HTTP handler of a call that decodes its request, passes it to handle and sends what that returns.
// A request that is no JSON document of the type is answered as malformed and doesn't reach handle.
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
		writer.Header()["Date"] = nil // leaves the header out
		writer.Header().Set("Content-Type", contentType)
		writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = writer.Write(content)
	}
}

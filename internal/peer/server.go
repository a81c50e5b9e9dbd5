package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"ferryspar/internal/apierror"
)

// Handler makes the handler of a call between own daemons from what answers its question.
func Handler[Question, Reply any](handle func(ctx context.Context, question Question) Reply) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var question Question
		if err := json.NewDecoder(request.Body).Decode(&question); err != nil {
			apierror.Write(writer, apierror.New(apierror.MalformedRequest, "%s", err.Error()))
			return
		}
		content, err := json.Marshal(handle(request.Context(), question))
		if err != nil {
			apierror.Write(writer, err)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = writer.Write(content)
	}
}

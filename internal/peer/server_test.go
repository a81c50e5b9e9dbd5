package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestHandler_DecodesRequestAndEncodesReply(t *testing.T) {
	type message struct {
		Number int `json:"n"`
	}
	cases := map[string]struct {
		body   string
		status int
		reply  string
		called bool
	}{
		"valid document": {body: `{"n":3}`, status: http.StatusOK, reply: `{"n":4}`, called: true},
		"not JSON":       {body: "words", status: http.StatusBadRequest},
		"empty body":     {body: "", status: http.StatusBadRequest},
		"wrong type":     {body: `{"n":"three"}`, status: http.StatusBadRequest},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			called := false
			handler := Handler(func(_ context.Context, request message) message {
				called = true
				return message{Number: request.Number + 1}
			})
			recorder := httptest.NewRecorder()
			handler(recorder, httptest.NewRequest(http.MethodPost, MethodLearn.Path(), strings.NewReader(test.body)))
			assert.Equal(t, recorder.Code, test.status)
			assert.Equal(t, called, test.called)
			if test.called {
				assert.Equal(t, recorder.Body.String(), test.reply)
				assert.Equal(t, recorder.Header().Get("Content-Type"), contentType)
			}
		})
	}
}

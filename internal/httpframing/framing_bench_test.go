package httpframing

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkRoundTrip measures a request and its response over a loopback connection, as net/http does it alone and with the checks of
// both ends.
func BenchmarkRoundTrip(b *testing.B) {
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(writer, request.Body)
	})
	for _, isChecked := range []bool{false, true} {
		b.Run(map[bool]string{false: "plain", true: "checked"}[isChecked], func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			server := &http.Server{Handler: handler}
			dial := (&net.Dialer{}).DialContext
			if isChecked {
				dial = CheckResponses(dial)
				go func() { _ = Serve(server, listener, Options{}) }()
			} else {
				go func() { _ = server.Serve(listener) }()
			}
			defer server.Close()
			client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true}}
			url := "http://" + listener.Addr().String() + "/path"
			b.ReportAllocs()
			for b.Loop() {
				request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("prompt"))
				assert.NilError(b, err)
				request.Header.Set("Ferryspar-Attempt-Id", "9c41d07be2a35f68")
				request.Header.Set("Ferryspar-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
				response, err := client.Do(request)
				assert.NilError(b, err)
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
		})
	}
}

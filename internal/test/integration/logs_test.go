package integration

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

func TestLogs_ExplainServedAndRejectedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		var written bytes.Buffer
		logrus.SetOutput(&written)
		logrus.SetFormatter(&logrus.JSONFormatter{})
		logrus.SetLevel(logrus.DebugLevel)
		defer logrus.SetLevel(logrus.InfoLevel)
		assert.Equal(t, f.request(1, "served", "/quick/", "swift").body, allEvents())
		standIn.lock.Lock()
		standIn.full = true
		standIn.lock.Unlock()
		assert.Equal(t, f.request(1, "refused", "/quick/", "swift").status, http.StatusServiceUnavailable)
		synctest.Wait()
		logrus.SetLevel(logrus.InfoLevel)
		assert.Assert(
			t,
			strings.Contains(written.String(), `"attempt":"served"`) && strings.Contains(written.String(), "did not run the request"),
		)
	})
}

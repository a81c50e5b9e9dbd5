package adminapi

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"ferryspar/internal/apierror"
)

// TokenLifetime is how long after its issue a token is accepted. It is shorter than the 1 s after which a caller
// without a large body gives up an attempt and tries another control plane, so a caller with a valid token still
// waits.
const TokenLifetime = 900 * time.Millisecond

// ReplayGuard rejects delayed duplicates of requests that name no expected version. It first redirects such a
// request to the same control plane with a token in the path (307). Only a caller that still waits follows the
// redirect, and the token is valid only for TokenLifetime: a copy that was held in a socket buffer while this machine
// was frozen or a link was down carries an expired token, or none.
type ReplayGuard struct {
	address   string
	clock     func() time.Time
	startedAt time.Time
	secret    [32]byte
}

// NewReplayGuard returns the guard of one incarnation of the control plane that serves requests at address. Tokens of
// another incarnation are invalid, since each has its own secret.
func NewReplayGuard(address string, clock func() time.Time) *ReplayGuard {
	guard := &ReplayGuard{address: address, clock: clock, startedAt: clock()}
	_, _ = rand.Read(guard.secret[:])
	return guard
}

const (
	issueOffsetBytes = 8
	signatureBytes   = 12
)

func (g *ReplayGuard) signature(method, path string, issueOffset []byte) []byte {
	sum := hmac.New(sha256.New, g.secret[:])
	sum.Write([]byte(method + " " + path + "\n"))
	sum.Write(issueOffset)
	return sum.Sum(nil)[:signatureBytes]
}

// Location returns the URL of the redirect, with a token for this method and path.
func (g *ReplayGuard) Location(method, path string) string {
	issueOffset := binary.BigEndian.AppendUint64(nil, uint64(g.clock().Sub(g.startedAt)))
	token := base64.RawURLEncoding.EncodeToString(append(issueOffset, g.signature(method, path, issueOffset)...))
	return "http://" + g.address + path + "/" + token
}

// Deadline returns the time at which the token expires: the request must be started before it. For an invalid token
// it is the zero time.
func (g *ReplayGuard) Deadline(method, path, token string) time.Time {
	decoded, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(decoded) != issueOffsetBytes+signatureBytes {
		return time.Time{}
	}
	issueOffset := decoded[:issueOffsetBytes]
	if !hmac.Equal(decoded[issueOffsetBytes:], g.signature(method, path, issueOffset)) {
		return time.Time{}
	}
	issued := g.startedAt.Add(time.Duration(binary.BigEndian.Uint64(issueOffset)))
	return issued.Add(TokenLifetime)
}

// deadlineKey is the context key of a request's deadline.
type deadlineKey struct{}

// callDeadline returns the deadline of a guarded request, the zero time for others.
func callDeadline(ctx context.Context) time.Time {
	deadline, _ := ctx.Value(deadlineKey{}).(time.Time)
	return deadline
}

// requireToken serves requests with a valid token and rejects others as expired.
func (g *ReplayGuard) requireToken(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		token := chi.URLParam(request, "token")
		path := strings.TrimSuffix(request.URL.EscapedPath(), "/"+token)
		deadline := g.Deadline(request.Method, path, token)
		if !g.clock().Before(deadline) {
			apierror.Write(writer, apierror.New(apierror.CallExpired, ""))
			return
		}
		next(writer, request.WithContext(context.WithValue(request.Context(), deadlineKey{}, deadline)))
	}
}

// redirect responds with a temporary redirect to the location.
func redirect(writer http.ResponseWriter, location string) {
	writer.Header().Set("Location", location)
	writer.Header().Set("Content-Length", "0")
	writer.WriteHeader(http.StatusTemporaryRedirect)
}

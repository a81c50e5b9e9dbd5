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

// TokenLifetime is how long a caller is relied on to wait for the answer to a call without a
// large body, less than the second after which callers go on to another daemon.
const TokenLifetime = 900 * time.Millisecond

// ReplayGuard proves that a call which names no version is not an old copy. Such a call is first
// redirected to this control plane with a token in its path (307). Only a caller that still waits brings
// the token, and only for TokenLifetime: a copy that lay in a socket while this machine or a link stood
// still carries an expired token, or none.
type ReplayGuard struct {
	address   string
	clock     func() time.Time
	startedAt time.Time
	secret    [32]byte
}

// NewReplayGuard returns the guard of one incarnation of the control plane that serves calls at address.
// Tokens of another incarnation are invalid.
func NewReplayGuard(address string, clock func() time.Time) *ReplayGuard {
	guard := &ReplayGuard{address: address, clock: clock, startedAt: clock()}
	_, _ = rand.Read(guard.secret[:])
	return guard
}

const (
	ageBytes       = 8
	signatureBytes = 12
)

func (g *ReplayGuard) signature(method, path string, age []byte) []byte {
	sum := hmac.New(sha256.New, g.secret[:])
	sum.Write([]byte(method + " " + path + "\n"))
	sum.Write(age)
	return sum.Sum(nil)[:signatureBytes]
}

// Location is where the caller is sent to with a token for this method and path.
func (g *ReplayGuard) Location(method, path string) string {
	age := binary.BigEndian.AppendUint64(nil, uint64(g.clock().Sub(g.startedAt)))
	token := base64.RawURLEncoding.EncodeToString(append(age, g.signature(method, path, age)...))
	return "http://" + g.address + path + "/" + token
}

// Deadline returns the time from which on the call may not be started any more. An invalid token gives
// the zero time.
func (g *ReplayGuard) Deadline(method, path, token string) time.Time {
	content, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(content) != ageBytes+signatureBytes {
		return time.Time{}
	}
	age := content[:ageBytes]
	if !hmac.Equal(content[ageBytes:], g.signature(method, path, age)) {
		return time.Time{}
	}
	issued := g.startedAt.Add(time.Duration(binary.BigEndian.Uint64(age)))
	return issued.Add(TokenLifetime)
}

// deadlineKey is the context key of the time from which on an admitted call may not be begun.
type deadlineKey struct{}

func callDeadline(ctx context.Context) time.Time {
	before, _ := ctx.Value(deadlineKey{}).(time.Time)
	return before
}

// admit serves calls with a valid token, and answers others that they come too late.
func (g *ReplayGuard) admit(serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		token := chi.URLParam(request, "token")
		path := strings.TrimSuffix(request.URL.EscapedPath(), "/"+token)
		deadline := g.Deadline(request.Method, path, token)
		if !g.clock().Before(deadline) {
			apierror.Write(writer, apierror.New(apierror.CallExpired, ""))
			return
		}
		serve(writer, request.WithContext(context.WithValue(request.Context(), deadlineKey{}, deadline)))
	}
}

// redirect sends the caller to the location, with an end to the connection: the next call
// then comes on one that is known to be new.
func redirect(writer http.ResponseWriter, location string) {
	writer.Header().Set("Location", location)
	writer.Header().Set("Content-Length", "0")
	writer.WriteHeader(http.StatusTemporaryRedirect)
}

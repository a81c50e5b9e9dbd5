package operator

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

// CallPatience is how long a caller is relied on to wait for the answer to a call without a
// large body, less than the second after which callers go on to another daemon.
const CallPatience = 900 * time.Millisecond

// Guard proves that a call which names no version is not an old copy. Such a call is first
// sent back to this daemon with a token in its path (307). Only a caller that is still there
// brings the token, and only for CallPatience: a copy that lay in a socket while this machine
// or a link stood still carries a token of long ago, or none.
type Guard struct {
	address string
	clock   func() time.Time
	began   time.Time
	secret  [32]byte
}

// NewGuard makes the guard of one life of the daemon that serves calls at address. Tokens of
// another life are not good.
func NewGuard(address string, clock func() time.Time) *Guard {
	guard := &Guard{address: address, clock: clock, began: clock()}
	_, _ = rand.Read(guard.secret[:])
	return guard
}

const (
	ageBytes = 8
	sumBytes = 12
)

func (g *Guard) sum(method, path string, age []byte) []byte {
	sum := hmac.New(sha256.New, g.secret[:])
	sum.Write([]byte(method + " " + path + "\n"))
	sum.Write(age)
	return sum.Sum(nil)[:sumBytes]
}

// Location is where the caller is sent to with a token for this method and path.
func (g *Guard) Location(method, path string) string {
	age := binary.BigEndian.AppendUint64(nil, uint64(g.clock().Sub(g.began)))
	token := base64.RawURLEncoding.EncodeToString(append(age, g.sum(method, path, age)...))
	return "http://" + g.address + path + "/" + token
}

// Before returns the time from which on the call may not be begun any more. A token that is
// not good gives the zero time.
func (g *Guard) Before(method, path, token string) time.Time {
	content, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(content) != ageBytes+sumBytes {
		return time.Time{}
	}
	age := content[:ageBytes]
	if !hmac.Equal(content[ageBytes:], g.sum(method, path, age)) {
		return time.Time{}
	}
	issued := g.began.Add(time.Duration(binary.BigEndian.Uint64(age)))
	return issued.Add(CallPatience)
}

// beforeKey is the context key of the time from which on an admitted call may not be begun.
type beforeKey struct{}

func beforeOf(ctx context.Context) time.Time {
	before, _ := ctx.Value(beforeKey{}).(time.Time)
	return before
}

// admit lets calls with a good token through, and answers others that they come too late.
func (g *Guard) admit(serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		token := chi.URLParam(request, "token")
		path := strings.TrimSuffix(request.URL.EscapedPath(), "/"+token)
		before := g.Before(request.Method, path, token)
		if !g.clock().Before(before) {
			apierror.Write(writer, apierror.New(apierror.CallExpired, ""))
			return
		}
		serve(writer, request.WithContext(context.WithValue(request.Context(), beforeKey{}, before)))
	}
}

// redirect sends the caller to the location, with an end to the connection: the next call
// then comes on one that is known to be new.
func redirect(writer http.ResponseWriter, location string) {
	writer.Header().Set("Location", location)
	writer.Header().Set("Content-Length", "0")
	writer.WriteHeader(http.StatusTemporaryRedirect)
}

package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// APIKey is the secret that authenticates the tenant of a request. Formatting it with any verb shows only its digest; only
// encoding/json writes the key itself, where a configuration is stored or sent.
type APIKey string

// KeyHash is the hash by which keys are looked up, so that keys need not be kept in memory.
type KeyHash [sha256.Size]byte

const (
	// tenantsSection is the member of a document that lists the tenants with their keys.
	tenantsSection = "tenants"
	// digestPrefix is the prefix of key digests, which distinguishes them from keys.
	digestPrefix = "sha256:"
	// digestBytes is the number of hash bytes in a digest: enough to distinguish keys, too few to confirm a guessed key.
	digestBytes = 4
)

// HashKey returns the hash of a key as a client sent it.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Digest returns the digest that logs and status show for the key. It returns a digest unchanged.
func (k APIKey) Digest() string {
	if k.isDigest() {
		return string(k)
	}
	hash := HashKey(string(k))
	return digestPrefix + hex.EncodeToString(hash[:digestBytes])
}

func (k APIKey) isDigest() bool { return strings.HasPrefix(string(k), digestPrefix) }

// Format implements fmt.Formatter; it writes the digest for every verb.
func (k APIKey) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, k.Digest()) }

// invalidReason returns why the key is invalid, without revealing it, or an empty string for a valid one.
func (k APIKey) invalidReason() string {
	switch {
	case k == "":
		return "is empty"
	case !isHeaderValue(string(k)):
		return "cannot stand in a header"
	case k.isDigest():
		return "is the digest of a key"
	default:
		return ""
	}
}

// Redacted returns a copy of the configuration with a digest in place of each key.
func (c Configuration) Redacted() Configuration {
	if c.Tenants == nil {
		return c
	}
	tenants := make([]Tenant, len(c.Tenants))
	for position, tenant := range c.Tenants {
		tenants[position] = tenant.redacted()
	}
	c.Tenants = tenants
	return c
}

// RedactDocument returns a configuration document with a digest in place of each key.
func RedactDocument(document []byte) ([]byte, error) {
	decoded, err := Decode(document)
	if err != nil {
		return nil, err
	}
	if decoded.Tenants == nil {
		return document, nil
	}
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(document, &members); err != nil {
		return nil, decodeError(err)
	}
	for name := range members {
		if strings.EqualFold(name, tenantsSection) {
			delete(members, name)
		}
	}
	if members[tenantsSection], err = json.Marshal(decoded.Redacted().Tenants); err != nil {
		return nil, err
	}
	return json.Marshal(members)
}

func (t Tenant) redacted() Tenant {
	digests := make([]APIKey, len(t.Keys))
	for position, key := range t.Keys {
		digests[position] = APIKey(key.Digest())
	}
	t.Keys = digests
	return t
}

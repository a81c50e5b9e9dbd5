package coordination

import (
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxNameBytes is the maximum length of the name of a lock, counter, key or holder.
	MaxNameBytes = 200
	// MaxValueBytes is the maximum length of a value.
	MaxValueBytes = 16 << 10
	// MaxLockTTL is the longest time for which a lock can be held without a renewal.
	MaxLockTTL = 10 * time.Minute
	// groupSeparator separates the name of a group from the rest of a key's name.
	groupSeparator = "."
)

// Errors of Call.Validate.
var (
	ErrInvalidName   = errors.New("name must have 1 to 200 bytes, without spaces, control characters and slashes")
	ErrInvalidHolder = errors.New("leaseHolder must have 1 to 200 bytes")
	ErrInvalidTTL    = errors.New("queueHoldMs must be a whole number from 1 to 600000")
	ErrInvalidFence  = errors.New("fenceToken must be a whole number above 0")
	ErrInvalidValue  = errors.New("value must be a text of at most 16384 bytes")
)

// GroupOf returns the group of a key: the key's name up to and including the first dot. A key without a dot is a group of its
// own.
func GroupOf(key string) string {
	prefix, _, found := strings.Cut(key, groupSeparator)
	if !found {
		return key
	}
	return prefix + groupSeparator
}

// ItemName returns the name of the item that a call addresses, which is unique among items of its kind.
func (c Call) ItemName() string {
	if c.Kind == KindGroup {
		return GroupOf(c.Name)
	}
	return c.Name
}

// Validate returns an error that describes the first invalid field of a call, or nil.
func (c Call) Validate() error {
	if !isName(c.Name) {
		return ErrInvalidName
	}
	switch c.Operation {
	case OperationAcquire, OperationRenew:
		if c.TTLMs < 1 || c.ttl() > MaxLockTTL {
			return ErrInvalidTTL
		}
		return c.checkHolder()
	case OperationRelease:
		return c.checkHolder()
	case OperationPut:
		if len(c.Value) > MaxValueBytes {
			return ErrInvalidValue
		}
	}
	return nil
}

func (c Call) checkHolder() error {
	if c.Holder == "" || len(c.Holder) > MaxNameBytes {
		return ErrInvalidHolder
	}
	if c.Operation != OperationAcquire && c.Fence == 0 {
		return ErrInvalidFence
	}
	return nil
}

func isName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	isForbidden := func(character rune) bool { return character <= ' ' || character == '/' || character == 0x7f }
	return !strings.ContainsFunc(name, isForbidden)
}

package controlstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"iter"
	"strconv"
)

const (
	// digestBytes is the number of bytes of a call's hash that are stored. The probability that two different calls have the
	// same digest is 2^-64.
	digestBytes = 8
	// maxAppliedCalls is the number of calls that are kept. It exceeds the number of changes per day in the largest planned
	// deployment, which is 420.
	maxAppliedCalls = 512
)

// callDigest identifies an operator's call by its method, base revision and body.
type callDigest [digestBytes]byte

func newCallDigest(method string, baseRevision int64, body []byte) callDigest {
	hash := sha256.New()
	hash.Write([]byte(method + " " + strconv.FormatInt(baseRevision, 10) + "\n"))
	hash.Write(body)
	return callDigest(hash.Sum(nil)[:digestBytes])
}

// AppliedCalls is a log of the last calls that were applied, so that a repeated call is acknowledged again. Without it, an
// operator who received no response could not determine whether the call was applied. The methods return modified copies.
type AppliedCalls struct {
	// Entries holds about ten bytes for each call: a varint with the difference between the call's base revision and that of
	// the previous call, followed by the call's digest.
	Entries []byte `json:"entries,omitempty"`
	// EvictedUpTo is the highest base revision of an evicted call.
	EvictedUpTo int64 `json:"forgotten,omitempty"`
}

// appliedCall is a decoded entry of AppliedCalls.
type appliedCall struct {
	revisionDelta int64
	digest        callDigest
	encodedBytes  int
}

// all iterates over the entries from the oldest to the newest. It stops at an incomplete entry.
func (c AppliedCalls) all() iter.Seq[appliedCall] {
	return func(yield func(call appliedCall) bool) {
		rest := c.Entries
		for len(rest) > 0 {
			delta, read := binary.Varint(rest)
			if read <= 0 || len(rest) < read+digestBytes {
				return
			}
			length := read + digestBytes
			call := appliedCall{
				revisionDelta: delta,
				digest:        callDigest(rest[read:length]),
				encodedBytes:  length,
			}
			if !yield(call) {
				return
			}
			rest = rest[length:]
		}
	}
}

func (c AppliedCalls) oldest() (call appliedCall, found bool) {
	for call := range c.all() {
		return call, true
	}
	return appliedCall{}, false
}

func (c AppliedCalls) contains(digest callDigest) bool {
	for call := range c.all() {
		if call.digest == digest {
			return true
		}
	}
	return false
}

// mayHaveEvicted reports whether a call with the given base revision may have been applied and evicted since. Only the first
// call ever has base revision 0 and therefore a delta of 0, so if the oldest entry has a delta of 0, nothing was evicted.
func (c AppliedCalls) mayHaveEvicted(baseRevision int64) bool {
	if oldest, found := c.oldest(); found && oldest.revisionDelta == 0 {
		return false
	}
	return baseRevision <= c.EvictedUpTo
}

// add appends a call with the given base revision, and evicts the oldest call if there are already maxAppliedCalls.
func (c AppliedCalls) add(baseRevision int64, digest callDigest) AppliedCalls {
	lastRevision, count := c.EvictedUpTo, 0
	for call := range c.all() {
		lastRevision += call.revisionDelta
		count++
	}
	kept := c
	if count >= maxAppliedCalls {
		kept = c.withoutOldest()
	}
	entries := binary.AppendVarint(bytes.Clone(kept.Entries), baseRevision-lastRevision)
	return AppliedCalls{
		Entries:     append(entries, digest[:]...),
		EvictedUpTo: kept.EvictedUpTo,
	}
}

// withoutOldest evicts the oldest entry. EvictedUpTo becomes the base revision of that call, from which the deltas of the
// other entries are counted.
func (c AppliedCalls) withoutOldest() AppliedCalls {
	oldest, found := c.oldest()
	if !found {
		return c
	}
	return AppliedCalls{
		Entries:     c.Entries[oldest.encodedBytes:],
		EvictedUpTo: c.EvictedUpTo + oldest.revisionDelta,
	}
}

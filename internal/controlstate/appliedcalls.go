package controlstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"iter"
	"strconv"
)

const (
	// digestBytes is how much of a call's hash is remembered: two different calls share it once in 2^64 pairs.
	digestBytes = 8
	// maxAppliedCalls is how many calls are remembered: more than the changes of a day in the largest deployment
	// that is planned for (420).
	maxAppliedCalls = 512
)

// callDigest identifies one call of an operator, as it was sent.
type callDigest [digestBytes]byte

func newCallDigest(method string, baseRevision int64, body []byte) callDigest {
	hash := sha256.New()
	hash.Write([]byte(method + " " + strconv.FormatInt(baseRevision, 10) + "\n"))
	hash.Write(body)
	return callDigest(hash.Sum(nil)[:digestBytes])
}

// AppliedCalls remembers the last calls that were carried out, in order, so that a call that is repeated is
// acknowledged again. Without it, the operator of a call whose answer was lost could not tell whether it was
// applied. The methods return changed copies.
type AppliedCalls struct {
	// Entries holds, for each call, a varint with the difference between the revision that it built on and the
	// one that the call before it built on, and the call's digest: about ten bytes.
	Entries []byte `json:"entries,omitempty"`
	// EvictedUpTo is the newest revision that a forgotten call built on.
	EvictedUpTo int64 `json:"forgotten,omitempty"`
}

// appliedCall is an entry of AppliedCalls.
type appliedCall struct {
	revisionStep int64
	digest       callDigest
	encodedBytes int
}

// all iterates over the entries, the oldest first. It stops at an incomplete one.
func (c AppliedCalls) all() iter.Seq[appliedCall] {
	return func(yield func(call appliedCall) bool) {
		rest := c.Entries
		for len(rest) > 0 {
			step, read := binary.Varint(rest)
			if read <= 0 || len(rest) < read+digestBytes {
				return
			}
			length := read + digestBytes
			call := appliedCall{
				revisionStep: step,
				digest:       callDigest(rest[read:length]),
				encodedBytes: length,
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

// mayHaveForgotten reports whether a call that built on the revision may have been carried out and forgotten since.
// Only the very first call builds on revision 0 and so has step 0: an entry of step 0 in front shows that
// none was forgotten.
func (c AppliedCalls) mayHaveForgotten(baseRevision int64) bool {
	if oldest, found := c.oldest(); found && oldest.revisionStep == 0 {
		return false
	}
	return baseRevision <= c.EvictedUpTo
}

// add remembers a call that built on baseRevision, and forgets the oldest one if there are too many.
func (c AppliedCalls) add(baseRevision int64, digest callDigest) AppliedCalls {
	lastRevision, count := c.EvictedUpTo, 0
	for call := range c.all() {
		lastRevision += call.revisionStep
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

// withoutOldest forgets the first entry. The steps of the others are counted from EvictedUpTo, which becomes the
// revision that the forgotten call built on.
func (c AppliedCalls) withoutOldest() AppliedCalls {
	oldest, found := c.oldest()
	if !found {
		return c
	}
	return AppliedCalls{
		Entries:     c.Entries[oldest.encodedBytes:],
		EvictedUpTo: c.EvictedUpTo + oldest.revisionStep,
	}
}

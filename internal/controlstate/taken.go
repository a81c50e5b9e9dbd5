package controlstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// digestBytes is how much of a call's hash is remembered: two different calls share it once in
// 2^64 pairs.
const digestBytes = 8

// callDigest identifies one call of an operator, as it was sent.
type callDigest [digestBytes]byte

func newCallDigest(method string, baseRevision int64, body []byte) callDigest {
	sum := sha256.New()
	sum.Write([]byte(method + " " + strconv.FormatInt(baseRevision, 10) + "\n"))
	sum.Write(body)
	return callDigest(sum.Sum(nil)[:digestBytes])
}

// maxAppliedCalls is how many calls are remembered: more than the changes of a day in the largest
// deployment that is planned for (420).
const maxAppliedCalls = 512

// AppliedCalls remembers the calls that were carried out, in the order in which they were, so
// that one which comes again is acknowledged again. Each takes about ten bytes. Of calls that
// built on version Forgotten or an earlier one nothing is remembered.
type AppliedCalls struct {
	// Entries holds, for each call, the step from the version that the call before it built on
	// (a varint) and the call's mark.
	Entries       []byte `json:"entries,omitempty"`
	ForgottenUpTo int64  `json:"forgotten,omitempty"`
}

type appliedCall struct {
	step   int64
	digest callDigest
}

// each walks the entries until visit returns false. It stops at an entry that is not whole.
func (c AppliedCalls) each(visit func(call appliedCall, length int) bool) {
	rest := c.Entries
	for len(rest) > 0 {
		step, read := binary.Varint(rest)
		if read <= 0 || len(rest) < read+digestBytes {
			return
		}
		length := read + digestBytes
		if !visit(appliedCall{step, callDigest(rest[read:length])}, length) {
			return
		}
		rest = rest[length:]
	}
}

func (c AppliedCalls) contains(wanted callDigest) bool {
	found := false
	c.each(func(call appliedCall, _ int) bool {
		found = call.digest == wanted
		return !found
	})
	return found
}

// forgot says whether a call that built on the version may have been carried out and let go
// since. Only the very first call of all builds on version 0 and so has step 0: an entry of
// step 0 in front shows that none was let go.
func (c AppliedCalls) mayHaveForgotten(baseRevision int64) bool {
	whole := false
	c.each(func(first appliedCall, _ int) bool {
		whole = first.step == 0
		return false
	})
	return !whole && baseRevision <= c.ForgottenUpTo
}

// add remembers a call that built on version condition, and lets the oldest go where there are
// too many.
func (c AppliedCalls) add(baseRevision int64, call callDigest) AppliedCalls {
	last, count := c.ForgottenUpTo, 0
	c.each(func(one appliedCall, _ int) bool {
		last += one.step
		count++
		return true
	})
	kept := c
	if count >= maxAppliedCalls {
		kept = c.dropOldest()
	}
	entries := binary.AppendVarint(bytes.Clone(kept.Entries), baseRevision-last)
	return AppliedCalls{Entries: append(entries, call[:]...), ForgottenUpTo: kept.ForgottenUpTo}
}

// dropOldest forgets the first entry. The steps of the others are counted from Forgotten, which
// becomes the version that the forgotten call built on.
func (c AppliedCalls) dropOldest() AppliedCalls {
	dropped := c
	c.each(func(call appliedCall, length int) bool {
		dropped = AppliedCalls{Entries: c.Entries[length:], ForgottenUpTo: c.ForgottenUpTo + call.step}
		return false
	})
	return dropped
}

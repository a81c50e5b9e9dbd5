package routing

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var noon = time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)

func parseTestPrefix(t *testing.T, value string) ([]PromptPart, []uint64) {
	parts, valid := ParsePromptPrefix(value)
	assert.Assert(t, valid)
	return parts, HashPrefixes(parts)
}

func TestPrefixLedger_CountsCommonPrefix(t *testing.T) {
	ledger := NewPrefixLedger(100, 0)
	first, firstHashes := parseTestPrefix(t, "a:200,b:100,c:50")
	ledger.RecordPrompt("r1", Prompt{"m", first, firstHashes}, noon, noon)
	next, nextHashes := parseTestPrefix(t, "a:200,b:100,d:70")
	assert.Equal(t, ledger.CachedTokens("r1", Prompt{"m", next, nextHashes}, noon), 300.0)
	assert.Equal(t, ledger.CachedTokens("r2", Prompt{"m", next, nextHashes}, noon), 0.0)
	assert.Equal(t, ledger.CachedTokens("r1", Prompt{"other", next, nextHashes}, noon), 0.0)
	moved, movedHashes := parseTestPrefix(t, "b:100,a:200")
	assert.Equal(t, ledger.CachedTokens("r1", Prompt{"m", moved, movedHashes}, noon), 0.0)
}

func TestPrefixLedger_EvictsLeastRecentlyUsed(t *testing.T) {
	ledger := NewPrefixLedger(3, 0)
	for _, value := range []string{"a:1", "b:1", "c:1", "a:1", "d:1"} {
		parts, prefixHashes := parseTestPrefix(t, value)
		ledger.RecordPrompt("r", Prompt{"m", parts, prefixHashes}, noon, noon)
	}
	recent, recentHashes := parseTestPrefix(t, "a:1")
	evicted, evictedHashes := parseTestPrefix(t, "b:1")
	assert.Equal(t, ledger.Len(), 3)
	assert.Equal(t, ledger.CachedTokens("r", Prompt{"m", recent, recentHashes}, noon), 1.0)
	assert.Equal(t, ledger.CachedTokens("r", Prompt{"m", evicted, evictedHashes}, noon), 0.0)
}

func TestPrefixLedger_IgnoresExpiredEntries(t *testing.T) {
	ledger := NewPrefixLedger(10, time.Minute)
	parts, prefixHashes := parseTestPrefix(t, "a:5")
	ledger.RecordPrompt("r", Prompt{"m", parts, prefixHashes}, noon, noon)
	assert.Equal(t, ledger.CachedTokens("r", Prompt{"m", parts, prefixHashes}, noon.Add(59*time.Second)), 5.0)
	assert.Equal(t, ledger.CachedTokens("r", Prompt{"m", parts, prefixHashes}, noon.Add(61*time.Second)), 0.0)
}

func FuzzParsePrefix(f *testing.F) {
	for _, seed := range []string{"", "a:1", "5c1e07a2:800,91bd3f06:410", ":", "a:-1", "zz:1", "a:1,,b:2"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		parts, valid := ParsePromptPrefix(value)
		assert.Assert(t, valid || parts == nil)
		assert.Equal(t, len(HashPrefixes(parts)), len(parts))
		for _, part := range parts {
			assert.Assert(t, part.Tokens >= 0)
		}
	})
}

func FuzzParseTokens(f *testing.F) {
	for _, seed := range []string{"", "1460,80", "1460", "-1,2", "a,b", ",", "99999999999999999999,1"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		prompt, output, valid := ParseTokenCounts(value)
		assert.Assert(t, valid && prompt >= 0 && output >= 0 || !valid && prompt == 0 && output == 0)
	})
}

func TestPrefixLedger_ForgetExcludesEarlierRequests(t *testing.T) {
	ledger := NewPrefixLedger(10, 0)
	parts, prefixHashes := parseTestPrefix(t, "a:5,b:6")
	other, otherHashes := parseTestPrefix(t, "c:5")
	ledger.RecordPrompt("r", Prompt{"m", parts, prefixHashes}, noon, noon)
	ledger.RecordPrompt("r", Prompt{"m", other, otherHashes}, noon, noon)
	dropped := ledger.Forget(func(_ string, part uint64) bool { return part == 0xb }, noon.Add(time.Second))
	assert.Equal(t, dropped, 1)
	assert.Equal(t, ledger.CachedTokens("r", Prompt{"m", parts, prefixHashes}, noon), 5.0)
	assert.Equal(t, ledger.CachedTokens("r", Prompt{"m", other, otherHashes}, noon), 5.0)
	ledger.RecordPrompt("r", Prompt{"m", parts, prefixHashes}, noon, noon.Add(2*time.Second))
	assert.Equal(t, ledger.CachedTokens("r", Prompt{"m", parts, prefixHashes}, noon.Add(2*time.Second)), 5.0, "arrived before the forget")
	ledger.RecordPrompt("r", Prompt{"m", parts, prefixHashes}, noon.Add(3*time.Second), noon.Add(3*time.Second))
	assert.Equal(t, ledger.CachedTokens("r", Prompt{"m", parts, prefixHashes}, noon.Add(3*time.Second)), 11.0, "arrived after the forget")
}

func TestPrefixLedger_SetTTLExpiresAtOnce(t *testing.T) {
	ledger := NewPrefixLedger(10, 0)
	parts, prefixHashes := parseTestPrefix(t, "a:5")
	ledger.RecordPrompt("r", Prompt{"m", parts, prefixHashes}, noon, noon)
	ledger.SetTTL(time.Minute, noon.Add(2*time.Minute))
	assert.Equal(t, ledger.Len(), 0)
}

// ledgerPrompt returns one of a sequence of prompts that share prefixes.
func ledgerPrompt(number int) ([]PromptPart, []uint64) {
	parts := []PromptPart{{uint64(number % 300), 400}, {uint64(number % 4000), 200}, {uint64(number), 80}}
	return parts, HashPrefixes(parts)
}

func filledLedger(limit int) *PrefixLedger {
	ledger := NewPrefixLedger(limit, 0)
	for number := 0; ledger.Len() < limit; number++ {
		parts, prefixHashes := ledgerPrompt(number)
		ledger.RecordPrompt("i-"+strconv.Itoa(number%720), Prompt{"model-" + strconv.Itoa(number%1600), parts, prefixHashes}, noon, noon)
	}
	return ledger
}

func BenchmarkPrefixLedger_Request(b *testing.B) {
	b.ReportAllocs()
	limit := DefaultParameters().LedgerLimit
	ledger, number := filledLedger(limit), limit
	names, models := make([]string, 720), make([]string, 1600)
	for index := range names {
		names[index] = "i-" + strconv.Itoa(index)
	}
	for index := range models {
		models[index] = "model-" + strconv.Itoa(index)
	}
	for b.Loop() {
		number++
		parts, prefixHashes := ledgerPrompt(number)
		for candidate := range fixtureCopies {
			ledger.CachedTokens(names[(number+candidate)%len(names)], Prompt{models[number%len(models)], parts, prefixHashes}, noon)
		}
		ledger.RecordPrompt(names[number%len(names)], Prompt{models[number%len(models)], parts, prefixHashes}, noon, noon)
	}
}

func BenchmarkPrefixLedger_Fill(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		filledLedger(DefaultParameters().LedgerLimit)
	}
}

func BenchmarkPrefixLedger_Memory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		ledger := filledLedger(DefaultParameters().LedgerLimit)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(ledger)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "held-B")
}

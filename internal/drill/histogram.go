package drill

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMs       = 3_600_000
	significantFigures = 2
)

// Quantiles summarizes a histogram. Times are in milliseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Ms"`
	P90   int64 `json:"p90Ms"`
	P99   int64 `json:"p99Ms"`
	Max   int64 `json:"mostMs"`
}

// NewHistogram returns an empty histogram of milliseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMs, significantFigures)
}

// RecordLatency records a time in milliseconds, clamped to the histogram's bounds.
func RecordLatency(histogram *hdrhistogram.Histogram, milliseconds float64) {
	_ = histogram.RecordValue(int64(math.Round(min(max(milliseconds, 1), maxLatencyMs))))
}

// EncodeHistogram encodes a histogram for transmission. It returns "" on failure.
func EncodeHistogram(histogram *hdrhistogram.Histogram) string {
	content, err := histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return ""
	}
	return string(content)
}

// MergeEncoded adds an encoded histogram to another one. An encoded histogram that can't be decoded is ignored.
func MergeEncoded(into *hdrhistogram.Histogram, encoded string) {
	if encoded == "" {
		return
	}
	if decoded, err := hdrhistogram.Decode([]byte(encoded)); err == nil {
		into.Merge(decoded)
	}
}

// Summarize returns the quantiles of a histogram.
func Summarize(histogram *hdrhistogram.Histogram) Quantiles {
	if histogram.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   histogram.ValueAtQuantile(50),
		P90:   histogram.ValueAtQuantile(90),
		P99:   histogram.ValueAtQuantile(99),
		Max:   histogram.Max(),
	}
}

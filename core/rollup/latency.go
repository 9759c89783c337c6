package rollup

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatency = time.Microsecond
	maxLatency = 2 * time.Minute
	// latencyDigits keeps quantiles within one percent.
	latencyDigits = 2
)

// NewLatency returns an empty histogram of times in microseconds. All
// histograms that it returns can be merged.
func NewLatency() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), latencyDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	d = min(max(d, minLatency), maxLatency)
	// The bounds rule out an error.
	_ = h.RecordValue(d.Microseconds())
}

func encodeLatency(h *hdrhistogram.Histogram) ([]byte, error) {
	if h.TotalCount() == 0 {
		return nil, nil
	}
	return h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
}

// MergeLatency adds an encoded histogram to each of the sums.
func MergeLatency(encoded []byte, sums ...*hdrhistogram.Histogram) error {
	if len(encoded) == 0 {
		return nil
	}
	o, err := hdrhistogram.Decode(encoded)
	if err != nil {
		return fmt.Errorf("rollup: cannot decode a histogram: %w", err)
	}
	for _, h := range sums {
		if n := h.Merge(o); n > 0 {
			return fmt.Errorf("rollup: %d values lie outside the histogram", n)
		}
	}
	return nil
}

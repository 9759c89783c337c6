package sessions

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkLookupsByBlocks measures look-ups for a core, and the daemon's memory,
// by the number of callers' blocks.
func BenchmarkLookupsByBlocks(b *testing.B) {
	const sites = 500
	for _, n := range []int{37_500, 75_000, 150_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := qt.New(b)
			p := newPair(c)
			p.declare(c, costDeclaration(p, n, sites))
			p.perCore(b, c, p.caller+"/v1/lookup?kind=waiver-lookup&caller=11.2.3.4", http.MethodGet)
			b.ReportMetric(p.resident(c), "resident-MiB")
		})
	}
}

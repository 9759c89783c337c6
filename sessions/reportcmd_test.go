package sessions

import (
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdNoon sets ZONE to a time zone in which it is about noon, and DAY to the
// date there, so that no session runs over the end of a day: noon.
func cmdNoon(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "noon")
	if len(args) != 0 {
		ts.Fatalf("usage: noon")
	}
	now := time.Now().UTC()
	const noon = 12
	// The signs of these names are the other way round: Etc/GMT+5 is five
	// hours behind UTC.
	ts.Setenv("ZONE", fmt.Sprintf("Etc/GMT%+d", now.Hour()-noon))
	ts.Setenv("DAY", now.Add(time.Duration(noon-now.Hour())*time.Hour).Format(time.DateOnly))
}

package desk

import (
	"fmt"
	"strings"
)

// Table is the table in which endpoints register themselves.
const Table = "servers"

// ForeignEntries returns values of entries that another writer leaves in the table: they name no
// endpoint, but nearly do. The addresses are those of hosts.
func ForeignEntries(addresses []string) []string {
	entry := func(address, slots, sequence, cold string) string {
		return fmt.Sprintf(`{"address":%q,"born":1,"info":{"service":"two","version":"v1","zone":"n1","slots":%s},"status":{"state":"ready","sequence":%s,"coldRemaining":%s}}`,
			address, slots, sequence, cold)
	}
	const nested = 12_000
	s := []string{
		"", "7", "null", `{"address":7}`, "\xff\x00",
		strings.Repeat("[", nested),
		strings.Repeat(`{"a":`, nested) + "1" + strings.Repeat("}", nested),
		entry("127.0.0.1:9", "9223372036854775807", "1", `"0s"`),
		entry("127.0.0.1:9", "1e400", "1", `"0s"`),
		entry("127.0.0.1:9", "4", "18446744073709551616", `"0s"`),
		entry("127.0.0.1:9", "4", "1", "7"),
	}
	for _, a := range append([]string{"127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", "0.0.0.0:80", "224.0.0.1:80"}, addresses...) {
		s = append(s, entry(a, "4", "1", `"2000000h"`))
	}
	return s
}

// Package drain keeps the gossiped notices that endpoints and hosts are leaving, and tracks
// the progress of each drain.
package drain

// Package once runs a request that may not be repeated at most once for each
// ticket or caller key. A caller key is an idempotency key that the caller chose
// itself. The home of a request is the only host process that may dispatch it.
//
// Package ticket decides, and package once carries the decisions out: it holds
// the runs whose home is this process, writes claims and tombstones into the
// platform's table, and forwards other requests to their homes.
package once

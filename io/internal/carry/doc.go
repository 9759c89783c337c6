// Package carry reads requests for work from HTTP and writes their answers. It
// serves both callers and the one hop between hosts.
package carry

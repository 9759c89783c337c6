// Package drain keeps the signs by which endpoints and hosts are found to be
// leaving, and tells how far each drain has come.
package drain

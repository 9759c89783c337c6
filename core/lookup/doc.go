// Package lookup decides which hosts a caller should send its request to.
package lookup

// Package snapshot holds the immutable view that the kernel's control goroutine
// publishes to the goroutines that carry traffic.
package snapshot

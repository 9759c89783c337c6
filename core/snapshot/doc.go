// Package snapshot defines the immutable state that the kernel's control goroutine
// publishes to the goroutines that handle requests.
package snapshot

// Package hash mixes hashes. All hosts get the same results.
package hash

// Mix returns a hash of two hashes. Their order matters.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0xff51afd7ed558ccd)
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 29
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>32
}

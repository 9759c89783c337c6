// Package authority is a stand-in for the authority that signs hosts'
// certificates in tests.
package authority

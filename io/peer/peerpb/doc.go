// Package peerpb is the generated code of the protocol between daemons.
//
// Regenerate it with .ci/generate after a change of peer.proto.
package peerpb

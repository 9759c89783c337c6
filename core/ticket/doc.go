// Package ticket decides what becomes of work that may not be repeated.
//
// A ticket or a caller's own key names such work. At its home a Run carries it
// from its first copy to its outcome; a Row in the platform's table claims it
// for one home, or is a tombstone, after which no home runs it. All decisions
// are pure functions of state, event and time; package once carries them out.
package ticket

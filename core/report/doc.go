// Package report makes the evening page from the roll-ups of all hosts: whether
// the day went well, why, and what is not known.
//
// Build is a pure function of the roll-ups. What no roll-up covers is listed as
// missing in words; it is never filled in and never counted as zero.
package report

// Package config keeps the confirmed declarations in the platform's table.
//
// The row config/head holds the declaration in force. A confirmation replaces
// it by one conditional write, so that a version number is given out once.
package config

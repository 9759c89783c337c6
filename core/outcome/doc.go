// Package outcome counts how requests ended, by kind, for metrics and for the
// evening page.
package outcome

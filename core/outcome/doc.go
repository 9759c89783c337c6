// Package outcome counts the results of requests by kind of work, and hands each
// result to the parts that need it, such as the metrics and the evening page.
package outcome

// Package budget bounds retries and hedges in proportion to successes or
// to requests.
package budget

// Package budget bounds retries and hedges in proportion to successes.
package budget

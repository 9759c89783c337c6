// Package work defines a request for work and its answer, which the parts of a
// daemon hand to one another.
package work

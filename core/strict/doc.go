// Package strict decodes JSON and refuses what the target does not declare.
//
// It reports every unknown field, missing field and wrong type at once, each
// with the path of the field and a numbered code, so that an operator can mend
// a file in one pass.
package strict

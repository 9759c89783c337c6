// Package strict decodes JSON and rejects documents that do not match the target
// type exactly.
//
// It reports every unknown field, missing field and wrong type at once, each
// with the path of the field and a numbered code, so that an operator can fix
// all mistakes in a file in one pass.
package strict

// Package refuse writes errors as HTTP answers with their numbered code.
package refuse

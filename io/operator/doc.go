// Package operator serves operators over HTTP and JSON: plan, confirm, status.
package operator

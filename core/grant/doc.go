// Package grant decides which host owns which endpoint.
package grant

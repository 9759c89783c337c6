// Package platform speaks to the platform's table, objects and list of hosts
// over HTTP and JSON.
package platform

// Package serve runs an HTTP server under a tomb, for the plug-ins that listen.
package serve

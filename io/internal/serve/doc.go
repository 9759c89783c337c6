// Package serve runs HTTP servers for the plug-ins that listen, and ends them in
// a planned stop without cutting a request off.
package serve

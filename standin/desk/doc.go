// Package desk stands in for the users' endpoints, operator and clients in tests and
// in the soak: endpoints that register themselves in a table and count what they run,
// configurations as the operator writes them, and requests as clients send them.
package desk
